/**
 * Client of the cloud API over HTTP; `cloud_api.ts` describes the wire format.
 */

import { type Either, Right } from "purify-ts";
import { z } from "zod";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type {
  CloudApi,
  Instance,
  InstanceOutcome,
  InstanceRequest,
  NoticeBatch,
  Price,
} from "./cloud_api.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
} from "./platform_client.ts";
import type { PlatformError } from "./platform_error.ts";

const market = z.enum(["reclaimable", "on_demand"]);
const instance: z.ZodType<Instance> = z.object({
  host: z.string(),
  token: z.string(),
  service: z.string(),
  zone: z.string(),
  machineClass: z.string(),
  market,
  state: z.enum(["starting", "running", "leaving"]),
  address: z.string().nullish().transform((address) => address ?? undefined),
});
const instances = z.object({ instances: z.array(instance) });
const refusal = z.object({ reason: z.string() });
const noticeBatch: z.ZodType<NoticeBatch> = z.object({
  sequence: z.number().int(),
  notices: z.array(z.object({
    sequence: z.number().int(),
    host: z.string(),
    reclaimAt: z.number(),
  })),
});
const prices = z.object({
  prices: z.array(z.object({
    zone: z.string(),
    machineClass: z.string(),
    market,
    milliPerHour: z.number().nonnegative(),
  })),
});

function isAlwaysAllowed(): boolean {
  return true;
}

/** Client of the cloud API at one address. */
export class HttpCloudApi implements CloudApi, Disposable {
  readonly #client: PlatformClient;

  private constructor(client: PlatformClient) {
    this.#client = client;
  }

  static create(options: PlatformClientOptions): HttpCloudApi {
    return new HttpCloudApi(PlatformClient.create("cloud_api", options));
  }

  async requestInstance(
    request: InstanceRequest,
    isAllowed: () => boolean = isAlwaysAllowed,
  ): Promise<Either<PlatformError, InstanceOutcome>> {
    const response = await this.#client.call({
      method: "POST",
      path: "/instances",
      body: JSON.stringify(request),
      isAllowed,
    });
    return response.chain((response): Either<PlatformError, InstanceOutcome> =>
      response.status === 409
        ? this.#client.parse(refusal, { ...response, status: 200 })
          .map(({ reason }) => ({ kind: "refused", reason }))
        : this.#client.parse(instance, response)
          .map((instance) => ({ kind: "granted", instance }))
    );
  }

  /** Gives a host back; succeeds also for a host that no longer exists. */
  async returnInstance(
    host: string,
    isAllowed: () => boolean = isAlwaysAllowed,
  ): Promise<Either<PlatformError, void>> {
    const response = await this.#client.call({
      method: "DELETE",
      path: `/instances/${encodeURIComponent(host)}`,
      isAllowed,
    });
    return response.chain((response) =>
      response.status === 404
        ? Right(undefined)
        : this.#client.parse(z.unknown(), response).map(() => undefined)
    );
  }

  async listInstances(): Promise<Either<PlatformError, readonly Instance[]>> {
    const response = await this.#client.call({
      method: "GET",
      path: "/instances",
    });
    return response.chain((response) => this.#client.parse(instances, response))
      .map((body) => body.instances);
  }

  async waitNotices(
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, NoticeBatch>> {
    const response = await this.#client.call({
      method: "GET",
      path: `/notices?since=${since}&waitMs=${Math.round(waitMs)}`,
      waitMs,
    });
    return response.chain((response) =>
      this.#client.parse(noticeBatch, response)
    );
  }

  async listPrices(): Promise<Either<PlatformError, readonly Price[]>> {
    const response = await this.#client.call({
      method: "GET",
      path: "/prices",
    });
    return response.chain((response) => this.#client.parse(prices, response))
      .map((body) => body.prices);
  }

  dispose(): void {
    this.#client.dispose();
  }
}

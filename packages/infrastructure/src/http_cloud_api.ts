/**
 * Client of the cloud API over HTTP; `cloud_api.ts` gives the wire.
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

/** Cloud API at one address. */
export class HttpCloudApi implements CloudApi, Disposable {
  readonly #caller: PlatformClient;

  private constructor(caller: PlatformClient) {
    this.#caller = caller;
  }

  static create(options: PlatformClientOptions): HttpCloudApi {
    return new HttpCloudApi(PlatformClient.create("cloud_api", options));
  }

  async requestInstance(
    request: InstanceRequest,
  ): Promise<Either<PlatformError, InstanceOutcome>> {
    const answer = await this.#caller.call({
      method: "POST",
      path: "/instances",
      body: JSON.stringify(request),
    });
    return answer.chain((answer): Either<PlatformError, InstanceOutcome> =>
      answer.status === 409
        ? this.#caller.parse(refusal, { ...answer, status: 200 })
          .map(({ reason }) => ({ kind: "refused", reason }))
        : this.#caller.parse(instance, answer)
          .map((instance) => ({ kind: "granted", instance }))
    );
  }

  /** Gives a host back; a host that is gone already counts as given back. */
  async returnInstance(host: string): Promise<Either<PlatformError, void>> {
    const answer = await this.#caller.call({
      method: "DELETE",
      path: `/instances/${encodeURIComponent(host)}`,
    });
    return answer.chain((answer) =>
      answer.status === 404
        ? Right(undefined)
        : this.#caller.parse(z.unknown(), answer).map(() => undefined)
    );
  }

  async listInstances(): Promise<Either<PlatformError, readonly Instance[]>> {
    const answer = await this.#caller.call({
      method: "GET",
      path: "/instances",
    });
    return answer.chain((answer) => this.#caller.parse(instances, answer))
      .map((body) => body.instances);
  }

  async waitNotices(
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, NoticeBatch>> {
    const answer = await this.#caller.call({
      method: "GET",
      path: `/notices?since=${since}&waitMs=${Math.round(waitMs)}`,
      waitMs,
    });
    return answer.chain((answer) => this.#caller.parse(noticeBatch, answer));
  }

  async listPrices(): Promise<Either<PlatformError, readonly Price[]>> {
    const answer = await this.#caller.call({ method: "GET", path: "/prices" });
    return answer.chain((answer) => this.#caller.parse(prices, answer))
      .map((body) => body.prices);
  }

  dispose(): void {
    this.#caller.dispose();
  }
}

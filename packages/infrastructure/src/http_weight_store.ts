/**
 * Client of the weight store over HTTP; `weight_store.ts` describes the wire
 * format.
 */

import type { Either } from "purify-ts";
import { z } from "zod";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
} from "./platform_client.ts";
import type { PlatformError } from "./platform_error.ts";
import type { WeightRate, WeightStore } from "./weight_store.ts";

const weightRate: z.ZodType<WeightRate> = z.object({
  bytesPerSecond: z.number().nonnegative(),
  activeLoads: z.number().int().nonnegative(),
});

/** Client of the weight store at one address. */
export class HttpWeightStore implements WeightStore, Disposable {
  readonly #client: PlatformClient;

  private constructor(client: PlatformClient) {
    this.#client = client;
  }

  static create(options: PlatformClientOptions): HttpWeightStore {
    return new HttpWeightStore(PlatformClient.create("weight_store", options));
  }

  async readRate(): Promise<Either<PlatformError, WeightRate>> {
    const response = await this.#client.call({ method: "GET", path: "/rate" });
    return response.chain((response) =>
      this.#client.parse(weightRate, response)
    );
  }

  dispose(): void {
    this.#client.dispose();
  }
}

/**
 * Client of the weight store over HTTP; `weight_store.ts` gives the wire.
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

/** Weight store at one address. */
export class HttpWeightStore implements WeightStore, Disposable {
  readonly #caller: PlatformClient;

  private constructor(caller: PlatformClient) {
    this.#caller = caller;
  }

  static create(options: PlatformClientOptions): HttpWeightStore {
    return new HttpWeightStore(PlatformClient.create("weight_store", options));
  }

  async readRate(): Promise<Either<PlatformError, WeightRate>> {
    const answer = await this.#caller.call({ method: "GET", path: "/rate" });
    return answer.chain((answer) => this.#caller.parse(weightRate, answer));
  }

  dispose(): void {
    this.#caller.dispose();
  }
}

/**
 * Client of the host list over HTTP; `host_list.ts` gives the wire.
 */

import type { Either } from "purify-ts";
import { z } from "zod";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { HostList, HostListing } from "./host_list.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
} from "./platform_client.ts";
import type { PlatformError } from "./platform_error.ts";

const hostListing: z.ZodType<HostListing> = z.object({
  asOf: z.number(),
  hosts: z.array(z.object({
    host: z.string(),
    zone: z.string(),
    machineClass: z.string(),
    market: z.enum(["reclaimable", "on_demand"]),
    state: z.enum(["live", "leaving"]),
  })),
});

/** Host list at one address. */
export class HttpHostList implements HostList, Disposable {
  readonly #caller: PlatformClient;

  private constructor(caller: PlatformClient) {
    this.#caller = caller;
  }

  static create(options: PlatformClientOptions): HttpHostList {
    return new HttpHostList(PlatformClient.create("host_list", options));
  }

  async list(): Promise<Either<PlatformError, HostListing>> {
    const answer = await this.#caller.call({ method: "GET", path: "/hosts" });
    return answer.chain((answer) => this.#caller.parse(hostListing, answer));
  }

  dispose(): void {
    this.#caller.dispose();
  }
}

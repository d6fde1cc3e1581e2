/**
 * Client of the host list over HTTP; `host_list.ts` describes the wire format.
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

const listedHost = z.object({
  host: z.string(),
  zone: z.string(),
  machineClass: z.string(),
  market: z.enum(["reclaimable", "on_demand"]),
  state: z.enum(["live", "leaving"]),
});
/** An entry of another form names no host, and does not hide the others. */
const hostListing: z.ZodType<HostListing> = z.object({
  asOf: z.number(),
  hosts: z.array(z.unknown()).transform((entries) =>
    entries.flatMap((entry) => listedHost.safeParse(entry).data ?? [])
  ),
});

/** Client of the host list at one address. */
export class HttpHostList implements HostList, Disposable {
  readonly #client: PlatformClient;

  private constructor(client: PlatformClient) {
    this.#client = client;
  }

  static create(options: PlatformClientOptions): HttpHostList {
    return new HttpHostList(PlatformClient.create("host_list", options));
  }

  async list(): Promise<Either<PlatformError, HostListing>> {
    const response = await this.#client.call({ method: "GET", path: "/hosts" });
    return response.chain((response) =>
      this.#client.parse(hostListing, response)
    );
  }

  dispose(): void {
    this.#client.dispose();
  }
}

/**
 * The platform's list of hosts, which lags behind their actual state.
 *
 * Wire format: `GET /hosts` answers `HostListing`.
 */

import type { Either } from "purify-ts";
import type { Market } from "@almondcrank/common/configuration.ts";
import type { PlatformError } from "./platform_error.ts";

/** State of a host according to the list. */
export type HostState = "live" | "leaving";

/** One host. Hosts that no longer exist are not listed. */
export interface ListedHost {
  readonly host: string;
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly state: HostState;
}

/**
 * The whole list as of wall time `asOf`, in milliseconds since the Unix epoch.
 */
export interface HostListing {
  readonly asOf: number;
  readonly hosts: readonly ListedHost[];
}

/** Client of the host list. Failed calls resolve to `Left`. */
export interface HostList {
  list(): Promise<Either<PlatformError, HostListing>>;
}

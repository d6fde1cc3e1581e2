/**
 * The platform's list of hosts, which lags behind reality.
 *
 * Wire: `GET /hosts` answers `HostListing`.
 */

import type { Either } from "purify-ts";
import type { Market } from "@almondcrank/common/configuration.ts";
import type { PlatformError } from "./platform_error.ts";

/** State of a host as the list knows it. */
export type HostState = "live" | "leaving";

/** One host. Hosts that are gone are not listed. */
export interface ListedHost {
  readonly host: string;
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly state: HostState;
}

/** The whole list as of a wall time in milliseconds since the Unix epoch. */
export interface HostListing {
  readonly asOf: number;
  readonly hosts: readonly ListedHost[];
}

/** Client of the host list. */
export interface HostList {
  list(): Promise<Either<PlatformError, HostListing>>;
}

/**
 * The cloud API: rents hosts, takes them back, and announces reclaims.
 *
 * Wire format, HTTP with JSON:
 *
 *     POST   /instances  InstanceRequest        201 Instance | 409 {reason} refused
 *     DELETE /instances/HOST                    200 | 404
 *     GET    /instances                         200 {instances: Instance[]}
 *     GET    /notices?since=SEQ&waitMs=N        200 NoticeBatch
 *     GET    /prices                            200 {prices: Price[]}
 *
 * A request with a known `token` is answered with the instance of the first
 * one.
 */

import type { Either } from "purify-ts";
import type { Address } from "@almondcrank/common/address.ts";
import type { Market } from "@almondcrank/common/configuration.ts";
import type { PlatformError } from "./platform_error.ts";

/** Request for one host that runs one endpoint of a service. */
export interface InstanceRequest {
  /** Idempotency token chosen by the client. */
  readonly token: string;
  readonly service: string;
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
}

/** A rented host. */
export interface Instance {
  readonly host: string;
  readonly token: string;
  readonly service: string;
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly state: "starting" | "running" | "leaving";
  /** Address of its endpoint; undefined until the host is running. */
  readonly address: Address | undefined;
}

/** Outcome of an `InstanceRequest` that was answered. */
export type InstanceOutcome =
  | { readonly kind: "granted"; readonly instance: Instance }
  /** No capacity in that zone, class and market at the moment. */
  | { readonly kind: "refused"; readonly reason: string };

/** Notice that a host will be reclaimed. */
export interface ReclaimNotice {
  /** Grows by one per notice. */
  readonly sequence: number;
  readonly host: string;
  /**
   * Wall time at which the host vanishes, milliseconds since the Unix epoch.
   */
  readonly reclaimAt: number;
}

/** Notices after `since`; empty when none came within the wait. */
export interface NoticeBatch {
  readonly sequence: number;
  readonly notices: readonly ReclaimNotice[];
}

/** Price of a host-hour in thousandths of a currency unit. */
export interface Price {
  readonly zone: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly milliPerHour: number;
}

/** Client of the cloud API. Failed calls resolve to `Left`. */
export interface CloudApi {
  /** Rents a host, unless `isAllowed` is false when the call is about to leave. */
  requestInstance(
    request: InstanceRequest,
    isAllowed?: () => boolean,
  ): Promise<Either<PlatformError, InstanceOutcome>>;
  /** Gives a host back, under the same condition as `requestInstance`. */
  returnInstance(
    host: string,
    isAllowed?: () => boolean,
  ): Promise<Either<PlatformError, void>>;
  listInstances(): Promise<Either<PlatformError, readonly Instance[]>>;
  /** Waits up to `waitMs` for notices with a sequence number above `since`. */
  waitNotices(
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, NoticeBatch>>;
  listPrices(): Promise<Either<PlatformError, readonly Price[]>>;
}

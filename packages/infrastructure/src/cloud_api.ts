/**
 * The cloud API: hosts are rented, given back, and reclaimed with a notice.
 *
 * Wire, HTTP with JSON:
 *
 *     POST   /instances  InstanceRequest        201 Instance | 409 {reason} refused
 *     DELETE /instances/HOST                    200 | 404
 *     GET    /instances                         200 {instances: Instance[]}
 *     GET    /notices?since=SEQ&waitMs=N        200 NoticeBatch
 *     GET    /prices                            200 {prices: Price[]}
 *
 * A repeated `token` answers the instance of the first request.
 */

import type { Either } from "purify-ts";
import type { Address } from "@almondcrank/common/address.ts";
import type { Market } from "@almondcrank/common/configuration.ts";
import type { PlatformError } from "./platform_error.ts";

/** Request for one host that carries one endpoint of a service. */
export interface InstanceRequest {
  /** Idempotency token chosen by the caller. */
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
  /** Address of its endpoint once running. */
  readonly address: Address | undefined;
}

/** Outcome of a request that was answered. */
export type InstanceOutcome =
  | { readonly kind: "granted"; readonly instance: Instance }
  /** No capacity in that zone, class and market at the moment. */
  | { readonly kind: "refused"; readonly reason: string };

/** Announcement that a host is reclaimed. */
export interface ReclaimNotice {
  /** Grows by one per notice. */
  readonly sequence: number;
  readonly host: string;
  /** Wall time at which the host vanishes, milliseconds since the Unix epoch. */
  readonly reclaimAt: number;
}

/** Notices after `since`, empty when the wait ended first. */
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

/** Client of the cloud API. */
export interface CloudApi {
  requestInstance(
    request: InstanceRequest,
  ): Promise<Either<PlatformError, InstanceOutcome>>;
  returnInstance(host: string): Promise<Either<PlatformError, void>>;
  listInstances(): Promise<Either<PlatformError, readonly Instance[]>>;
  waitNotices(
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, NoticeBatch>>;
  listPrices(): Promise<Either<PlatformError, readonly Price[]>>;
}

/**
 * Errors of leases: not held, lapsed, or not renewed.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";

/** Cause of a lease error. */
export type LeaseErrorDetail =
  /**
   * This process does not hold the lease; `holder` is the last known holder.
   */
  | {
    readonly kind: "not_held";
    readonly shard: string;
    readonly holder: string | undefined;
  }
  /** The lease was held but not renewed in time. */
  | {
    readonly kind: "lapsed";
    readonly shard: string;
    readonly lapsedMs: number;
  }
  /** The object store failed or its answer was lost. */
  | {
    readonly kind: "platform";
    readonly shard: string;
    readonly cause: PlatformError;
  };

/** A lease that is not held, has lapsed or could not be renewed. */
export class LeaseError extends KindError<LeaseErrorDetail> {
  static create(detail: LeaseErrorDetail): LeaseError {
    return new LeaseError(detail, formatLeaseError(detail));
  }
}

function formatLeaseError(detail: LeaseErrorDetail): string {
  const lease = `lease on shard "${detail.shard}"`;
  switch (detail.kind) {
    case "not_held":
      return `${lease} is held by ${
        detail.holder ?? "no process"
      }; send no orders for this shard from this process`;
    case "lapsed":
      return `${lease} lapsed ${
        Math.round(detail.lapsedMs)
      } ms ago; renew it before sending orders`;
    case "platform":
      return `${lease} could not be acquired or renewed (${detail.cause.message}); orders stop when it lapses, unless a retry succeeds`;
  }
}

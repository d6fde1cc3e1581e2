/**
 * Reasons for which a lease allows no order.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";

export type LeaseErrorDetail =
  /** This process does not hold the lease; `holder` does, as far as known. */
  | {
    readonly kind: "not_held";
    readonly shard: string;
    readonly holder: string | undefined;
  }
  /** The last renewal is too long ago. */
  | {
    readonly kind: "lapsed";
    readonly shard: string;
    readonly lapsedMs: number;
  }
  | {
    readonly kind: "platform";
    readonly shard: string;
    readonly cause: PlatformError;
  };

/** A lease that is not held or could not be renewed. */
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
        detail.holder ?? "nobody"
      }; leave its orders to the holder`;
    case "lapsed":
      return `${lease} lapsed ${
        Math.round(detail.lapsedMs)
      } ms ago; renew it before any order`;
    case "platform":
      return `${lease} could not be renewed (${detail.cause.message}); orders stop when it lapses`;
  }
}

/**
 * Limits of requests a second that endpoints of the own interface state in their
 * load reports, and this node's shares of them.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";
import { LimitShares } from "./limit_shares.ts";
import { RequestLimit } from "./request_limit.ts";

/** Dependencies of the limits of one node. */
export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly hasher: Hasher;
  /** Name of this node. */
  readonly self: string;
}

/** Limits of all endpoints that state one. */
export class EndpointLimits {
  readonly #clock: Clock;
  readonly #shares: LimitShares;
  readonly #limits = new Map<string, RequestLimit>();

  private constructor({ clock, hasher, self }: EndpointLimitsOptions) {
    this.#clock = clock;
    this.#shares = LimitShares.create(self, hasher);
  }

  static create(options: EndpointLimitsOptions): EndpointLimits {
    return new EndpointLimits(options);
  }

  /** Records the limit that an endpoint states in a report, if any. */
  record({ endpoint, ageMs, requestsPerSecond }: EndpointLoad): void {
    const known = this.#limits.get(endpoint);
    if (known === undefined && requestsPerSecond === undefined) return;
    const limit = known ?? RequestLimit.create();
    const now = this.#clock.now();
    limit.learn(
      { perSecond: requestsPerSecond, statedAt: now - ageMs },
      now,
    );
    this.#limits.set(endpoint, limit);
  }

  /** Whether this node may send a request to an endpoint. */
  isOpen(endpoint: string): boolean {
    return this.#limits.get(endpoint)?.isOpen(this.#clock.now()) ?? true;
  }

  /** Counts a request that this node sends to an endpoint. */
  charge(endpoint: string): void {
    this.#limits.get(endpoint)?.charge(this.#clock.now());
  }

  /**
   * Updates the shares.
   *
   * @param nodes Names of the nodes that share the limits, this one included.
   */
  refresh(nodes: readonly string[]): void {
    const now = this.#clock.now();
    this.#shares.setNodes(nodes);
    for (const [endpoint, limit] of this.#limits) {
      this.#shares.apply(endpoint, limit, now);
      if (limit.perSecond === undefined) this.#limits.delete(endpoint);
    }
  }
}

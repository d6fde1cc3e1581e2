/**
 * Tells whether the platform has reclaimable replicas to give, by the outcomes of
 * the orders for them.
 *
 * A shortage is of all zones of a service. While it lasts, zones ask in turn, so
 * that its end is noticed with few calls.
 */

import type { CloudCallOutcome } from "@almondcrank/platform/platform_cloud.ts";

/** Delay between orders for reclaimable replicas while none are available. */
const probeMs = 600;

/** An order for reclaimable replicas of one zone, and how it ended. */
export interface ReclaimableOrder {
  readonly service: string;
  /** Number that was ordered. */
  readonly count: number;
  /** Number that served already. */
  readonly ready: number;
  readonly outcome: CloudCallOutcome | "unknown";
}

/** Shortages of all services, as one node knows them. */
export class ReclaimableShortage {
  /** Monotonic time of the next order, by service. */
  readonly #nextProbeAt = new Map<string, number>();

  static create(): ReclaimableShortage {
    return new ReclaimableShortage();
  }

  /** Whether none were available for a service when it last asked for more. */
  isShort(service: string): boolean {
    return this.#nextProbeAt.has(service);
  }

  /** Begins or ends a shortage by the outcome of an order. */
  record(order: ReclaimableOrder, now: number): void {
    const { service, count, ready, outcome } = order;
    if (outcome === "none_available") {
      this.#nextProbeAt.set(service, now + probeMs);
    } else if (outcome === "accepted" && count > ready) {
      // An order for no more than serve is accepted in a shortage, too.
      this.#nextProbeAt.delete(service);
    }
  }

  /** Takes the turn to ask, if an order may be sent now. */
  takeProbe(service: string, now: number): boolean {
    const nextProbeAt = this.#nextProbeAt.get(service);
    if (nextProbeAt === undefined) return true;
    if (now < nextProbeAt) return false;
    this.#nextProbeAt.set(service, now + probeMs);
    return true;
  }
}

/**
 * Bounds how often requests are sent once more, for each service.
 *
 * All nodes share one budget: a part of the live requests and a fixed extra, in
 * a sliding window. Each node counts what it and its peers did; what peers have
 * not reported yet is covered by using only part of the budget.
 */

import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Why a request is sent once more. */
export type RetryReason =
  | "not_sent"
  | "declined"
  | "lost"
  | "failed"
  | "silent"
  | "moved";

/** The contract's budget. */
export interface RetryBudgetOptions {
  readonly ratio: number;
  readonly extra: number;
  readonly windowMs: number;
}

/** Share of the budget that is used, the rest is for reports that come late. */
const usedShare = 0.7;

interface ServiceCounts {
  readonly requests: SlidingWindowCounter;
  readonly repeats: SlidingWindowCounter;
  ownRequests: number;
  ownRepeats: number;
}

/** Budgets of all services. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #services = new Map<string, ServiceCounts>();
  #share = 1;

  private constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Records a request of a caller for the service. */
  recordRequest(service: string, now: number): void {
    const counts = this.#find(service);
    counts.requests.add(1, now);
    counts.ownRequests += 1;
  }

  /** Takes one repeat; false when the budget is spent. */
  take(service: string, now: number): boolean {
    const counts = this.#find(service);
    const { ratio, extra } = this.#options;
    const budget = ratio * counts.requests.read(now) + extra * this.#share;
    if (counts.repeats.read(now) + 1 > budget * usedShare) return false;
    counts.repeats.add(1, now);
    counts.ownRepeats += 1;
    return true;
  }

  /** Counts what a peer reports since its last report. */
  applyPeerCounts(
    service: string,
    delta: { readonly requests: number; readonly repeats: number },
    now: number,
  ): void {
    const counts = this.#find(service);
    counts.requests.add(delta.requests, now);
    counts.repeats.add(delta.repeats, now);
  }

  /** Sets the share of the extra that this node and those it hears may use. */
  setShare(share: number): void {
    this.#share = Math.min(1, share);
  }

  /** Own sums since the start, for the peers. */
  listSums(): readonly (readonly [string, number, number])[] {
    return [...this.#services].map((
      [name, counts],
    ) => [name, counts.ownRequests, counts.ownRepeats]);
  }

  #find(service: string): ServiceCounts {
    let counts = this.#services.get(service);
    if (counts === undefined) {
      const { windowMs } = this.#options;
      counts = {
        requests: SlidingWindowCounter.create(windowMs),
        repeats: SlidingWindowCounter.create(windowMs),
        ownRequests: 0,
        ownRepeats: 0,
      };
      this.#services.set(service, counts);
    }
    return counts;
  }
}

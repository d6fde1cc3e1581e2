/**
 * Retry budget of each service, shared by all nodes.
 *
 * In a sliding window the retries of all nodes stay below a ratio of the requests
 * plus a fixed extra. Each node counts its own requests and retries and those that
 * its peers report. To cover what they have not reported yet, only a share of the
 * budget is used.
 */

import { SlidingWindowCounter } from "./sliding_window_counter.ts";

/** Why a request is sent again. */
export type RetryReason =
  | "not_sent"
  | "declined"
  | "lost"
  | "failed"
  | "silent"
  | "moved";

/** Budget that the deployment's contract grants to each service. */
export interface RetryBudgetOptions {
  /** Retries as a share of the requests in a window. */
  readonly ratio: number;
  /** Number of retries beyond that share in a window. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Share of the budget that is used; the rest covers reports that arrive late. */
const usedShare = 0.7;

interface ServiceCounts {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
  ownRequests: number;
  ownRetries: number;
}

/** Retry budgets of all services. Times are monotonic, in milliseconds. */
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

  /** Counts a caller's request to the service. */
  recordRequest(service: string, now: number): void {
    const counts = this.#find(service);
    counts.requests.add(1, now);
    counts.ownRequests += 1;
  }

  /** Takes one retry out of the budget; false when the budget is spent. */
  take(service: string, now: number): boolean {
    const counts = this.#find(service);
    const { ratio, extra } = this.#options;
    const budget = ratio * counts.requests.read(now) + extra * this.#share;
    if (counts.retries.read(now) + 1 > budget * usedShare) return false;
    counts.retries.add(1, now);
    counts.ownRetries += 1;
    return true;
  }

  /** Adds the requests and retries of a peer since its last report. */
  applyPeerCounts(
    service: string,
    delta: { readonly requests: number; readonly retries: number },
    now: number,
  ): void {
    const counts = this.#find(service);
    counts.requests.add(delta.requests, now);
    counts.retries.add(delta.retries, now);
  }

  /** Sets the share of the extra that this node and the peers it hears from may use. */
  setShare(share: number): void {
    this.#share = Math.min(1, share);
  }

  /** Lists each service with this node's requests and retries since it started. */
  listSums(): readonly (readonly [string, number, number])[] {
    return [...this.#services].map((
      [name, counts],
    ) => [name, counts.ownRequests, counts.ownRetries]);
  }

  #find(service: string): ServiceCounts {
    let counts = this.#services.get(service);
    if (counts === undefined) {
      const { windowMs } = this.#options;
      counts = {
        requests: SlidingWindowCounter.create(windowMs),
        retries: SlidingWindowCounter.create(windowMs),
        ownRequests: 0,
        ownRetries: 0,
      };
      this.#services.set(service, counts);
    }
    return counts;
  }
}

/**
 * Retry budgets by name: of services that all nodes share, or of single endpoints.
 *
 * In a sliding window the retries stay below a ratio of the requests plus a fixed
 * extra. A budget may be shared by many nodes. Each node then counts its own
 * requests and retries and those that its peers report; to cover what they have not
 * reported yet, only a share of the budget is used, and of what is left each node
 * takes at most its part between two rounds of reports.
 */

import { SlidingWindowCounter } from "../limits/sliding_window_counter.ts";

/** Limits that hold for each name. */
export interface RetryBudgetOptions {
  /** Retries as a share of the requests in a window. */
  readonly ratio: number;
  /** Number of retries beyond that share in a window. */
  readonly extra: number;
  readonly windowMs: number;
  /** Share of the budget that is used; less than 1 if nodes share it. */
  readonly usedShare: number;
}

/** Names whose counts are kept; the one added first is forgotten. */
const maxNames = 8_192;

interface RetryCounts {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
  /** Those of the peers. */
  readonly peerRequests: SlidingWindowCounter;
  readonly peerRetries: SlidingWindowCounter;
  ownRequests: number;
  ownRetries: number;
  /** Retries that this node may still take before the next refresh. */
  credit: number;
}

/** Nodes that share the budgets, as one of them sees the others. */
export interface BudgetSharers {
  /** Nodes that may be running, this one included. */
  readonly known: number;
  /** Those of them that this node hears from, and itself. */
  readonly heard: number;
  /** Refreshes until all nodes know what one of them reported. */
  readonly refreshesPerRound: number;
}

/** Retry budgets of all names. Times are monotonic, in milliseconds. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #counts = new Map<string, RetryCounts>();
  #sharers: BudgetSharers = { known: 1, heard: 1, refreshesPerRound: 1 };

  private constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Counts a request. */
  recordRequest(name: string, now: number): void {
    const counts = this.#find(name);
    counts.requests.add(1, now);
    counts.ownRequests += 1;
  }

  /** Takes one retry out of the budget; false when the budget is spent. */
  take(name: string, now: number): boolean {
    const counts = this.#find(name);
    if (counts.credit < 1 || this.#computeLeft(counts, now) < 1) return false;
    counts.retries.add(1, now);
    counts.ownRetries += 1;
    counts.credit -= 1;
    return true;
  }

  /** Adds the requests and retries of a peer since its last report. */
  applyPeerCounts(
    name: string,
    delta: { readonly requests: number; readonly retries: number },
    now: number,
  ): void {
    const counts = this.#find(name);
    counts.peerRequests.add(delta.requests, now);
    counts.peerRetries.add(delta.retries, now);
  }

  /**
   * Sets the nodes that share the budgets, and gives this node its part of what is
   * left. Call it at each report. What peers counted that are no longer heard is left
   * to them, so that the sides of a cut don't spend it each.
   */
  refresh(sharers: BudgetSharers, now: number): void {
    const factor = computePeerShare(sharers) / computePeerShare(this.#sharers);
    this.#sharers = sharers;
    for (const counts of this.#counts.values()) {
      if (factor < 1) {
        counts.peerRequests.scale(factor);
        counts.peerRetries.scale(factor);
      }
      counts.credit = this.#computeCredit(counts, now);
    }
  }

  /** Lists each name with this node's requests and retries since it started. */
  listSums(): readonly (readonly [string, number, number])[] {
    return [...this.#counts].map((
      [name, counts],
    ) => [name, counts.ownRequests, counts.ownRetries]);
  }

  /** Computes how many retries are left to all nodes that hear each other. */
  #computeLeft(counts: RetryCounts, now: number): number {
    const requests = counts.requests.read(now) + counts.peerRequests.read(now);
    const retries = counts.retries.read(now) + counts.peerRetries.read(now);
    const { ratio, extra, usedShare } = this.#options;
    const { heard, known } = this.#sharers;
    const share = Math.min(1, heard / known);
    const budget = ratio * requests + extra * share;
    return budget * usedShare - retries;
  }

  /**
   * Computes this node's part of what is left until the next refresh. If a report
   * reaches all nodes before that, they may use the whole of it.
   */
  #computeCredit(counts: RetryCounts, now: number): number {
    const { heard, refreshesPerRound } = this.#sharers;
    if (refreshesPerRound <= 1) return Infinity;
    const part = Math.max(0, this.#computeLeft(counts, now)) / heard;
    return Math.min(
      Math.max(1, part),
      counts.credit + part / refreshesPerRound,
    );
  }

  #find(name: string): RetryCounts {
    const present = this.#counts.get(name);
    if (present !== undefined) return present;
    const { windowMs } = this.#options;
    const counts = {
      requests: SlidingWindowCounter.create(windowMs),
      retries: SlidingWindowCounter.create(windowMs),
      peerRequests: SlidingWindowCounter.create(windowMs),
      peerRetries: SlidingWindowCounter.create(windowMs),
      ownRequests: 0,
      ownRetries: 0,
      credit: this.#sharers.refreshesPerRound <= 1 ? Infinity : 1,
    };
    this.#counts.set(name, counts);
    this.#forgetOldest();
    return counts;
  }

  /** Forgets the name that was added first, once there are too many. */
  #forgetOldest(): void {
    if (this.#counts.size <= maxNames) return;
    for (const name of this.#counts.keys()) {
      this.#counts.delete(name);
      return;
    }
  }
}

/** Share of the peers that is heard; above 0, so that it can be compared. */
function computePeerShare({ known, heard }: BudgetSharers): number {
  return known <= 1
    ? 1
    : Math.max(1e-9, Math.min(1, (heard - 1) / (known - 1)));
}

/**
 * How far an allowance may be exceeded on purpose.
 *
 * The load that this answers: a tenant at its limit, at many nodes that hear of each
 * other late. A contract allows an excess in each window; one part of it is used so
 * that late news don't cost what is allowed, the rest covers what nodes admit before
 * they hear of each other. After a restart nothing tells how much of the window was
 * used, so the excess grows from nothing again.
 */

/** What the contract allows beyond rate and burst, and how a node starts. */
export interface AllowanceTerms {
  /** Share of a window's allowance by which a tenant may exceed it. */
  readonly overage: number;
  /** Window of the contract. */
  readonly windowMs: number;
  /**
   * Share of the burst that a bucket holds when the node starts; 1 where the
   * system starts for the first time, so that nothing was used before.
   */
  readonly startShare: number;
}

/** Terms of a contract without overage. */
export const plainTerms: AllowanceTerms = {
  overage: 0,
  windowMs: 0,
  startShare: 1,
};

/** Rate per second and burst of the whole system. */
export interface Allowance {
  readonly rate: number;
  readonly burst: number;
}

/** Share of the contract's tolerance by which a bucket may be overdrawn. */
const toleranceShare = 0.5;
/** Part of the tolerance's overdraft that is open to requests without preference. */
const normalToleranceShare = 0.3;
/** Share of the contract's overage by which a bucket may be overdrawn. */
const overageShare = 0.3;
/** Part of the overage's overdraft that is open to requests without preference. */
const normalOverageShare = 0.8;
/** Share of the overage by which the refill is raised. */
const overageRateShare = 0.6;
/** Share of the tolerance by which a window's refill is raised. */
const toleranceRateShare = 0.3;

/** Windows after a restart until the whole excess is used again. */
const restartWindows = 2;

/** Margins of one node. Times are monotonic, in milliseconds. */
export class AllowanceMargins {
  readonly #tolerance: number;
  readonly #terms: AllowanceTerms;
  #startedAt: number | undefined;
  #isRestart: boolean;

  private constructor(tolerance: number, terms: AllowanceTerms) {
    this.#tolerance = tolerance;
    this.#terms = terms;
    this.#isRestart = terms.startShare < 1;
  }

  /** @param tolerance Cost by which a tenant may exceed its allowance in a window. */
  static create(tolerance: number, terms: AllowanceTerms): AllowanceMargins {
    return new AllowanceMargins(tolerance, terms);
  }

  /** Share of the burst that a bucket holds at first. */
  get startShare(): number {
    return this.#terms.startShare;
  }

  /** Whether nothing tells yet what was used before this node started. */
  get isRestart(): boolean {
    return this.#isRestart;
  }

  /** Records that a peer that ran for a time told what is left. */
  recordTold(peerUpMs: number): void {
    if (peerUpMs >= this.#terms.windowMs) this.#isRestart = false;
  }

  /** Starts the first window, unless it has started. */
  start(now: number): void {
    this.#startedAt ??= now;
  }

  /** Time since the start. */
  computeUpMs(now: number): number {
    return now - (this.#startedAt ?? now);
  }

  /** Share of the excess to use, which grows after a restart; else 1. */
  computeUpShare(now: number): number {
    if (!this.isRestart) return 1;
    const growMs = this.#terms.windowMs * restartWindows;
    return Math.min(1, this.computeUpMs(now) / growMs);
  }

  /** Refill per second: the rate, a part of the overage and of the tolerance. */
  computeRate(ratePerSecond: number, now: number): number {
    const { overage, windowMs } = this.#terms;
    if (overage === 0) return ratePerSecond;
    const extra = ratePerSecond * overage * overageRateShare +
      this.#tolerance * toleranceRateShare / (windowMs / 1_000);
    return ratePerSecond + extra * this.computeUpShare(now);
  }

  /** Cost by which the bucket of the whole system may be overdrawn. */
  computeOverdraft(allowance: Allowance, now: number): number {
    const overdraft = this.#tolerance * toleranceShare +
      this.#computeOverage(allowance);
    return overdraft * this.computeUpShare(now);
  }

  /** Cost by which requests without preference may overdraw the system's bucket. */
  computeNormalOverdraft(allowance: Allowance, now: number): number {
    const overdraft = this.#tolerance * toleranceShare * normalToleranceShare +
      this.#computeOverage(allowance) * normalOverageShare;
    return overdraft * this.computeUpShare(now);
  }

  #computeOverage({ rate, burst }: Allowance): number {
    const { overage, windowMs } = this.#terms;
    return (rate * windowMs / 1_000 + burst) * overage * overageShare;
  }
}

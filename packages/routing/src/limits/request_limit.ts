/**
 * Limit of requests a second that one replica names in its answers, for all nodes
 * together, and this node's share of it.
 *
 * A node sends what its share allows, from a token bucket. The bucket is empty when
 * the share begins, so that shares that pass from node to node add nothing.
 */

/** How an answer changed what is known of a replica's limit. */
export type LimitChange = "named" | "changed" | "ended";

/** When a request was sent, and when its answer arrived. */
export interface AnswerTimes {
  readonly sentAt: number;
  readonly now: number;
}

/** What a node tells others of a limit. */
export interface ToldLimit {
  /** Requests a second; undefined if the replica names no limit. */
  readonly perSecond: number | undefined;
  /** Time of the answer that said so. */
  readonly statedAt: number;
}

/** Requests that may be saved up, in seconds of the share. */
const burstSeconds = 0.5;
const minBurst = 1;
/**
 * Difference from which on a peer's news are newer: ages grow a little on each way
 * from node to node.
 */
const minNewsMs = 100;
/** Longest wait that is suggested to callers. */
const maxWaitMs = 5_000;

/** Limit of one replica, as one node knows it. Times are monotonic, in milliseconds. */
export class RequestLimit {
  #perSecond: number | undefined;
  #statedAt = -Infinity;
  #changedAt = -Infinity;
  #share = 0;
  #tokens = 0;
  #refilledAt = -Infinity;

  static create(): RequestLimit {
    return new RequestLimit();
  }

  /** Requests a second for all nodes together; undefined if there is no limit. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /** Requests a second that this node may send. */
  get share(): number {
    return this.#share;
  }

  /** Time of the last answer that said whether there is a limit. */
  get statedAt(): number {
    return this.#statedAt;
  }

  /** Time at which this node last learnt of a change. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /**
   * Records what an answer of the replica says.
   *
   * An answer may have been long on its way, so one that names no limit counts as
   * of the time at which its request was sent.
   *
   * @param perSecond Limit that it names; undefined if it names none.
   * @returns What changed; undefined if nothing did.
   */
  recordAnswer(
    perSecond: number | undefined,
    { sentAt, now }: AnswerTimes,
  ): LimitChange | undefined {
    if (perSecond !== undefined) {
      return this.#set({ perSecond, statedAt: now }, now);
    }
    if (sentAt <= this.#statedAt) return undefined;
    return this.#set({ perSecond, statedAt: sentAt }, now);
  }

  /** Learns what a peer tells, unless this node knows as late news. */
  learn(told: ToldLimit, now: number): LimitChange | undefined {
    if (told.statedAt - this.#statedAt < minNewsMs) return undefined;
    return this.#set(told, now);
  }

  /** Sets this node's share, in requests a second. */
  setShare(share: number, now: number): void {
    this.#refill(now);
    this.#share = share;
    this.#tokens = Math.min(this.#tokens, this.#burst);
  }

  /** Whether this node may send a request. */
  isOpen(now: number): boolean {
    return this.#perSecond === undefined || this.#readTokens(now) >= 1;
  }

  /**
   * Counts a request that this node sends. One that may not wait is counted in
   * advance; the next ones make up for it.
   */
  charge(now: number): void {
    if (this.#perSecond === undefined) return;
    this.#refill(now);
    this.#tokens -= 1;
  }

  /** Time until a request may be sent, as far as this node can tell. */
  computeWaitMs(now: number): number {
    if (this.isOpen(now)) return 0;
    const missing = 1 - this.#readTokens(now);
    const waitMs = this.#share > 0
      ? missing * 1_000 / this.#share
      : 1_000 / (this.#perSecond ?? 1);
    return Math.min(maxWaitMs, waitMs);
  }

  #set(told: ToldLimit, now: number): LimitChange | undefined {
    const previous = this.#perSecond;
    this.#perSecond = told.perSecond;
    this.#statedAt = told.statedAt;
    if (previous === told.perSecond) return undefined;
    this.#changedAt = now;
    if (told.perSecond === undefined) {
      this.#share = 0;
      return "ended";
    }
    if (previous !== undefined) return "changed";
    this.#tokens = 0;
    this.#refilledAt = now;
    return "named";
  }

  get #burst(): number {
    return this.#share === 0
      ? 0
      : Math.max(minBurst, this.#share * burstSeconds);
  }

  #readTokens(now: number): number {
    const elapsedMs = Math.max(0, now - this.#refilledAt);
    const refilled = this.#tokens + elapsedMs / 1_000 * this.#share;
    return Math.min(this.#burst, refilled);
  }

  #refill(now: number): void {
    this.#tokens = this.#readTokens(now);
    this.#refilledAt = now;
  }
}

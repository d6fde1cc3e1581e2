/**
 * Limit of requests a second that one replica names in its answers, for all nodes
 * together.
 */

/** How an answer changed what is known of a replica's limit. */
export type LimitChange = "named" | "changed" | "ended";

/** Limit of one replica, as one node knows it. Times are monotonic, in milliseconds. */
export class RequestLimit {
  #perSecond: number | undefined;
  #statedAt = -Infinity;

  static create(): RequestLimit {
    return new RequestLimit();
  }

  /** Requests a second for all nodes together; undefined if there is no limit. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /** Time of the last answer that said whether there is a limit. */
  get statedAt(): number {
    return this.#statedAt;
  }

  /**
   * Records what an answer of the replica says.
   *
   * @param perSecond Limit that it names; undefined if it names none.
   * @returns What changed; undefined if nothing did.
   */
  recordAnswer(
    perSecond: number | undefined,
    now: number,
  ): LimitChange | undefined {
    const previous = this.#perSecond;
    this.#perSecond = perSecond;
    this.#statedAt = now;
    if (previous === perSecond) return undefined;
    if (perSecond === undefined) return "ended";
    return previous === undefined ? "named" : "changed";
  }
}

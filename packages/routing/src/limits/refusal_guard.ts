/**
 * Keeps the refusals of a replica that falls over when it has to turn away too many
 * requests a second, and says so in its answers.
 *
 * The load it answers: more requests than such replicas have room for, from many
 * nodes that each know its load late. A node sends only what the replica has a free
 * place for, as far as it knows; after a refusal it waits as long as keeps all nodes
 * together below the number that the replica bears, if each is refused as often.
 */

/** Time after the last answer that says so from which a replica is sound. */
const statedForMs = 10_000;
/** Share of the refusals that a replica bears which nodes may cause. */
const usedShare = 0.4;
const maxPauseMs = 60_000;
/** Factor by which the nodes' shares of its places exceed them: few use all. */
const overbooking = 1.25;

/** What a node knows of the room of a replica. */
export interface KnownRoom {
  /** Requests there of all nodes, and of this one. */
  readonly active: number;
  readonly own: number;
  /** Number of nodes that may send to it. */
  readonly nodes: number;
  /** Requests that it runs at the same time. */
  readonly slots: number;
}

/** Guard of one replica at one node. Times are monotonic, in milliseconds. */
export class RefusalGuard {
  #perSecond: number | undefined;
  #statedAt = -Infinity;
  #pausedUntil = -Infinity;

  static create(): RefusalGuard {
    return new RefusalGuard();
  }

  /** Refusals a second that it says it bears; undefined if it says nothing. */
  readPerSecond(now: number): number | undefined {
    return now - this.#statedAt <= statedForMs ? this.#perSecond : undefined;
  }

  /** Records what an answer says; one that says nothing changes nothing. */
  recordStatement(perSecond: number | undefined, now: number): void {
    if (perSecond === undefined) return;
    this.#perSecond = perSecond;
    this.#statedAt = now;
  }

  /**
   * Records that it has refused a request of this node for want of room.
   *
   * @param nodes Number of nodes that may send to it.
   */
  recordRefusal(nodes: number, now: number): void {
    const perSecond = this.readPerSecond(now);
    if (perSecond === undefined) return;
    const allowed = Math.max(perSecond * usedShare, 0.1);
    const pauseMs = Math.min(maxPauseMs, 1_000 * nodes / allowed);
    this.#pausedUntil = Math.max(this.#pausedUntil, now + pauseMs);
  }

  /** Whether this node may send it a request. */
  isOpen({ active, own, nodes, slots }: KnownRoom, now: number): boolean {
    if (this.readPerSecond(now) === undefined) return true;
    const share = Math.max(1, Math.floor(slots * overbooking / nodes));
    return now >= this.#pausedUntil && own < share && active < slots;
  }

  /** Time until it may, apart from its room, in milliseconds. */
  computeWaitMs(now: number): number {
    if (this.readPerSecond(now) === undefined) return 0;
    return Math.max(0, this.#pausedUntil - now);
  }
}

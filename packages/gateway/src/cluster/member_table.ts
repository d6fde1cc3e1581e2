/**
 * Membership: the other nodes of the system, as far as this node knows them from
 * their datagrams or from what relays report of them.
 */

/** Another node, as it was last known. */
export interface Member {
  readonly node: string;
  readonly incarnation: string;
  readonly ip: string;
  readonly zone: string;
  readonly isDraining: boolean;
  /** Whether it reported that it does not reach the store. */
  readonly isStoreUnreachable: boolean;
  /** Monotonic time at which it was last known to run, in milliseconds. */
  readonly lastSeenAt: number;
  /** Fencing token while it holds the duties' lease. */
  readonly fencingToken: number | undefined;
  /** Its last datagram; undefined if it is only known from others. */
  readonly datagram: MemberDatagram | undefined;
}

/** What a node keeps of the last datagram of another one. */
export interface MemberDatagram {
  /** Monotonic time of its arrival, in milliseconds. */
  readonly receivedAt: number;
  /** Timestamp in it, to be echoed. */
  readonly sentAt: number;
  /** The sender's time of day minus this node's monotonic time. */
  readonly wallTimeOffset: number;
}

/** State of a member as a relay reports it. */
export type ReportedMember = Pick<
  Member,
  "node" | "isDraining" | "isStoreUnreachable" | "lastSeenAt" | "fencingToken"
>;

/** Shortest time without a sign of life after which a node is not alive. */
const minAliveWindowMs = 1_200;
/** Rounds of datagrams that may be lost before a node is not alive. */
const lostRounds = 3;
/** Rounds of datagrams after which what a node admitted counts as not heard of. */
const heardRounds = 1;
/** Time that a round may take longer: a datagram is lost, or a node is busy. */
const heardSlackMs = 500;
/** Time without a sign of life after which a node no longer shares limits. */
const knownWithinMs = 12_000;
/**
 * Time for which nodes are expected that fell silent without draining. It is much
 * longer than `knownWithinMs`: a node that has lost sight of the others for longer
 * than that would else take the few it still hears for the whole system.
 */
const expectedWithinMs = 60_000;
/** Number of expected nodes from which on a node can tell that it is isolated. */
const minNodesToBeIsolated = 13;
/** Share of the expected nodes that are alive for a node that is not isolated. */
const isolatedShare = 0.25;
/** Time for which the median of the clocks is reused. */
const wallTimeReuseMs = 200;

/** Membership table of one node, without the node itself. */
export class MemberTable {
  readonly #self: string;
  readonly #readAddedMs: () => number;
  readonly #members = new Map<string, Member>();
  /** What the clock had added when each member was last recorded. */
  readonly #addedMsWhenSeen = new Map<string, number>();
  /** Addresses without a datagram yet, with the time they were added. */
  readonly #unconfirmedIps = new Map<string, number>();
  #roundMs = 0;
  #aliveWithinMs = minAliveWindowMs;
  #highestFencingToken = 0;
  #medianOffset: number | undefined;
  #medianAt = -Infinity;

  private constructor(self: string, readAddedMs: () => number) {
    this.#self = self;
    this.#readAddedMs = readAddedMs;
  }

  /**
   * @param readAddedMs Reads how much of the times that the methods are given was
   * added for suspensions, in milliseconds.
   */
  static create(
    self: string,
    readAddedMs: () => number = () => 0,
  ): MemberTable {
    return new MemberTable(self, readAddedMs);
  }

  /** Time in which a sign of life of each node reaches all others. */
  get roundMs(): number {
    return this.#roundMs;
  }

  setRoundMs(roundMs: number): void {
    this.#roundMs = roundMs;
    this.#aliveWithinMs = Math.max(minAliveWindowMs, roundMs * lostRounds);
  }

  /**
   * Records a datagram; returns whether its sender may not know the others: it is a
   * new incarnation, or was silent for some time.
   */
  record(member: Member & { readonly datagram: MemberDatagram }): boolean {
    const previous = this.#members.get(member.node);
    this.#set(member);
    return previous?.incarnation !== member.incarnation ||
      member.lastSeenAt - previous.lastSeenAt > knownWithinMs;
  }

  /**
   * Records what a relay reports of a member. Older news are ignored, as are those
   * of a node whose address this node does not know.
   */
  recordReported(reported: ReportedMember): void {
    const previous = this.#members.get(reported.node);
    if (previous === undefined) return;
    if (previous.lastSeenAt >= reported.lastSeenAt) return;
    this.#set({ ...previous, ...reported });
  }

  /** Introduces a node that runs somewhere, from the list of another one. */
  introduce(
    { node, ip, zone }: Pick<Member, "node" | "ip" | "zone">,
    now: number,
  ): void {
    if (node === this.#self) return;
    const previous = this.#members.get(node);
    const isCurrent = previous !== undefined && previous.ip === ip &&
      now - previous.lastSeenAt <= knownWithinMs;
    if (isCurrent) return;
    this.#set({
      node,
      ip,
      zone,
      incarnation: "",
      isDraining: false,
      isStoreUnreachable: false,
      lastSeenAt: now - this.#aliveWithinMs / 2,
      fencingToken: undefined,
      datagram: undefined,
    });
  }

  /** Adds an address at which a node may run. */
  addAddress(ip: string, now: number): void {
    for (const member of this.#members.values()) {
      if (member.ip === ip) return;
    }
    if (!this.#unconfirmedIps.has(ip)) this.#unconfirmedIps.set(ip, now);
  }

  find(node: string): Member | undefined {
    return this.#members.get(node);
  }

  /** Members that are alive: a recent sign of life arrived. */
  listAlive(now: number): readonly Member[] {
    return this.#listSeenWithin(this.#aliveWithinMs, now);
  }

  /** Members of which this node hears what they admit: in nearly each round. */
  listHeard(now: number): readonly Member[] {
    return this.#listSeenWithin(
      this.#roundMs * heardRounds + heardSlackMs,
      now,
    );
  }

  /**
   * Members that may be alive: seen within 12 s, not counting suspensions. Right
   * after one this node would else take itself for the only one, and for itself
   * what all share.
   */
  listKnown(now: number): readonly Member[] {
    const addedMs = this.#readAddedMs();
    return [...this.#members.values()].filter(({ node, lastSeenAt }) => {
      const addedSinceMs = addedMs - (this.#addedMsWhenSeen.get(node) ?? 0);
      return now - lastSeenAt - addedSinceMs <= knownWithinMs;
    });
  }

  /** Addresses at which a node may run that has not sent a datagram yet. */
  listUnconfirmed(now: number): readonly string[] {
    for (const [ip, since] of this.#unconfirmedIps) {
      if (now - since > knownWithinMs) this.#unconfirmedIps.delete(ip);
    }
    return [...this.#unconfirmedIps.keys()];
  }

  /**
   * Rank of this node among those that do not drain: nodes that reach the store
   * come before those that do not, and else the names decide.
   */
  readRank(now: number, isStoreUnreachable: boolean): number {
    let rank = 0;
    for (const member of this.listAlive(now)) {
      if (member.isDraining) continue;
      const isSameReach = member.isStoreUnreachable === isStoreUnreachable;
      const isBefore = isSameReach
        ? member.node < this.#self
        : isStoreUnreachable;
      if (isBefore) rank += 1;
    }
    return rank;
  }

  /**
   * Whether this node has lost sight of most others lately: more likely it hears
   * nobody than that they all have ended at once.
   */
  isIsolated(now: number): boolean {
    const expected = this.#listExpected(now).length;
    return expected >= minNodesToBeIsolated &&
      this.listAlive(now).length < expected * isolatedShare;
  }

  /** Members that this node no longer knows to run, although they did not drain. */
  listLost(now: number): readonly Member[] {
    return this.#listExpected(now)
      .filter(({ lastSeenAt }) => now - lastSeenAt > knownWithinMs);
  }

  #listExpected(now: number): readonly Member[] {
    return this.#listSeenWithin(expectedWithinMs, now)
      .filter(({ isDraining }) => !isDraining);
  }

  /** Finds the node that claims to hold the duties' lease. */
  findDutyHolder(now: number): Member | undefined {
    return this.listAlive(now).find((member) =>
      member.fencingToken !== undefined
    );
  }

  /** Highest fencing token that any node has claimed; 0 if none has. */
  get highestFencingToken(): number {
    return this.#highestFencingToken;
  }

  /**
   * Computes the time of day as the median of the clocks of all nodes that this
   * node hears from.
   *
   * A single clock may jump; the median does not.
   */
  computeWallTime(now: number, ownWallTime: number): number {
    const isRecent = now - this.#medianAt < wallTimeReuseMs &&
      now >= this.#medianAt;
    if (!isRecent || this.#medianOffset === undefined) {
      this.#medianOffset = this.#computeOffset(now, ownWallTime);
      this.#medianAt = now;
    }
    return now + this.#medianOffset;
  }

  #computeOffset(now: number, ownWallTime: number): number {
    const offsets = [ownWallTime - now];
    for (const { datagram } of this.#members.values()) {
      if (datagram === undefined) continue;
      if (now - datagram.receivedAt > this.#aliveWithinMs) continue;
      offsets.push(datagram.wallTimeOffset);
    }
    offsets.sort((a, b) => a - b);
    return offsets[Math.floor((offsets.length - 1) / 2)] ?? 0;
  }

  #set(member: Member): void {
    this.#members.set(member.node, member);
    this.#addedMsWhenSeen.set(member.node, this.#readAddedMs());
    if (member.datagram !== undefined) this.#unconfirmedIps.delete(member.ip);
    this.#highestFencingToken = Math.max(
      this.#highestFencingToken,
      member.fencingToken ?? 0,
    );
  }

  #listSeenWithin(ms: number, now: number): readonly Member[] {
    return [...this.#members.values()]
      .filter((member) => now - member.lastSeenAt <= ms);
  }
}

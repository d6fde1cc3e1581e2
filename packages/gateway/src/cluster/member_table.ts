/**
 * Membership: the other nodes of the system, as far as this node knows them from
 * their datagrams.
 */

/** Another node, as of its last datagram. */
export interface Member {
  readonly node: string;
  readonly incarnation: string;
  readonly ip: string;
  readonly isDraining: boolean;
  /** Whether it reported that it does not reach the store. */
  readonly isStoreUnreachable: boolean;
  /** Monotonic time at which its last datagram arrived, in milliseconds. */
  readonly lastSeenAt: number;
  /** Its time of day minus this node's monotonic time, in milliseconds. */
  readonly wallTimeOffset: number;
  /** Fencing token while it holds the duties' lease. */
  readonly fencingToken: number | undefined;
  /** Timestamp in its last datagram, to be echoed. */
  readonly sentAt: number;
}

/** Shortest time without a datagram after which a node is not alive. */
const minAliveWindowMs = 1_200;
/** Rounds of datagrams that may be lost before a node is not alive. */
const lostRounds = 3;
/** Time without a datagram after which a node no longer shares limits. */
const knownWithinMs = 12_000;

/** Membership table of one node, without the node itself. */
export class MemberTable {
  readonly #self: string;
  readonly #members = new Map<string, Member>();
  /** Addresses without a datagram yet, with the time they were added. */
  readonly #unconfirmedIps = new Map<string, number>();
  #aliveWithinMs = minAliveWindowMs;

  private constructor(self: string) {
    this.#self = self;
  }

  static create(self: string): MemberTable {
    return new MemberTable(self);
  }

  /** Sets the time in which each node sends to all others once. */
  setRoundMs(roundMs: number): void {
    this.#aliveWithinMs = Math.max(minAliveWindowMs, roundMs * lostRounds);
  }

  /** Records a datagram; returns whether the incarnation is new. */
  record(member: Member): boolean {
    const previous = this.#members.get(member.node);
    this.#members.set(member.node, member);
    this.#unconfirmedIps.delete(member.ip);
    return previous?.incarnation !== member.incarnation;
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

  /** Members that are alive: a recent datagram of theirs arrived. */
  listAlive(now: number): readonly Member[] {
    return [...this.#members.values()]
      .filter((member) => now - member.lastSeenAt <= this.#aliveWithinMs);
  }

  /** Members that may be alive, as they sent a datagram within 12 s. */
  listKnown(now: number): readonly Member[] {
    return [...this.#members.values()]
      .filter((member) => now - member.lastSeenAt <= knownWithinMs);
  }

  /** Addresses to send datagrams to. */
  listAddresses(now: number): readonly string[] {
    for (const [ip, since] of this.#unconfirmedIps) {
      if (now - since > knownWithinMs) this.#unconfirmedIps.delete(ip);
    }
    const ips = this.listKnown(now).map((member) => member.ip);
    return [...new Set([...ips, ...this.#unconfirmedIps.keys()])];
  }

  /** Rank of this node among those that reach the store and do not drain. */
  readRank(now: number): number {
    return this.listAlive(now)
      .filter((member) => !member.isDraining && !member.isStoreUnreachable)
      .filter((member) => member.node < this.#self)
      .length;
  }

  /** Finds the node that claims to hold the duties' lease. */
  findDutyHolder(now: number): Member | undefined {
    return this.listAlive(now).find((member) =>
      member.fencingToken !== undefined
    );
  }

  /**
   * Computes the time of day as the median of the clocks of all alive nodes.
   *
   * A single clock may jump; the median does not.
   */
  computeWallTime(now: number, ownWallTime: number): number {
    const offsets = this.listAlive(now).map((member) => member.wallTimeOffset);
    offsets.push(ownWallTime - now);
    offsets.sort((a, b) => a - b);
    const middle = offsets[Math.floor((offsets.length - 1) / 2)] ?? 0;
    return now + middle;
  }
}

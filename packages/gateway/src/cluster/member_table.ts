/**
 * The nodes of the system as this node hears them.
 */

/** A node that was heard or named by another one. */
export interface Member {
  readonly node: string;
  readonly incarnation: string;
  readonly ip: string;
  readonly isDraining: boolean;
  /** Whether it said that it does not reach the store. */
  readonly isStoreUnreachable: boolean;
  /** Monotonic time of its last datagram. */
  readonly lastSeenAt: number;
  /** Offset of its time of day from this node's monotonic time. */
  readonly wallTimeOffset: number;
  /** Fencing number while it holds the duties' lease. */
  readonly fencingToken: number | undefined;
  /** Its stamp to echo. */
  readonly sentAt: number;
}

/** Least silence after which a node is left out of shared work. */
const minHeardMs = 1_200;
/** Rounds of datagrams that may be lost before a node counts as silent. */
const lostRounds = 3;
/** Silence after which a node no longer counts for shares of limits. */
const knownWithinMs = 12_000;

/** Members other than this node. */
export class MemberTable {
  readonly #self: string;
  readonly #members = new Map<string, Member>();
  /** Addresses that were named but not heard yet. */
  readonly #unheard = new Map<string, number>();
  #heardWithinMs = minHeardMs;

  private constructor(self: string) {
    this.#self = self;
  }

  static create(self: string): MemberTable {
    return new MemberTable(self);
  }

  /** Sets the time in which each node sends to all others once. */
  setRoundMs(roundMs: number): void {
    this.#heardWithinMs = Math.max(minHeardMs, roundMs * lostRounds);
  }

  /** Records a datagram; returns whether the member is new to this node. */
  record(member: Member): boolean {
    const previous = this.#members.get(member.node);
    this.#members.set(member.node, member);
    this.#unheard.delete(member.ip);
    return previous?.incarnation !== member.incarnation;
  }

  /** Records an address at which a node may be. */
  addAddress(ip: string, now: number): void {
    for (const member of this.#members.values()) {
      if (member.ip === ip) return;
    }
    if (!this.#unheard.has(ip)) this.#unheard.set(ip, now);
  }

  find(node: string): Member | undefined {
    return this.#members.get(node);
  }

  /** Members heard lately. */
  listAlive(now: number): readonly Member[] {
    return [...this.#members.values()]
      .filter((member) => now - member.lastSeenAt <= this.#heardWithinMs);
  }

  /** Members that may live, heard or not. */
  listKnown(now: number): readonly Member[] {
    return [...this.#members.values()]
      .filter((member) => now - member.lastSeenAt <= knownWithinMs);
  }

  /** Addresses to send to. */
  listAddresses(now: number): readonly string[] {
    for (const [ip, since] of this.#unheard) {
      if (now - since > knownWithinMs) this.#unheard.delete(ip);
    }
    const heard = this.listKnown(now).map((member) => member.ip);
    return [...new Set([...heard, ...this.#unheard.keys()])];
  }

  /** Place of this node among those that stay and reach the store, 0 first. */
  readRank(now: number): number {
    return this.listAlive(now)
      .filter((member) => !member.isDraining && !member.isStoreUnreachable)
      .filter((member) => member.node < this.#self)
      .length;
  }

  /** Node that says it holds the duties' lease. */
  findDutyHolder(now: number): Member | undefined {
    return this.listAlive(now).find((member) =>
      member.fencingToken !== undefined
    );
  }

  /**
   * Time of day on which most nodes agree, given this node's own.
   *
   * Single clocks may jump; the median of all does not.
   */
  computeWallTime(now: number, ownWallTime: number): number {
    const offsets = this.listAlive(now).map((member) => member.wallTimeOffset);
    offsets.push(ownWallTime - now);
    offsets.sort((a, b) => a - b);
    const middle = offsets[Math.floor((offsets.length - 1) / 2)] ?? 0;
    return now + middle;
  }
}

/**
 * Members and their states as this node sees them.
 *
 * A member is alive while its heartbeat has been heard, directly or through
 * others, within a limit, and while this node's own calls reach it. A restarted
 * node replaces its older incarnation. Silent members are suspected, and
 * forgotten much later, so that a split between regions heals by itself.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import { isNewerIncarnation } from "./incarnation.ts";
import type { Member, MemberState, NodeIdentity } from "./membership.ts";
import type { MemberRecord } from "./messages.ts";

/** Limits, in milliseconds of silence. */
export interface MemberLimits {
  /** Silence after which a member whose heartbeats are spread here is suspected. */
  readonly suspectAfterMs: number;
  /** The same for members of which only their data centre's summary is heard. */
  readonly suspectRemoteAfterMs: number;
  readonly forgetAfterMs: number;
  readonly forgetLeavingAfterMs: number;
}

export const defaultMemberLimits: MemberLimits = {
  suspectAfterMs: 6_000,
  suspectRemoteAfterMs: 12_000,
  forgetAfterMs: 600_000,
  forgetLeavingAfterMs: 30_000,
};

/** Consecutive failed calls after which a member is suspected by this node. */
const suspectAfterFailures = 2;

interface Entry {
  record: MemberRecord;
  state: MemberState;
  revision: number;
  heardAt: number;
  failures: number;
}

/** Evidence that a process was running. */
export interface Heartbeat {
  readonly node: string;
  readonly incarnation: string;
  readonly revision: number;
  /** Time since it was heard, in milliseconds. */
  readonly ageMs: number;
}

/** Options of the table. */
export interface MemberTableOptions {
  readonly self: NodeIdentity;
  readonly clock: Clock;
  readonly limits: MemberLimits;
}

/** Other members by name. */
export class MemberTable {
  readonly #entries = new Map<string, Entry>();
  readonly #changed = Emitter.create<Member>();
  readonly #self: NodeIdentity;
  readonly #clock: Clock;
  readonly #limits: MemberLimits;

  private constructor(options: MemberTableOptions) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#limits = options.limits;
  }

  static create(options: MemberTableOptions): MemberTable {
    return new MemberTable(options);
  }

  /** Fires when a member is learned, changes its state or is replaced. */
  get onChange(): Event<Member> {
    return this.#changed.event;
  }

  /** Number of members. */
  get size(): number {
    return this.#entries.size;
  }

  list(): readonly Member[] {
    return [...this.#entries.values()].map(createMember);
  }

  find(node: string): Member | undefined {
    const entry = this.#entries.get(node);
    return entry === undefined ? undefined : createMember(entry);
  }

  /** Members whose last call from here failed. */
  listFailing(): readonly Member[] {
    return [...this.#entries.values()]
      .filter(({ failures }) => failures > 0).map(createMember);
  }

  /**
   * Takes in what is known about a process.
   *
   * @returns Whether it was new: unknown, restarted or now leaving.
   */
  apply(record: MemberRecord): boolean {
    const { node, incarnation } = record.identity;
    if (node === this.#self.node) return false;
    const entry = this.#entries.get(node);
    if (entry === undefined) return this.#add(record);
    const known = entry.record.identity.incarnation;
    if (isNewerIncarnation(known, incarnation)) return false;
    if (known !== incarnation) return this.#add(record);
    if (entry.record.leaving || !record.leaving) return false;
    entry.record = record;
    this.#setState(entry, "leaving");
    return true;
  }

  /** Records a heartbeat that was heard, directly or through others. */
  recordHeartbeat(beat: Heartbeat): void {
    const entry = this.#entries.get(beat.node);
    if (entry?.record.identity.incarnation !== beat.incarnation) return;
    entry.revision = Math.max(entry.revision, beat.revision);
    entry.heardAt = Math.max(entry.heardAt, this.#clock.now() - beat.ageMs);
    this.#refresh(entry);
  }

  /** Time since the member was last heard; undefined when unknown. */
  findAgeMs(node: string): number | undefined {
    const entry = this.#entries.get(node);
    return entry && this.#clock.now() - entry.heardAt;
  }

  /** Records that a call of this node to the member succeeded. */
  recordSuccess(node: string): void {
    const entry = this.#entries.get(node);
    if (entry === undefined) return;
    entry.failures = 0;
    entry.heardAt = this.#clock.now();
    this.#refresh(entry);
  }

  /** Records that a call of this node to the member failed. */
  recordFailure(node: string): void {
    const entry = this.#entries.get(node);
    if (entry === undefined) return;
    entry.failures++;
    this.#refresh(entry);
  }

  /**
   * Records what a delegate says of its data centre: members that are alive in
   * its summary were heard, others were not.
   */
  recordSummary(
    zone: string,
    summary: {
      readonly alive: ReadonlySet<string>;
      readonly revision: number;
      readonly ageMs: number;
    },
  ): void {
    const heardAt = this.#clock.now() - summary.ageMs;
    for (const [node, entry] of this.#entries) {
      if (entry.record.identity.zone !== zone) continue;
      if (summary.alive.has(node)) {
        entry.heardAt = Math.max(entry.heardAt, heardAt);
        entry.revision = Math.max(entry.revision, summary.revision);
      } else if (entry.heardAt < heardAt) {
        const silent = heardAt - this.#limits.suspectRemoteAfterMs;
        entry.heardAt = Math.min(entry.heardAt, silent);
      }
      this.#refresh(entry);
    }
  }

  /** Moves all last heartbeats by `ms`, after a pause of this process. */
  recordPause(ms: number): void {
    for (const entry of this.#entries.values()) entry.heardAt += ms;
  }

  /**
   * Recomputes states as time passes.
   *
   * @param isRemote Whether only summaries are heard of a zone's members.
   * @returns Names of members that were forgotten.
   */
  refresh(isRemote: (zone: string) => boolean): readonly string[] {
    const forgotten: string[] = [];
    for (const [node, entry] of this.#entries) {
      const remote = isRemote(entry.record.identity.zone);
      this.#refresh(entry, remote);
      const { forgetAfterMs, forgetLeavingAfterMs } = this.#limits;
      const limit = entry.record.leaving ? forgetLeavingAfterMs : forgetAfterMs;
      if (this.#clock.now() - entry.heardAt <= limit) continue;
      this.#entries.delete(node);
      forgotten.push(node);
    }
    return forgotten;
  }

  dispose(): void {
    this.#changed.dispose();
  }

  #add(record: MemberRecord): boolean {
    const entry: Entry = {
      record,
      state: record.leaving ? "leaving" : "suspected",
      revision: 0,
      heardAt: this.#clock.now() - this.#limits.suspectRemoteAfterMs,
      failures: 0,
    };
    this.#entries.set(record.identity.node, entry);
    this.#changed.fire(createMember(entry));
    return true;
  }

  #refresh(entry: Entry, remote = false): void {
    if (entry.record.leaving) return this.#setState(entry, "leaving");
    const { suspectAfterMs, suspectRemoteAfterMs } = this.#limits;
    const limit = remote ? suspectRemoteAfterMs : suspectAfterMs;
    const silent = this.#clock.now() - entry.heardAt >= limit;
    const failed = entry.failures >= suspectAfterFailures;
    this.#setState(entry, silent || failed ? "suspected" : "alive");
  }

  #setState(entry: Entry, state: MemberState): void {
    if (entry.state === state) return;
    entry.state = state;
    this.#changed.fire(createMember(entry));
  }
}

function createMember(entry: Entry): Member {
  const { record, state, revision } = entry;
  return { identity: record.identity, state, revision };
}

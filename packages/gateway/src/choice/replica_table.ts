/**
 * The replicas of all services, as registered, with this node's beliefs.
 *
 * A registration that is gone ends the use of its replica at once, unless the
 * store has just come back from an outage: entries may lapse meanwhile, and
 * those of living replicas return within `lapseGraceMs`.
 */

import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import { formatIncarnation, type Replica } from "@almondcrank/model/replica.ts";
import { ReplicaState } from "./replica_state.ts";

/** Time in which a living replica registers again after an outage. */
const lapseGraceMs = 1_500;

/** What a table needs. */
export interface ReplicaTableOptions {
  /** Time a leaving replica goes on serving when it does not say. */
  readonly drainMs: number;
}

/** Time and trust of one update. */
export interface TableUpdate {
  readonly now: number;
  /** Whether missing entries may have lapsed in an outage of the store. */
  readonly mayHaveExpired: boolean;
}

/** All replicas. */
export class ReplicaTable {
  readonly #drainMs: number;
  readonly #states = new Map<string, ReplicaState>();
  readonly #missingSince = new Map<string, number>();
  readonly #byService = new Map<string, ReplicaState[]>();
  readonly #leaving = Emitter.create<ReplicaState>();

  private constructor(options: ReplicaTableOptions) {
    this.#drainMs = options.drainMs;
  }

  static create(options: ReplicaTableOptions): ReplicaTable {
    return new ReplicaTable(options);
  }

  /** Fired when a replica says or shows that it leaves. */
  readonly onLeaving: Event<ReplicaState> = this.#leaving.event;

  /** Replicas of a service that take new requests. */
  listUsable(service: string): readonly ReplicaState[] {
    return this.#byService.get(service) ?? [];
  }

  /** All known incarnations, those that leave included. */
  listAll(): Iterable<ReplicaState> {
    return this.#states.values();
  }

  find(key: string): ReplicaState | undefined {
    return this.#states.get(key);
  }

  /** Replaces the registrations. */
  apply(replicas: readonly Replica[], update: TableUpdate): void {
    const present = new Set<string>();
    for (const replica of replicas) {
      const key = formatIncarnation(replica);
      present.add(key);
      this.#applyPresent(key, replica, update.now);
    }
    for (const [key, state] of this.#states) {
      if (!present.has(key)) this.#applyMissing(key, state, update);
    }
    this.#index();
  }

  /** Ends the grace of entries that lapsed and did not return. */
  expire(now: number): void {
    let hasChanged = false;
    for (const [key, since] of this.#missingSince) {
      if (now - since < lapseGraceMs) continue;
      this.#missingSince.delete(key);
      const state = this.#states.get(key);
      if (state !== undefined) this.#markLeaving(state, now + this.#drainMs);
      hasChanged = true;
    }
    for (const [key, state] of this.#states) {
      const isOver = state.leavesAt !== undefined &&
        state.leavesAt + 30_000 < now && state.ownLoad.active === 0;
      if (isOver) this.#states.delete(key);
    }
    if (hasChanged) this.#index();
  }

  #applyPresent(key: string, replica: Replica, now: number): void {
    this.#missingSince.delete(key);
    let state = this.#states.get(key);
    if (state === undefined) {
      state = ReplicaState.create(key, replica);
      this.#states.set(key, state);
    }
    state.update(replica);
    switch (replica.state) {
      case "ready":
        // A late write of an earlier heartbeat does not end a drain.
        if (!state.isDraining) state.cancelLeaving();
        return;
      case "draining": {
        if (state.isDraining) return;
        state.markDraining();
        this.#markLeaving(state, now + (replica.leavesInMs ?? this.#drainMs));
        return;
      }
    }
  }

  #applyMissing(key: string, state: ReplicaState, update: TableUpdate): void {
    if (state.leavesAt !== undefined) return;
    if (!update.mayHaveExpired) {
      this.#missingSince.delete(key);
      this.#markLeaving(state, update.now + this.#drainMs);
    } else if (!this.#missingSince.has(key)) {
      this.#missingSince.set(key, update.now);
    }
  }

  #markLeaving(state: ReplicaState, leavesAt: number): void {
    state.markLeaving(leavesAt);
    this.#leaving.fire(state);
  }

  #index(): void {
    this.#byService.clear();
    for (const state of this.#states.values()) {
      if (state.leavesAt !== undefined) continue;
      const { service } = state.replica;
      const states = this.#byService.get(service);
      if (states === undefined) this.#byService.set(service, [state]);
      else states.push(state);
    }
  }
}

/**
 * The registered replicas of all services, with the state that this node keeps
 * for each.
 *
 * A replica whose registration disappears gets no new requests, unless the store
 * has just recovered from an outage. Registrations may expire during an outage,
 * and running replicas register again within `reregistrationGraceMs`.
 */

import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import { formatIncarnation, type Replica } from "@almondcrank/model/replica.ts";
import { ReplicaState } from "./replica_state.ts";

/** Time in which a running replica registers again after an outage. */
const reregistrationGraceMs = 1_500;

/** Options of a replica table. */
export interface ReplicaTableOptions {
  /** Time that a leaving replica goes on serving unless it states its own. */
  readonly drainMs: number;
}

/** Circumstances of one update of the table. */
export interface TableUpdate {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Whether missing registrations may have expired in a store outage. */
  readonly mayHaveExpired: boolean;
}

/** The replicas of all services, keyed by incarnation. */
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

  /** Fires when a replica starts to drain or its registration disappears. */
  readonly onLeaving: Event<ReplicaState> = this.#leaving.event;

  /** Lists the replicas of a service that take new requests. */
  listUsable(service: string): readonly ReplicaState[] {
    return this.#byService.get(service) ?? [];
  }

  /** Lists all known incarnations, including those that are leaving. */
  listAll(): Iterable<ReplicaState> {
    return this.#states.values();
  }

  /** Finds an incarnation by its key. */
  find(key: string): ReplicaState | undefined {
    return this.#states.get(key);
  }

  /** Replaces the registrations with the given ones. */
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

  /**
   * Marks replicas as leaving that did not register again within the grace
   * period, and forgets idle replicas 30 s after they were due to stop.
   */
  expire(now: number): void {
    let hasChanged = false;
    for (const [key, since] of this.#missingSince) {
      if (now - since < reregistrationGraceMs) continue;
      this.#missingSince.delete(key);
      const state = this.#states.get(key);
      if (state !== undefined) this.#markLeaving(state, now + this.#drainMs);
      hasChanged = true;
    }
    for (const [key, state] of this.#states) {
      const isExpired = state.leavesAt !== undefined &&
        state.leavesAt + 30_000 < now && state.ownLoad.active === 0;
      if (isExpired) this.#states.delete(key);
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
        // An earlier heartbeat that arrives late must not end a drain.
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

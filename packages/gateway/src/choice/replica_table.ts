/**
 * The registered replicas of all services, with the state that this node keeps
 * for each.
 *
 * A replica whose registration disappears gets no new requests, unless the store
 * has just recovered from an outage. Registrations may expire during an outage,
 * and running replicas register again within `reregistrationGraceMs`.
 *
 * A store that was restored from an older copy lists replicas again that have left
 * since. Those that this node knows to have left stay out of use until their
 * registrations have had time to expire.
 */

import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import { formatIncarnation, type Replica } from "@almondcrank/model/replica.ts";
import { ReplicaState } from "./replica_state.ts";

/** Time in which a running replica registers again after an outage. */
const reregistrationGraceMs = 1_500;

/** Time after a restore in which registrations of gone replicas expire. */
const staleRegistrationMs = 6_000;

/**
 * Share of the drain time in which a leaving replica may get the rest of streams,
 * and what was on its way. It counts from when the replica surely had not said yet
 * that it leaves. What is left of it covers the way to the replica.
 */
const drainUseShare = 0.5;

/** Options of a replica table. */
export interface ReplicaTableOptions {
  /** Time that a leaving replica goes on serving unless it states its own. */
  readonly drainMs: number;
  /**
   * Reads the monotonic time before which no change that is being applied was made;
   * by default, when it is applied. A time without a value (`-Infinity`) says
   * nothing.
   */
  readonly readProvenAt?: () => number;
}

/** Circumstances of one update of the table. */
export interface TableUpdate {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Whether missing registrations may have expired in a store outage. */
  readonly mayHaveExpired: boolean;
  /** Version of the store that the registrations are of. */
  readonly asOf?: number;
}

/** The replicas of all services, keyed by incarnation. */
export class ReplicaTable {
  readonly #drainMs: number;
  readonly #readProvenAt: () => number;
  readonly #states = new Map<string, ReplicaState>();
  readonly #missingSince = new Map<string, number>();
  readonly #byService = new Map<string, ReplicaState[]>();
  readonly #versions = new Map<string, string[]>();
  #hasMixedService = false;
  /** Version of the store that the registrations are of; undefined if not stated. */
  #asOf: number | undefined;
  /** Keys of incarnations that had left before the store was restored. */
  readonly #leftBeforeRestore = new Set<string>();
  /** Those of them that the restored store lists as ready. */
  readonly #listedAgain = new Set<string>();
  #restoreSettlesAt = -Infinity;
  readonly #leaving = Emitter.create<ReplicaState>();

  private constructor(options: ReplicaTableOptions) {
    this.#drainMs = options.drainMs;
    this.#readProvenAt = options.readProvenAt ?? (() => Infinity);
  }

  static create(options: ReplicaTableOptions): ReplicaTable {
    return new ReplicaTable(options);
  }

  /** Fires when a replica starts to drain or its registration disappears. */
  readonly onLeaving: Event<ReplicaState> = this.#leaving.event;

  /**
   * Lists the replicas of a service that take new requests.
   *
   * @param version Software version that they must have; any if left out.
   */
  listUsable(service: string, version?: string): readonly ReplicaState[] {
    const states = this.#byService.get(service) ?? [];
    return version === undefined
      ? states
      : states.filter(({ replica }) => replica.softwareVersion === version);
  }

  /**
   * Lists the replicas of a software version that began to leave a short time ago.
   * They go on serving for the drain time, and may be the only ones that can go on
   * with a stream of their version.
   */
  listDraining(
    service: string,
    { version, now }: { readonly version: string; readonly now: number },
  ): readonly ReplicaState[] {
    return [...this.#states.values()].filter((state) =>
      state.leavesAt !== undefined && state.replica.service === service &&
      state.replica.softwareVersion === version && this.maySend(state, now)
    );
  }

  /**
   * Whether a replica may still be sent what was chosen for it: it is not leaving, or
   * has said so only a short time ago.
   */
  maySend(
    { leavesAt = Infinity, readyUntil = Infinity }: ReplicaState,
    now: number,
  ): boolean {
    return leavesAt > now && readyUntil > now - this.#drainMs * drainUseShare;
  }

  /**
   * Computes how old the registrations may be by which replicas are chosen, for logs;
   * undefined if it is not known.
   */
  computeAgeMs(now: number): number | undefined {
    const ageMs = now - this.#readProvenAt();
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }

  /** Counts the replicas that name a limit at present. */
  countLimited(): number {
    return [...this.#states.values()]
      .filter(({ limit }) => limit.perSecond !== undefined).length;
  }

  /** Lists the services that have known replicas. */
  listServices(): Iterable<string> {
    return this.#versions.keys();
  }

  /**
   * Lists the software versions of a service's known replicas, also of those that
   * left lately.
   */
  listVersions(service: string): readonly string[] {
    return this.#versions.get(service) ?? [];
  }

  /** Whether a service's known replicas have several software versions. */
  isMixed(service: string): boolean {
    return this.listVersions(service).length > 1;
  }

  /** Whether any service's known replicas have several software versions. */
  get hasMixedService(): boolean {
    return this.#hasMixedService;
  }

  /** Lists all known incarnations, including those that are leaving. */
  listAll(): Iterable<ReplicaState> {
    return this.#states.values();
  }

  /** Finds an incarnation by its key. */
  find(key: string): ReplicaState | undefined {
    return this.#states.get(key);
  }

  /**
   * Lists the keys of replicas that this node tells others to be leaving: those that
   * announced it in an answer, and for the drain time those that registered it, as
   * copies of the registrations pass from node to node more slowly.
   */
  listToldLeaving(now: number): string[] {
    return [...this.#states.values()]
      .filter((state) => this.#isToldLeaving(state, now))
      .map(({ key }) => key);
  }

  /**
   * Lists the replicas whose registrations went without a word lately, as this node
   * tells others, each with the version of the store that lacks it.
   */
  listToldGone(now: number): readonly (readonly [string, number])[] {
    return [...this.#states.values()].flatMap(
      ({ key, goneAsOf, leavingSince = -Infinity }) =>
        goneAsOf === undefined || now - leavingSince >= this.#drainMs
          ? []
          : [[key, goneAsOf] as const],
    );
  }

  /**
   * Records that a newer copy of the registrations lacks a replica. It counts until
   * this node has a copy as new that lists it.
   */
  recordGone(key: string, asOf: number, now: number): void {
    const state = this.#states.get(key);
    if (state === undefined || state.leavesAt !== undefined) return;
    if (this.#asOf === undefined || this.#asOf >= asOf) return;
    this.#missingSince.delete(key);
    state.markGone(asOf);
    this.#markLeaving(state, now + this.#drainMs, now);
    this.#index();
  }

  /** Records that a replica announced, to this node or another, that it leaves. */
  recordLeaving(key: string, now: number): void {
    const state = this.#states.get(key);
    if (state === undefined || state.isAnnouncedLeaving) return;
    state.markAnnouncedLeaving();
    if (state.leavesAt !== undefined) return;
    this.#markLeaving(state, now + this.#drainMs, now);
    this.#index();
  }

  /** Computes the time until some replica takes requests; 0 if one does. */
  computeResumeMs(service: string, now: number): number {
    const waitsMs = this.listUsable(service)
      .map((state) => state.computeWaitMs(now));
    return waitsMs.length === 0 ? 0 : Math.min(...waitsMs);
  }

  /** Whether no replica takes requests, some because they are at their limits. */
  isAtLimits(service: string, now: number): boolean {
    const states = this.listUsable(service);
    return states.some(({ limit }) => !limit.isOpen(now)) &&
      states.every((state) => !state.takesRequests(now));
  }

  /** Records that the store came back from an older copy. */
  recordRestore(now: number): void {
    this.#restoreSettlesAt = now + staleRegistrationMs;
    for (const [key, { leavesAt }] of this.#states) {
      if (leavesAt !== undefined) this.#leftBeforeRestore.add(key);
    }
  }

  /** Replaces the registrations with the given ones. */
  apply(replicas: readonly Replica[], update: TableUpdate): void {
    const present = new Set<string>();
    this.#asOf = update.asOf;
    this.#listedAgain.clear();
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
    let hasChanged = this.#settleRestore(now);
    for (const [key, since] of this.#missingSince) {
      if (now - since < reregistrationGraceMs) continue;
      this.#missingSince.delete(key);
      const state = this.#states.get(key);
      if (state !== undefined) {
        state.markGone(this.#asOf);
        this.#markLeaving(state, now + this.#drainMs, now, since);
      }
      hasChanged = true;
    }
    for (const [key, state] of this.#states) {
      const isExpired = state.leavesAt !== undefined &&
        state.leavesAt + 30_000 < now && state.ownLoad.active === 0;
      if (!isExpired) continue;
      this.#states.delete(key);
      hasChanged = true;
    }
    if (hasChanged) this.#index();
  }

  #isToldLeaving(
    { isDraining, replica, leavingSince = -Infinity }: ReplicaState,
    now: number,
  ): boolean {
    if (!isDraining) return false;
    return replica.state === "ready" || now - leavingSince < this.#drainMs;
  }

  /** Takes replicas back into use that are listed long after a restore. */
  #settleRestore(now: number): boolean {
    if (this.#leftBeforeRestore.size === 0 || now < this.#restoreSettlesAt) {
      return false;
    }
    for (const key of this.#listedAgain) {
      const state = this.#states.get(key);
      if (state?.isDraining === false) state.cancelLeaving();
    }
    this.#leftBeforeRestore.clear();
    this.#listedAgain.clear();
    return true;
  }

  #applyPresent(key: string, replica: Replica, now: number): void {
    this.#missingSince.delete(key);
    let state = this.#states.get(key);
    const lastState = state?.replica.state;
    if (state === undefined) {
      state = ReplicaState.create(key, replica);
      this.#states.set(key, state);
    }
    state.update(replica);
    switch (replica.state) {
      case "ready":
        if (this.#leftBeforeRestore.has(key)) this.#listedAgain.add(key);
        // An earlier heartbeat that arrives late must not end a drain.
        else if (!state.isDraining && !this.#isGoneLater(state)) {
          state.cancelLeaving();
        }
        return;
      case "draining": {
        if (lastState === "draining") return;
        const { leavesInMs } = replica;
        // It may be known already that the replica leaves, but not when.
        if (state.isDraining && leavesInMs === undefined) return;
        state.markDraining();
        this.#markLeaving(state, now + (leavesInMs ?? this.#drainMs), now);
        return;
      }
    }
  }

  /** Whether a newer copy than this node's lacks the replica. */
  #isGoneLater({ goneAsOf = -Infinity }: ReplicaState): boolean {
    return goneAsOf > (this.#asOf ?? Infinity);
  }

  #applyMissing(key: string, state: ReplicaState, update: TableUpdate): void {
    if (state.leavesAt !== undefined) return;
    if (!update.mayHaveExpired) {
      this.#missingSince.delete(key);
      state.markGone(this.#asOf);
      this.#markLeaving(state, update.now + this.#drainMs, update.now);
    } else if (!this.#missingSince.has(key)) {
      this.#missingSince.set(key, update.now);
    }
  }

  /** @param presentAt Latest time at which it may still have been in use. */
  #markLeaving(
    state: ReplicaState,
    leavesAt: number,
    now: number,
    presentAt = now,
  ): void {
    const provenAt = this.#readProvenAt();
    const readyUntil = Number.isFinite(provenAt)
      ? Math.min(provenAt, presentAt)
      : presentAt;
    state.markLeaving(leavesAt, now, readyUntil);
    this.#leaving.fire(state);
  }

  #index(): void {
    this.#byService.clear();
    this.#versions.clear();
    for (const state of this.#states.values()) {
      const { service, softwareVersion } = state.replica;
      const versions = this.#versions.get(service);
      if (versions === undefined) {
        this.#versions.set(service, [softwareVersion]);
      } else if (!versions.includes(softwareVersion)) {
        versions.push(softwareVersion);
      }
      if (state.leavesAt !== undefined) continue;
      const states = this.#byService.get(service);
      if (states === undefined) this.#byService.set(service, [state]);
      else states.push(state);
    }
    this.#hasMixedService = [...this.#versions.values()]
      .some((versions) => versions.length > 1);
  }
}

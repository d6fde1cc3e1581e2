/**
 * Load, speed and health of one incarnation of a replica, as this node knows them.
 */

import type { Replica } from "@almondcrank/model/replica.ts";
import { RefusalGuard } from "@almondcrank/routing/limits/refusal_guard.ts";
import { RequestLimit } from "@almondcrank/routing/limits/request_limit.ts";
import type { LoadStatement } from "@almondcrank/routing/placement/load_statement.ts";
import { ReplicaSpeed } from "@almondcrank/routing/placement/replica_speed.ts";
import {
  type NodeLoad,
  type ReportTime,
  WorkLeft,
} from "@almondcrank/routing/placement/work_left.ts";
import { FailureRate } from "./failure_rate.ts";

/** Weight of the latest observation in averages of times. */
const observationWeight = 0.2;
/** Time in which an average nears the usual value to 1/e without observations. */
const forgetMs = 4_000;

/** State of one incarnation. Times are monotonic, in milliseconds. */
export class ReplicaState {
  readonly key: string;
  readonly failures = FailureRate.create();
  /** Requests a second that the replica takes from all nodes together. */
  readonly limit = RequestLimit.create();
  /** Number of nodes that may send to it. */
  nodes = 1;
  /** Keeps its refusals below what it bears, if it says that it bears few. */
  readonly refusals = RefusalGuard.create();
  #replica: Replica;
  /** What it still has to do. */
  readonly work = WorkLeft.create();
  readonly speed = ReplicaSpeed.create();
  #serviceMs: number | undefined;
  #serviceMsAt = 0;
  #leavesAt: number | undefined;
  #leavingSince: number | undefined;
  #readyUntil: number | undefined;
  #goneAsOf: number | undefined;
  #isDraining = false;
  #isAnnounced = false;
  #pausedUntil = -Infinity;
  #lastEventAt = -Infinity;

  private constructor(key: string, replica: Replica) {
    this.key = key;
    this.#replica = replica;
  }

  static create(key: string, replica: Replica): ReplicaState {
    return new ReplicaState(key, replica);
  }

  /** The latest registration. */
  get replica(): Replica {
    return this.#replica;
  }

  /** Monotonic time at which the replica stops; undefined if it is not leaving. */
  get leavesAt(): number | undefined {
    return this.#leavesAt;
  }

  /** Monotonic time at which this node learnt that it leaves, if it does. */
  get leavingSince(): number | undefined {
    return this.#leavingSince;
  }

  /**
   * Latest monotonic time at which it surely had not said yet that it leaves, if it
   * has; what it said may be as old as that.
   */
  get readyUntil(): number | undefined {
    return this.#readyUntil;
  }

  /** Version of the store that lacked its registration, if one did. */
  get goneAsOf(): number | undefined {
    return this.#goneAsOf;
  }

  /** Records that its registration was gone as of a version of the store. */
  markGone(asOf: number | undefined): void {
    this.#goneAsOf = asOf;
  }

  /** Whether the replica is draining, as it registered or a peer told. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Load that this node put on the replica. */
  get ownLoad(): NodeLoad {
    return this.work.own;
  }

  /** Load of this node and its peers, as last told. */
  get totalLoad(): NodeLoad {
    return this.work.told;
  }

  /**
   * Expected ratio of observed to usual time of work. It nears 1 while nothing is
   * observed: a replica that seems slow gets no streams, so observations alone would
   * never correct it.
   */
  readSlowness(now: number): number {
    return this.speed.readSlowness(now);
  }

  /**
   * Average time of a whole answer, which nears `leastMs` while nothing is
   * observed; that is also the time of a replica that has not answered yet.
   */
  readServiceMs(now: number, leastMs: number): number {
    if (this.#serviceMs === undefined) return leastMs;
    const weight = Math.exp(-(now - this.#serviceMsAt) / forgetMs);
    return leastMs + (this.#serviceMs - leastMs) * weight;
  }

  /** Average time of its whole answers; undefined before the first one. */
  get observedServiceMs(): number | undefined {
    return this.#serviceMs;
  }

  update(replica: Replica): void {
    this.#replica = replica;
  }

  markDraining(): void {
    this.#isDraining = true;
  }

  /** Whether the replica announced in an answer that it is leaving. */
  get isAnnouncedLeaving(): boolean {
    return this.#isAnnounced;
  }

  /** Records that announcement; like a registered drain, it is never undone. */
  markAnnouncedLeaving(): void {
    this.#isAnnounced = true;
    this.#isDraining = true;
  }

  /** Whether the replica asked this node to send nothing at `now`. */
  isPaused(now: number): boolean {
    return now < this.#pausedUntil;
  }

  /**
   * Whether this node may send it a request: it is not paused nor at its limit, and
   * has room if it can't bear to refuse many.
   */
  takesRequests(now: number): boolean {
    return !this.isPaused(now) && this.limit.isOpen(now) &&
      this.refusals.isOpen({
        active: this.totalLoad.active,
        own: this.ownLoad.active,
        nodes: this.nodes,
        slots: this.#replica.slots,
      }, now);
  }

  /** Time until this node may send it a request, in milliseconds. */
  computeWaitMs(now: number): number {
    const pauseMs = Math.max(0, this.#pausedUntil - now);
    return Math.max(
      pauseMs,
      this.limit.computeWaitMs(now),
      this.refusals.computeWaitMs(now),
    );
  }

  /** Records that the replica wants nothing from this node until `until`. */
  pauseUntil(until: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, until);
  }

  /**
   * Marks the replica as leaving, which it had not said yet at `readyUntil`; the
   * earliest of several times counts.
   */
  markLeaving(leavesAt: number, now: number, readyUntil: number): void {
    this.#leavingSince ??= now;
    this.#readyUntil ??= readyUntil;
    this.#leavesAt = Math.min(this.#leavesAt ?? Infinity, leavesAt);
  }

  /** Takes a replica back into use whose registration was only missing for a time. */
  cancelLeaving(): void {
    this.#leavesAt = undefined;
    this.#leavingSince = undefined;
    this.#readyUntil = undefined;
    this.#goneAsOf = undefined;
  }

  setPeerLoad(load: NodeLoad, time: ReportTime): void {
    this.work.setPeers(load, time);
  }

  /** Adds a change, which may be negative, to the load of this node. */
  addOwnLoad(change: NodeLoad, now: number): void {
    this.work.addOwn(change, now);
  }

  /** Records what the replica states of its load in an answer. */
  recordStatement(statement: LoadStatement, now: number): void {
    this.work.recordStatement(statement, now);
    const { slowness } = statement;
    if (slowness !== undefined) this.speed.recordStated(slowness, now);
  }

  /** Monotonic time of the last event that this node received on any stream. */
  get lastEventAt(): number {
    return this.#lastEventAt;
  }

  /** Records that an event of some stream arrived. */
  recordEvent(now: number): void {
    this.#lastEventAt = now;
  }

  /**
   * Updates the slowness with a time to the first event, and the time that it takes
   * a replica of usual speed.
   */
  recordFirstEvent(observedMs: number, usualMs: number, now: number): void {
    this.speed.recordWork(observedMs / Math.max(10, usualMs), now);
  }

  /**
   * Updates the slowness with a time to the first event that had to wait for a slot
   * or for memory, and the time that was predicted for it there.
   */
  recordQueued(observedMs: number, predictedMs: number, now: number): void {
    this.speed.recordPredicted(observedMs / Math.max(10, predictedMs), now);
  }

  /** Updates the average time of a whole answer. */
  recordServiceTime(ms: number, now: number): void {
    const previous = this.#serviceMs ?? ms;
    this.#serviceMs = previous + observationWeight * (ms - previous);
    this.#serviceMsAt = now;
  }
}

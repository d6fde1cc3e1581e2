/**
 * What this node believes of one incarnation of a replica.
 */

import type { Replica } from "@almondcrank/model/replica.ts";
import { FailureRate } from "./failure_rate.ts";

/** Load that one node has put on a replica. */
export interface NodeLoad {
  /** Requests sent and not yet ended. */
  readonly active: number;
  /** Prompt tokens of requests without a first event. */
  readonly pendingTokens: number;
  /** Prompt tokens of all active requests. */
  readonly activeTokens: number;
}

const noLoad: NodeLoad = { active: 0, pendingTokens: 0, activeTokens: 0 };
const speedWeight = 0.2;
const slowestFactor = 12;
const fastestFactor = 0.5;

/** Beliefs of one incarnation. */
export class ReplicaState {
  readonly key: string;
  readonly failures = FailureRate.create();
  #replica: Replica;
  #own: NodeLoad = noLoad;
  #peers: NodeLoad = noLoad;
  #slowness = 1;
  #serviceMs: number | undefined;
  #leavesAt: number | undefined;
  #isDraining = false;
  #progressAt = -Infinity;

  private constructor(key: string, replica: Replica) {
    this.key = key;
    this.#replica = replica;
  }

  static create(key: string, replica: Replica): ReplicaState {
    return new ReplicaState(key, replica);
  }

  /** The registration as it was read last. */
  get replica(): Replica {
    return this.#replica;
  }

  /** Monotonic time at which the replica stops; undefined while it stays. */
  get leavesAt(): number | undefined {
    return this.#leavesAt;
  }

  /** Whether the replica itself said that it leaves. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  get ownLoad(): NodeLoad {
    return this.#own;
  }

  /** Load of all nodes. */
  get totalLoad(): NodeLoad {
    return {
      active: this.#own.active + this.#peers.active,
      pendingTokens: this.#own.pendingTokens + this.#peers.pendingTokens,
      activeTokens: this.#own.activeTokens + this.#peers.activeTokens,
    };
  }

  /** Observed time relative to the predicted one; 1 is as predicted. */
  get slowness(): number {
    return this.#slowness;
  }

  /** Typical time of a whole answer in milliseconds, once one was seen. */
  get serviceMs(): number | undefined {
    return this.#serviceMs;
  }

  update(replica: Replica): void {
    this.#replica = replica;
  }

  markDraining(): void {
    this.#isDraining = true;
  }

  markLeaving(leavesAt: number): void {
    this.#leavesAt = Math.min(this.#leavesAt ?? Infinity, leavesAt);
  }

  /** Takes back a removal that turned out to be a gap of the store. */
  cancelLeaving(): void {
    this.#leavesAt = undefined;
  }

  setPeerLoad(load: NodeLoad): void {
    this.#peers = load;
  }

  addOwnLoad(change: NodeLoad): void {
    this.#own = {
      active: this.#own.active + change.active,
      pendingTokens: this.#own.pendingTokens + change.pendingTokens,
      activeTokens: this.#own.activeTokens + change.activeTokens,
    };
  }

  /** Monotonic time of the last event of any stream, as this node saw. */
  get lastEventAt(): number {
    return this.#progressAt;
  }

  recordEvent(now: number): void {
    this.#progressAt = now;
  }

  /** Records a time to the first event beside the one that was predicted. */
  recordFirstEvent(observedMs: number, predictedMs: number): void {
    const ratio = observedMs / Math.max(10, predictedMs);
    const bounded = Math.min(slowestFactor, Math.max(fastestFactor, ratio));
    this.#slowness += speedWeight * (bounded - this.#slowness);
  }

  /** Records the time of a whole answer. */
  recordServiceTime(ms: number): void {
    const previous = this.#serviceMs ?? ms;
    this.#serviceMs = previous + speedWeight * (ms - previous);
  }
}

/**
 * Detects that a replica has stopped sending events of a stream.
 *
 * A replica that is busy processing prompts may pause a stream for long.
 * Therefore the timeout is three times as long while the replica sends events of
 * other streams. While a slow caller holds the response back, the replica is not
 * watched: nothing of what it sends is read.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { ReplicaState } from "../choice/replica_state.ts";

const busyReplicaFactor = 3;

/** Timeouts and dependencies of a detector. */
export interface StallDetectorOptions {
  readonly clock: Clock;
  readonly state: ReplicaState;
  /** Longest time until the first event; infinite for no timeout. */
  readonly firstEventTimeoutMs: number;
  /** Longest time between events; infinite for no timeout. */
  readonly nextEventTimeoutMs: number;
  /** Called each time that a timeout has passed without events. */
  readonly onStalled: () => void;
}

/** What learns of the progress of a response. */
export interface ProgressWatch {
  /** Restarts the timeout after events of this stream arrived. */
  recordEvents(): void;
  /** Stops the timeout while the response is not read. */
  pause(): void;
  /** Restarts the timeout when the response is read again. */
  resume(): void;
}

/** Detector for one segment of a stream. */
export class StallDetector implements ProgressWatch, Disposable {
  readonly #options: StallDetectorOptions;
  #timeoutMs: number;
  #lastEventAt: number;
  #timer: NodeJS.Timeout | undefined;
  #check: NodeJS.Immediate | undefined;

  private constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#timeoutMs = options.firstEventTimeoutMs;
    this.#lastEventAt = options.clock.now();
    this.#schedule(options.firstEventTimeoutMs);
  }

  static create(options: StallDetectorOptions): StallDetector {
    return new StallDetector(options);
  }

  recordEvents(): void {
    const { clock, state, nextEventTimeoutMs } = this.#options;
    this.#lastEventAt = clock.now();
    this.#timeoutMs = nextEventTimeoutMs;
    state.recordEvent(this.#lastEventAt);
    this.#schedule(nextEventTimeoutMs);
  }

  pause(): void {
    this.#cancel();
  }

  resume(): void {
    this.#lastEventAt = this.#options.clock.now();
    this.#schedule(this.#timeoutMs);
  }

  dispose(): void {
    this.#cancel();
  }

  #schedule(ms: number): void {
    this.#cancel();
    if (!Number.isFinite(ms)) return;
    this.#timer = setTimeout(() => {
      // After a pause of this process, what has arrived is read first.
      this.#check = setImmediate(() => this.#checkIdle());
    }, ms);
  }

  #cancel(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#check);
    this.#timer = undefined;
    this.#check = undefined;
  }

  #checkIdle(): void {
    const { clock, state, onStalled } = this.#options;
    const now = clock.now();
    const idleMs = now - this.#lastEventAt;
    const isBusyElsewhere = state.lastEventAt > this.#lastEventAt &&
      state.lastEventAt > now - this.#timeoutMs;
    const limitMs = isBusyElsewhere
      ? this.#timeoutMs * busyReplicaFactor
      : this.#timeoutMs;
    if (idleMs < limitMs) return this.#schedule(limitMs - idleMs);
    this.#schedule(this.#timeoutMs);
    onStalled();
  }
}

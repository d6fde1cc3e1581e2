/**
 * Notices that a replica has fallen silent in the middle of a stream.
 *
 * A replica that is busy reading prompts may pause a stream for long. So while
 * it sends events of other streams, this stream gets three times as long before
 * it is given up.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { ReplicaState } from "../choice/replica_state.ts";

const busyFactor = 3;

/** What a watch needs. */
export interface StallDetectorOptions {
  readonly clock: Clock;
  readonly state: ReplicaState;
  /** Silence that is allowed before the first event and between events. */
  readonly firstEventTimeoutMs: number;
  readonly nextEventTimeoutMs: number;
  /** Called once when the silence has lasted too long. */
  readonly onStalled: () => void;
}

/** Watch over one leg of a stream. */
export class StallDetector implements Disposable {
  readonly #options: StallDetectorOptions;
  #allowedMs: number;
  #heardAt: number;
  #timer: NodeJS.Timeout | undefined;

  private constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#allowedMs = options.firstEventTimeoutMs;
    this.#heardAt = options.clock.now();
    this.#arm(options.firstEventTimeoutMs);
  }

  static create(options: StallDetectorOptions): StallDetector {
    return new StallDetector(options);
  }

  /** Records that events of this stream have come. */
  recordEvents(): void {
    const { clock, state, nextEventTimeoutMs: gapMs } = this.#options;
    this.#heardAt = clock.now();
    this.#allowedMs = gapMs;
    state.recordEvent(this.#heardAt);
    this.#arm(gapMs);
  }

  dispose(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #arm(ms: number): void {
    clearTimeout(this.#timer);
    if (!Number.isFinite(ms)) return;
    this.#timer = setTimeout(() => this.#check(), ms);
  }

  #check(): void {
    const { clock, state, onStalled: onSilent } = this.#options;
    const now = clock.now();
    const silentMs = now - this.#heardAt;
    const isBusyElsewhere = state.lastEventAt > now - this.#allowedMs;
    const limitMs = isBusyElsewhere
      ? this.#allowedMs * busyFactor
      : this.#allowedMs;
    if (silentMs < limitMs) this.#arm(limitMs - silentMs);
    else onSilent();
  }
}

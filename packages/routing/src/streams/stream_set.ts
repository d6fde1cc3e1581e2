/**
 * The streams a node holds: running ones, and finished ones for a while.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { StreamLimits } from "./stream_limits.ts";
import type { StreamRun } from "./stream_run.ts";

const sweepMs = 50;

/** A run that can still be read until `expiresAt` on the monotonic clock. */
interface FinishedRun {
  readonly id: string;
  readonly run: WeakRef<StreamRun>;
  readonly expiresAt: number;
}

/** Runs by stream id. */
export class StreamSet {
  readonly #clock: Clock;
  readonly #limits: StreamLimits;
  readonly #signal: AbortSignal;
  readonly #runs = new Map<string, StreamRun>();
  /** In the order in which they ended. */
  readonly #finished: FinishedRun[] = [];
  #running = 0;
  #isSweeping = false;

  private constructor(
    clock: Clock,
    limits: StreamLimits,
    signal: AbortSignal,
  ) {
    this.#clock = clock;
    this.#limits = limits;
    this.#signal = signal;
  }

  static create(
    clock: Clock,
    options: { readonly limits: StreamLimits; readonly signal: AbortSignal },
  ): StreamSet {
    return new StreamSet(clock, options.limits, options.signal);
  }

  /** Streams that have not ended. */
  get running(): number {
    return this.#running;
  }

  get isFull(): boolean {
    return this.#running >= this.#limits.maxStreams;
  }

  find(id: string): StreamRun | undefined {
    return this.#runs.get(id);
  }

  /** Runs that have not ended. */
  list(): readonly StreamRun[] {
    return [...this.#runs.values()].filter(({ stream }) =>
      stream.log.final === undefined
    );
  }

  /** Holds a run until a while after it has ended. */
  async add(run: StreamRun, ended: Promise<void>): Promise<void> {
    const { id } = run.stream;
    this.#removeFinished();
    this.#runs.set(id, run);
    this.#running++;
    await ended;
    this.#running--;
    if (this.#runs.get(id) !== run) return;
    if (run.stream.isHandedOver) {
      this.#runs.delete(id);
      return;
    }
    const expiresAt = this.#clock.now() + this.#limits.retainMs;
    this.#finished.push({ id, run: new WeakRef(run), expiresAt });
    if (!this.#isSweeping) void this.#runSweep();
  }

  /**
   * Removes finished runs when their time has come.
   *
   * One task for all of them: a sleep for each would hang a listener for each
   * on the node's signal, and adding one costs time in the number it has.
   */
  async #runSweep(): Promise<void> {
    this.#isSweeping = true;
    while (!this.#signal.aborted) {
      const first = this.#finished[0];
      if (first === undefined) break;
      const waitMs = first.expiresAt - this.#clock.now();
      if (waitMs > 0) {
        await this.#clock.sleep(Math.max(waitMs, sweepMs), this.#signal);
        continue;
      }
      this.#finished.shift();
      if (this.#runs.get(first.id) === first.run.deref()) {
        this.#runs.delete(first.id);
      }
    }
    this.#isSweeping = false;
  }

  /** Makes room at the expense of the stream that finished first. */
  #removeFinished(): void {
    if (this.#runs.size < this.#limits.maxStreams) return;
    for (const [id, run] of this.#runs) {
      if (run.stream.log.final === undefined) continue;
      this.#runs.delete(id);
      return;
    }
  }
}

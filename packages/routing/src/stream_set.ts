/**
 * The streams a node holds: running ones, and finished ones for a while.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { StreamLimits } from "./stream_limits.ts";
import type { StreamRun } from "./stream_run.ts";

/** Runs by stream id. */
export class StreamSet {
  readonly #clock: Clock;
  readonly #limits: StreamLimits;
  readonly #signal: AbortSignal;
  readonly #runs = new Map<string, StreamRun>();
  #running = 0;

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
    if (!run.stream.isHandedOver) {
      await this.#clock.sleep(this.#limits.retainMs, this.#signal);
    }
    if (this.#runs.get(id) === run) this.#runs.delete(id);
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

/**
 * The streams a node holds: running ones, and finished ones until they expire.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { StreamLimits } from "./stream_limits.ts";
import type { StreamRun } from "./stream_run.ts";

/** Shortest sleep between sweeps, so that one sweep removes several runs. */
const minSweepMs = 50;

/** A finished run, readable until `expiresAt` (monotonic milliseconds). */
interface FinishedRun {
  readonly id: string;
  readonly run: WeakRef<StreamRun>;
  readonly expiresAt: number;
}

/** Running and recently finished runs by stream id. */
export class StreamSet {
  readonly #clock: Clock;
  readonly #limits: StreamLimits;
  readonly #signal: AbortSignal;
  readonly #runs = new Map<string, StreamRun>();
  /** Finished runs in the order in which they ended. */
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

  /** Number of streams that have not ended. */
  get running(): number {
    return this.#running;
  }

  /** Whether the running streams have reached `maxStreams`. */
  get isFull(): boolean {
    return this.#running >= this.#limits.maxStreams;
  }

  find(id: string): StreamRun | undefined {
    return this.#runs.get(id);
  }

  /** Lists runs that have not ended. */
  list(): readonly StreamRun[] {
    return [...this.#runs.values()].filter(({ stream }) =>
      stream.output.final === undefined
    );
  }

  /**
   * Holds a run until it has ended and, after `ended` resolves, its callers have had
   * their time to come back.
   */
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
    const { retainMs, reconnectGraceMs } = this.#limits;
    const expiresAt = this.#clock.now() + Math.max(retainMs, reconnectGraceMs);
    this.#finished.push({ id, run: new WeakRef(run), expiresAt });
    if (!this.#isSweeping) void this.#runSweep();
  }

  /**
   * Removes finished runs when they expire.
   *
   * One task serves all runs. A sleep per run would add a listener per run to
   * the node's signal, and adding a listener takes time proportional to the
   * number already there.
   */
  async #runSweep(): Promise<void> {
    this.#isSweeping = true;
    while (!this.#signal.aborted) {
      const first = this.#finished[0];
      if (first === undefined) break;
      const waitMs = first.expiresAt - this.#clock.now();
      if (waitMs > 0) {
        await this.#clock.sleep(Math.max(waitMs, minSweepMs), this.#signal);
        continue;
      }
      this.#finished.shift();
      if (this.#runs.get(first.id) === first.run.deref()) {
        this.#runs.delete(first.id);
      }
    }
    this.#isSweeping = false;
  }

  /** Removes the oldest finished run when the set is full. */
  #removeFinished(): void {
    if (this.#runs.size < this.#limits.maxStreams) return;
    for (const [id, run] of this.#runs) {
      if (run.stream.output.final === undefined) continue;
      this.#runs.delete(id);
      return;
    }
  }
}

/**
 * Records and totals of the generate calls that a stand-in engine received.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { GenerationOutcome } from "./engine_scheduler.ts";
import type { Generation } from "./generation.ts";
import { RecordList } from "./record_list.ts";

const keptRecords = 10_000;

/** One generate call that has ended. Times are wall time in milliseconds. */
export interface GenerateRecord {
  readonly id: string;
  readonly model: string;
  readonly promptHash: number;
  readonly priority: number;
  readonly arrivedAt: number;
  readonly startedAt: number | undefined;
  readonly firstTokenAt: number | undefined;
  readonly endedAt: number;
  /** Number of output tokens that the request brought with it. */
  readonly tokensSoFar: number;
  readonly cachedTokens: number;
  readonly computedTokens: number;
  readonly outputTokens: number;
  readonly outcome: GenerationOutcome;
}

/** Totals since the start; tokens are those of calls that have ended. */
export interface EngineTotals {
  /** Calls received, including declined ones. */
  readonly calls: number;
  readonly declined: number;
  readonly ended: number;
  readonly cachedTokens: number;
  readonly computedTokens: number;
  readonly outputTokens: number;
}

/** Records and totals of one engine. */
export class GenerateRecords {
  readonly #clock: Clock;
  readonly #hasher: Hasher;
  readonly #records = RecordList.create<GenerateRecord>(keptRecords);
  readonly #tokens = { cached: 0, computed: 0, output: 0 };
  #calls = 0;
  #declined = 0;

  private constructor(clock: Clock, hasher: Hasher) {
    this.#clock = clock;
    this.#hasher = hasher;
  }

  static create(clock: Clock, hasher: Hasher): GenerateRecords {
    return new GenerateRecords(clock, hasher);
  }

  get totals(): EngineTotals {
    return {
      calls: this.#calls,
      declined: this.#declined,
      ended: this.#records.total,
      cachedTokens: this.#tokens.cached,
      computedTokens: this.#tokens.computed,
      outputTokens: this.#tokens.output,
    };
  }

  /** Lists the latest records, oldest first. */
  list(): readonly GenerateRecord[] {
    return this.#records.list();
  }

  /** Counts a call that arrived. */
  countCall(): void {
    this.#calls += 1;
  }

  /** Counts a call that was declined. */
  countDeclined(): void {
    this.#declined += 1;
  }

  /** Records a call that has ended. */
  add(generation: Generation, outcome: GenerationOutcome): void {
    const { request, times, usage } = generation;
    const { cachedTokens, computedTokens, outputTokens } = usage;
    this.#tokens.cached += cachedTokens;
    this.#tokens.computed += computedTokens;
    this.#tokens.output += outputTokens;
    const origin = this.#clock.wallTime() - this.#clock.now();
    const computeWallTime = (at: number | undefined): number | undefined =>
      at === undefined ? undefined : origin + at;
    this.#records.add({
      id: request.id,
      model: request.model,
      promptHash: this.#hasher.hash32(request.prompt),
      priority: request.priority,
      arrivedAt: origin + times.arrivedAt,
      startedAt: computeWallTime(times.startedAt),
      firstTokenAt: computeWallTime(times.firstTokenAt),
      endedAt: this.#clock.wallTime(),
      tokensSoFar: request.tokensSoFar.length,
      cachedTokens,
      computedTokens,
      outputTokens,
      outcome,
    });
  }
}

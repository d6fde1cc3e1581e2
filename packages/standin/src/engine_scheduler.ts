/**
 * Continuous batching of a stand-in engine.
 *
 * One loop with one timer: each step computes a chunk of waiting input and one
 * token for every request past its input, and takes the time the engine's
 * stated model gives. Steps that fell due together are sent in one write.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { blockTokens } from "@almondcrank/endpoint/tokens.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { EngineFaults } from "./fault_settings.ts";
import type { FaultInjector } from "./fault_injector.ts";
import type { EngineSettings } from "./engine_settings.ts";
import type { Generation } from "./generation.ts";
import type { CacheChange, PrefixCache } from "./prefix_cache.ts";

const millisecondsPerSecond = 1_000;
/** Overdue steps that run without a pause. */
const maxStepsAtOnce = 8;

/** How a generation ended. */
export type GenerationOutcome = "ended" | "cancelled" | "cut";

/** Load at one moment. */
export interface SchedulerLoad {
  readonly queued: number;
  readonly running: number;
  readonly queuedTokens: number;
  readonly betweenTokensMs: number;
  readonly cacheUsedTokens: number;
}

/** Options of a scheduler. */
export interface SchedulerOptions {
  readonly clock: Clock;
  readonly settings: EngineSettings;
  readonly faults: FaultInjector<EngineFaults>;
  readonly cache: PrefixCache;
  /** Input tokens that an imported cache gives a request. */
  readonly claimImportedTokens: (generation: Generation) => number;
  readonly onCacheChange: (change: CacheChange) => void;
  readonly onEnd: (generation: Generation, outcome: GenerationOutcome) => void;
  /** Called before the load changes. */
  readonly onLoadChange: () => void;
}

interface StepPlan {
  readonly decoding: readonly Generation[];
  readonly prefilling: readonly PrefillPart[];
  readonly durationMs: number;
}

interface PrefillPart {
  readonly generation: Generation;
  readonly tokens: number;
}

/** Queue and batch of one engine. */
export class EngineScheduler implements Disposable {
  readonly #options: SchedulerOptions;
  readonly #queue: Generation[] = [];
  readonly #running: Generation[] = [];
  readonly #ended = new AbortController();
  #wake: (() => void) | undefined;

  private constructor(options: SchedulerOptions) {
    this.#options = options;
  }

  /** Starts the loop. */
  static open(options: SchedulerOptions): EngineScheduler {
    const scheduler = new EngineScheduler(options);
    void scheduler.#run();
    return scheduler;
  }

  get load(): SchedulerLoad {
    const { cache } = this.#options;
    const waiting = this.#queue.reduce((sum, g) => sum + g.inputTokens, 0);
    const begun = this.#running.reduce(
      (sum, g) => sum + g.prefillTokensLeft,
      0,
    );
    return {
      queued: this.#queue.length,
      running: this.#running.length,
      queuedTokens: waiting + begun,
      betweenTokensMs: this.#computeDecodeMs(this.#running.length),
      cacheUsedTokens: cache.size * blockTokens,
    };
  }

  /** Queues a request by priority, then arrival. */
  add(generation: Generation): void {
    this.#options.onLoadChange();
    const { priority } = generation.request;
    const index = this.#queue.findIndex((other) =>
      other.request.priority > priority
    );
    if (index < 0) this.#queue.push(generation);
    else this.#queue.splice(index, 0, generation);
    this.#wake?.();
  }

  find(id: string): Generation | undefined {
    return this.#running.find((other) => other.request.id === id) ??
      this.#queue.find((other) => other.request.id === id);
  }

  /** Ends a request early; its stream gets an end event. */
  cancel(generation: Generation): void {
    if (generation.hasEnded) return;
    generation.addEnd(true);
    this.#closeStream(generation, "cancelled");
  }

  dispose(): void {
    this.#ended.abort();
    this.#wake?.();
  }

  async #run(): Promise<void> {
    const { clock, faults } = this.#options;
    const { signal } = this.#ended;
    let dueAt = clock.now();
    let stepsAhead = 0;
    while (!signal.aborted) {
      this.#startWaiting();
      if (this.#running.length === 0) {
        await this.#waitWork();
        dueAt = clock.now();
        continue;
      }
      const plan = this.#computeStep();
      dueAt += plan.durationMs;
      stepsAhead += 1;
      if (dueAt > clock.now()) {
        stepsAhead = 0;
        this.#sendLines();
        await clock.sleep(dueAt - clock.now(), signal);
      } else if (stepsAhead >= maxStepsAtOnce) {
        // Overdue steps leave other tasks their turn.
        stepsAhead = 0;
        this.#sendLines();
        await new Promise((resolve) => setImmediate(resolve));
      }
      if (faults.settings.frozen) {
        await faults.waitUntilThawed();
        dueAt = clock.now();
      }
      if (!signal.aborted) this.#applyStep(plan);
    }
  }

  #waitWork(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = () => {
        this.#wake = undefined;
        resolve();
      };
    });
  }

  /** Moves requests from the queue into free slots while memory allows. */
  #startWaiting(): void {
    const { settings, cache, clock } = this.#options;
    while (this.#running.length < settings.slots) {
      const next = this.#queue[0];
      if (next === undefined) return;
      const found = cache.countPrefixBlocks(next.blockHashes);
      const needed = cache.pinnedSize + this.#countReserved() +
        next.blockHashes.length - found;
      if (needed > cache.capacity && this.#running.length > 0) return;
      this.#options.onLoadChange();
      this.#queue.shift();
      this.#running.push(next);
      next.times.startedAt = clock.now();
      this.#startPrefill(next, found);
    }
  }

  /** Counts blocks that running requests will fill with the rest of their input. */
  #countReserved(): number {
    return this.#running.reduce(
      (sum, { blockHashes: chain, pinnedBlockCount: pinnedBlocks }) =>
        sum + chain.length - pinnedBlocks,
      0,
    );
  }

  /** Takes over cached input; at least the last token is always computed. */
  #startPrefill(generation: Generation, found: number): void {
    const cached = Math.max(
      found * blockTokens,
      this.#options.claimImportedTokens(generation),
    );
    const mostCached = Math.max(0, generation.inputTokens - 1);
    generation.cachedTokens = Math.min(cached, mostCached);
    this.#addBlocks(generation, found);
  }

  /** Pins the chain of a request up to `count` blocks. */
  #addBlocks(generation: Generation, count: number): void {
    const { blockHashes: chain, pinnedBlockCount: pinnedBlocks } = generation;
    if (count <= pinnedBlocks) return;
    const change = this.#options.cache.add(chain.slice(pinnedBlocks, count));
    generation.pinnedBlockCount = count;
    this.#options.onCacheChange(change);
  }

  #computeStep(): StepPlan {
    const { settings, faults } = this.#options;
    const decoding: Generation[] = [];
    const prefilling: PrefillPart[] = [];
    let budget = settings.prefillChunkTokens;
    for (const generation of this.#running) {
      if (generation.prefillTokensLeft === 0) {
        decoding.push(generation);
      } else if (budget > 0) {
        const tokens = Math.min(budget, generation.prefillTokensLeft);
        prefilling.push({ generation, tokens });
        budget -= tokens;
      }
    }
    const computed = settings.prefillChunkTokens - budget;
    const prefillMs = computed * millisecondsPerSecond /
      settings.prefillTokensPerSecond * faults.settings.slowdown;
    const durationMs = prefillMs + this.#computeDecodeMs(decoding.length);
    return { decoding, prefilling, durationMs };
  }

  #computeDecodeMs(requests: number): number {
    if (requests === 0) return 0;
    const { settings, faults } = this.#options;
    return (settings.decodeBaseMs + settings.decodePerRequestMs * requests) *
      faults.settings.slowdown;
  }

  #applyStep(plan: StepPlan): void {
    this.#options.onLoadChange();
    for (const { generation, tokens } of plan.prefilling) {
      if (generation.hasEnded) continue;
      generation.computedTokens += tokens;
      this.#addBlocks(
        generation,
        Math.floor(generation.kvTokens / blockTokens),
      );
      if (generation.prefillTokensLeft === 0) this.#addToken(generation);
    }
    for (const generation of plan.decoding) {
      if (!generation.hasEnded) this.#addToken(generation);
    }
  }

  /** Makes one token, and ends the request if it is the last. */
  #addToken(generation: Generation): void {
    if (!generation.isComplete) {
      generation.times.firstTokenAt ??= this.#options.clock.now();
      if (this.#claimCut("first_byte", generation)) return;
      if (generation.addToken() !== undefined) {
        this.#addBlocks(generation, generation.blockHashes.length);
      }
      if (this.#claimCut("tokens", generation)) return;
    }
    if (!generation.isComplete) return;
    if (this.#claimCut("end", generation)) return;
    generation.addEnd(false);
    this.#closeStream(generation, "ended");
  }

  /** Cuts the stream if a fault asks for it at this point. */
  #claimCut(
    at: NonNullable<EngineFaults["cut"]>["at"],
    generation: Generation,
  ): boolean {
    const { faults } = this.#options;
    const { cut } = faults.settings;
    if (cut === null || cut.at !== at) return false;
    if (at === "first_byte" && generation.outputTokens > 0) return false;
    if (at === "tokens" && generation.outputTokens < (cut.tokens ?? 1)) {
      return false;
    }
    faults.claimCut();
    this.#closeStream(generation, "cut");
    return true;
  }

  #closeStream(generation: Generation, outcome: GenerationOutcome): void {
    this.#options.onLoadChange();
    generation.hasEnded = true;
    removeItem(this.#queue, generation);
    removeItem(this.#running, generation);
    const {
      blockHashes: chain,
      pinnedBlockCount: pinnedBlocks,
      sink,
      pendingLines: lines,
    } = generation;
    const pinned = chain.slice(0, pinnedBlocks);
    this.#options.onCacheChange(this.#options.cache.release(pinned));
    generation.pendingLines = "";
    if (outcome === "cut") sink.cut(lines);
    else sink.end(lines);
    this.#options.onEnd(generation, outcome);
  }

  /** Sends what the steps since the last flush made, one write a stream. */
  #sendLines(): void {
    for (const generation of this.#running) {
      if (generation.pendingLines === "") continue;
      generation.sink.write(generation.pendingLines);
      generation.pendingLines = "";
    }
  }
}

function removeItem<T>(items: T[], item: T): void {
  const index = items.indexOf(item);
  if (index >= 0) items.splice(index, 1);
}

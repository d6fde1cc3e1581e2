/**
 * Continuous batching with chunked prefill in a stand-in engine.
 *
 * One loop with one timer runs the steps. Each step computes a chunk of pending
 * input and one output token for every request whose input is complete; its
 * duration follows from the engine's settings. Output of several overdue steps
 * is sent in one write per stream.
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
/** Overdue steps that run before other tasks get a turn. */
const maxOverdueSteps = 8;

/** How a generation ended. */
export type GenerationOutcome = "ended" | "cancelled" | "cut";

/** Load at one moment; `betweenTokensMs` is the duration of a decode step. */
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
  /** Takes a request's imported cache; returns the input tokens it covers. */
  readonly claimImportedTokens: (generation: Generation) => number;
  readonly onCacheChange: (change: CacheChange) => void;
  readonly onEnd: (generation: Generation, outcome: GenerationOutcome) => void;
  /** Called when a prompt crashes the engine. */
  readonly onCrash: (downMs: number) => void;
  /** Called before the load changes. */
  readonly onLoadChange: () => void;
}

/** Work and duration of one step. */
interface StepPlan {
  readonly decoding: readonly Generation[];
  readonly prefilling: readonly PrefillChunk[];
  readonly durationMs: number;
}

/** Input tokens of one request that a step computes. */
interface PrefillChunk {
  readonly generation: Generation;
  readonly tokens: number;
}

/** Queue and running batch of one engine. */
export class EngineScheduler implements Disposable {
  readonly #options: SchedulerOptions;
  readonly #queue: Generation[] = [];
  readonly #running: Generation[] = [];
  readonly #ended = new AbortController();
  #wake: (() => void) | undefined;

  private constructor(options: SchedulerOptions) {
    this.#options = options;
  }

  /** Starts the scheduling loop. */
  static open(options: SchedulerOptions): EngineScheduler {
    const scheduler = new EngineScheduler(options);
    void scheduler.#run();
    return scheduler;
  }

  get load(): SchedulerLoad {
    const { cache } = this.#options;
    const queuedTokens = this.#queue.reduce((sum, g) => sum + g.inputTokens, 0);
    const prefillTokens = this.#running.reduce(
      (sum, g) => sum + g.prefillTokensLeft,
      0,
    );
    return {
      queued: this.#queue.length,
      running: this.#running.length,
      queuedTokens: queuedTokens + prefillTokens,
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
    let overdueSteps = 0;
    while (!signal.aborted) {
      this.#admitQueued();
      if (this.#running.length === 0) {
        await this.#waitForWork();
        dueAt = clock.now();
        continue;
      }
      const plan = this.#computeStep();
      dueAt += plan.durationMs;
      overdueSteps += 1;
      if (dueAt > clock.now()) {
        overdueSteps = 0;
        this.#sendPendingLines();
        await clock.sleep(dueAt - clock.now(), signal);
      } else if (overdueSteps >= maxOverdueSteps) {
        // Overdue steps must not starve other tasks of the event loop.
        overdueSteps = 0;
        this.#sendPendingLines();
        await new Promise((resolve) => setImmediate(resolve));
      }
      if (faults.settings.frozen) {
        await faults.waitUntilThawed();
        dueAt = clock.now();
      }
      if (!signal.aborted) this.#applyStep(plan);
    }
  }

  #waitForWork(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = () => {
        this.#wake = undefined;
        resolve();
      };
    });
  }

  /** Starts queued requests while there are free slots and cache memory. */
  #admitQueued(): void {
    const { settings, cache, clock } = this.#options;
    while (this.#running.length < settings.slots) {
      const next = this.#queue[0];
      if (next === undefined) return;
      const cachedBlocks = cache.countPrefixBlocks(next.blockHashes);
      const neededBlocks = cache.pinnedSize + this.#countReservedBlocks() +
        next.blockHashes.length - cachedBlocks;
      if (neededBlocks > cache.capacity && this.#running.length > 0) return;
      this.#options.onLoadChange();
      this.#queue.shift();
      this.#running.push(next);
      next.times.startedAt = clock.now();
      this.#startPrefill(next, cachedBlocks);
    }
  }

  /** Counts blocks that the remaining input of running requests will fill. */
  #countReservedBlocks(): number {
    return this.#running.reduce(
      (sum, { blockHashes, pinnedBlockCount }) =>
        sum + blockHashes.length - pinnedBlockCount,
      0,
    );
  }

  /** Skips cached input; at least the last input token is always computed. */
  #startPrefill(generation: Generation, cachedBlocks: number): void {
    const cached = Math.max(
      cachedBlocks * blockTokens,
      this.#options.claimImportedTokens(generation),
    );
    const maxCached = Math.max(0, generation.inputTokens - 1);
    generation.cachedTokens = Math.min(cached, maxCached);
    this.#addBlocks(generation, cachedBlocks);
  }

  /** Pins the first `count` blocks of a request. */
  #addBlocks(generation: Generation, count: number): void {
    const { blockHashes, pinnedBlockCount } = generation;
    if (count <= pinnedBlockCount) return;
    const change = this.#options.cache.add(
      blockHashes.slice(pinnedBlockCount, count),
    );
    generation.pinnedBlockCount = count;
    this.#options.onCacheChange(change);
  }

  #computeStep(): StepPlan {
    const { settings, faults } = this.#options;
    const decoding: Generation[] = [];
    const prefilling: PrefillChunk[] = [];
    let tokenBudget = settings.prefillChunkTokens;
    for (const generation of this.#running) {
      if (generation.prefillTokensLeft === 0) {
        decoding.push(generation);
      } else if (tokenBudget > 0) {
        const tokens = Math.min(tokenBudget, generation.prefillTokensLeft);
        prefilling.push({ generation, tokens });
        tokenBudget -= tokens;
      }
    }
    const computed = settings.prefillChunkTokens - tokenBudget;
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

  /** Generates one output token, and ends the request after its last. */
  #addToken(generation: Generation): void {
    if (!generation.isComplete) {
      generation.times.firstTokenAt ??= this.#options.clock.now();
      if (this.#claimCrash(generation)) return;
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

  /** Ends all work if the answer that begins crashes the engine. */
  #claimCrash(generation: Generation): boolean {
    const { crash } = this.#options.faults.settings;
    if (crash === null || generation.outputTokens > 0) return false;
    if (!generation.request.prompt.includes(crash.text)) return false;
    const lost = [...this.#running, ...this.#queue];
    for (const other of lost) this.#closeStream(other, "cut");
    this.#options.onCrash(crash.downMs);
    return true;
  }

  /** Cuts the stream if the fault settings ask for it at this point. */
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
      blockHashes,
      pinnedBlockCount,
      sink,
      pendingLines,
    } = generation;
    const pinned = blockHashes.slice(0, pinnedBlockCount);
    this.#options.onCacheChange(this.#options.cache.release(pinned));
    generation.pendingLines = "";
    if (outcome === "cut") sink.cut(pendingLines);
    else sink.end(pendingLines);
    this.#options.onEnd(generation, outcome);
  }

  /** Sends the pending event lines, in one write per stream. */
  #sendPendingLines(): void {
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

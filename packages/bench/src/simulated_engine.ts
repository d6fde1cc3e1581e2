/**
 * Implements `Engine` with the scheduler and cache of a stand-in engine, without
 * HTTP, so that policies can be measured in virtual time.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type {
  CacheEventBatch,
  CacheExport,
  Engine,
  EngineState,
  GenerateEvent,
  GenerateRequest,
  LoadReport,
} from "@almondcrank/endpoint/engine.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import { parseGenerateEvent } from "@almondcrank/endpoint/engine_messages.ts";
import { blockTokens } from "@almondcrank/endpoint/tokens.ts";
import { EngineScheduler } from "@almondcrank/standin/engine_scheduler.ts";
import {
  type EngineSettings,
  engineSettings,
  type EngineSettingsInput,
} from "@almondcrank/standin/engine_settings.ts";
import {
  engineFaultsSchema,
  noEngineFaults,
} from "@almondcrank/standin/fault_settings.ts";
import { FaultInjector } from "@almondcrank/standin/fault_injector.ts";
import { Generation } from "@almondcrank/standin/generation.ts";
import { PrefixCache } from "@almondcrank/standin/prefix_cache.ts";

/** Buffers the lines of one generation until they are read. */
class LineQueue {
  #lines = "";
  #ended = false;
  #wake: (() => void) | undefined;

  add(lines: string, ended: boolean): void {
    this.#lines += lines;
    this.#ended ||= ended;
    this.#wake?.();
  }

  async *read(): AsyncGenerator<string, void, void> {
    for (;;) {
      const lines = this.#lines.split("\n");
      this.#lines = lines.pop() ?? "";
      yield* lines;
      if (this.#ended && this.#lines === "") return;
      if (lines.length > 0) continue;
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }
}

/** Options of a simulated engine. */
export interface SimulatedEngineOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly settings: EngineSettingsInput;
}

/** Engine in virtual time; cache events, cache moves and orders are declined. */
export class SimulatedEngine implements Engine {
  readonly name: string;
  readonly settings: EngineSettings;
  readonly cache: PrefixCache;
  readonly #options: SimulatedEngineOptions;
  readonly #scheduler: EngineScheduler;

  private constructor(options: SimulatedEngineOptions) {
    this.name = options.name;
    this.#options = options;
    this.settings = engineSettings.parse(options.settings);
    this.cache = PrefixCache.create(
      Math.floor(this.settings.cacheTokens / blockTokens),
    );
    const { clock } = options;
    this.#scheduler = EngineScheduler.open({
      clock,
      settings: this.settings,
      faults: FaultInjector.create({
        schema: engineFaultsSchema,
        initial: noEngineFaults,
        clock,
      }),
      cache: this.cache,
      claimImportedTokens: () => 0,
      onCrash: () => {},
      onCacheChange: () => {},
      onEnd: () => {},
      onLoadChange: () => {},
    });
  }

  static open(options: SimulatedEngineOptions): SimulatedEngine {
    return new SimulatedEngine(options);
  }

  dispose(): void {
    this.#scheduler.dispose();
  }

  /** Computes the current load. */
  computeLoad(): LoadReport {
    return {
      ageMs: 0,
      slots: this.settings.slots,
      prefillTokensPerSecond: this.settings.prefillTokensPerSecond,
      cacheTokens: this.settings.cacheTokens,
      ...this.#scheduler.load,
    };
  }

  async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Either<EndpointError, GenerateEvent>, void, void> {
    const { hasher, clock } = this.#options;
    const queue = new LineQueue();
    const generation = Generation.create(request, {
      write: (lines) => queue.add(lines, false),
      end: (lines) => queue.add(lines, true),
      cut: (lines) => queue.add(lines, true),
    }, { hasher, now: clock.now() });
    const abort = (): void => this.#scheduler.cancel(generation);
    signal.addEventListener("abort", abort, { once: true });
    this.#scheduler.add(generation);
    for await (const line of queue.read()) {
      const event = parseGenerateEvent(line);
      if (event === undefined) throw new Error(`not an event: ${line}`);
      yield Right(event);
    }
    signal.removeEventListener("abort", abort);
  }

  readLoad(): Promise<Either<EndpointError, LoadReport>> {
    return Promise.resolve(Right(this.computeLoad()));
  }

  readCacheEvents(): Promise<Either<EndpointError, CacheEventBatch>> {
    return Promise.resolve(this.#refuse());
  }

  exportCache(): Promise<Either<EndpointError, CacheExport>> {
    return Promise.resolve(this.#refuse());
  }

  importCache(): Promise<Either<EndpointError, number>> {
    return Promise.resolve(this.#refuse());
  }

  sendOrder(): Promise<Either<EndpointError, EngineState>> {
    return Promise.resolve(this.#refuse());
  }

  readState(): Promise<Either<EndpointError, EngineState>> {
    return Promise.resolve(this.#refuse());
  }

  #refuse(): Either<EndpointError, never> {
    const reason = "not part of the measurement";
    return Left(
      EndpointError.create({ kind: "declined", endpoint: this.name, reason }),
    );
  }
}

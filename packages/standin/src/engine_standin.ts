/**
 * Stand-in for a model engine, with the HTTP API that `endpoint/engine.ts`
 * describes.
 */

import type { ServerResponse } from "node:http";
import { request } from "undici";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type {
  CacheExport,
  CacheImport,
  EngineState,
  GenerateRequest,
  LoadReport,
  Order,
} from "@almondcrank/endpoint/engine.ts";
import { blockTokens } from "@almondcrank/endpoint/tokens.ts";
import { CacheEventLog } from "./cache_event_log.ts";
import { EngineModels, type OrderRecord } from "./engine_models.ts";
import { EngineScheduler, type SchedulerLoad } from "./engine_scheduler.ts";
import {
  type EngineSettings,
  engineSettings,
  type EngineSettingsInput,
} from "./engine_settings.ts";
import {
  type EngineFaults,
  engineFaultsSchema,
  noEngineFaults,
} from "./fault_settings.ts";
import { FaultInjector } from "./fault_injector.ts";
import { Generation } from "./generation.ts";
import {
  type EngineTotals,
  type GenerateRecord,
  GenerateRecords,
} from "./generate_records.ts";
import { createResponseSink } from "./generation_sink.ts";
import { LoadPublisher } from "./load_publisher.ts";
import { KvExchange, type KvTransfer } from "./kv_exchange.ts";
import {
  type ControlCall,
  createAnswer,
  handleJsonBody,
  type Part,
  type PartAnswer,
  type PartRoute,
  PartServer,
} from "./part_server.ts";
import { type CacheChange, PrefixCache } from "./prefix_cache.ts";
import {
  cacheImportBody,
  generateBody,
  idBody,
  orderBody,
} from "./engine_bodies.ts";

/** Options of an engine stand-in. */
export interface EngineOptions extends EngineSettingsInput {
  readonly name?: string;
  readonly address: Address;
  readonly clock: Clock;
  readonly random: Random;
}

/** Running stand-in for a model engine. */
export class EngineStandin implements Part {
  readonly name: string;
  readonly faults: FaultInjector<EngineFaults>;
  readonly #clock: Clock;
  readonly #hasher: Hasher;
  readonly #settings: EngineSettings;
  readonly #models: EngineModels;
  readonly #cache: PrefixCache;
  readonly #cacheEvents: CacheEventLog;
  readonly #kvExchange: KvExchange;
  readonly #scheduler: EngineScheduler;
  readonly #records: GenerateRecords;
  readonly #loadPublisher: LoadPublisher<SchedulerLoad>;
  #crashes = 0;
  #server!: PartServer;

  private constructor(
    options: EngineOptions,
    settings: EngineSettings,
    hasher: Hasher,
  ) {
    const { clock } = options;
    this.name = options.name ?? "engine";
    this.#clock = clock;
    this.#hasher = hasher;
    this.#settings = settings;
    this.faults = FaultInjector.create({
      schema: engineFaultsSchema,
      initial: { ...noEngineFaults, cacheEventLagMs: settings.cacheEventLagMs },
      clock,
    });
    this.#records = GenerateRecords.create(clock, hasher);
    this.#models = EngineModels.create(clock, settings);
    this.#cache = PrefixCache.create(
      Math.floor(settings.cacheTokens / blockTokens),
    );
    this.#cacheEvents = CacheEventLog.create(clock, options.random);
    this.#kvExchange = KvExchange.create(settings);
    this.#scheduler = EngineScheduler.open({
      clock,
      settings,
      faults: this.faults,
      cache: this.#cache,
      claimImportedTokens: (generation) =>
        this.#kvExchange.claimImportedTokens(generation),
      onCacheChange: (change) => this.#recordCacheChange(change),
      onEnd: (generation, outcome) => this.#records.add(generation, outcome),
      onCrash: (downMs) => void this.#crash(downMs),
      onLoadChange: () => this.#loadPublisher.refresh(),
    });
    this.#loadPublisher = LoadPublisher.create({
      clock,
      intervalMs: settings.loadPublishMs,
      read: () => this.load,
    });
  }

  static async open(options: EngineOptions): Promise<EngineStandin> {
    const { name: _name, address, clock, random: _random, ...settings } =
      options;
    const standin = new EngineStandin(
      options,
      engineSettings.parse(settings),
      await openHasher(),
    );
    standin.#server = await PartServer.open({
      address,
      clock,
      faults: standin.faults,
      routes: standin.#createRoutes(),
      controls: {
        "GET /control/records": () => standin.#listRecords(),
        "GET /control/orders": () =>
          createAnswer(200, { orders: standin.orders }),
        "POST /control/cache/drop": () => standin.#removeIdleCache(),
      },
    });
    return standin;
  }

  get address(): Address {
    return this.#server.address;
  }

  get state(): EngineState {
    return this.#models.state;
  }

  get records(): readonly GenerateRecord[] {
    return this.#records.list();
  }

  get totals(): EngineTotals {
    return this.#records.totals;
  }

  /** Number of crashes by a prompt. */
  get crashes(): number {
    return this.#crashes;
  }

  get orders(): readonly OrderRecord[] {
    return this.#models.records;
  }

  /** Current load, without publishing delay or load fault. */
  get load(): SchedulerLoad {
    return this.#scheduler.load;
  }

  callControl(call: ControlCall): PartAnswer {
    return this.#server.callControl(call);
  }

  dispose(): void {
    this.#scheduler.dispose();
    this.#models.dispose();
    this.#server.dispose();
  }

  #createRoutes(): readonly PartRoute[] {
    return [
      {
        method: "POST",
        path: "/generate",
        handle: ({ body, response }) =>
          handleJsonBody(
            generateBody,
            body,
            (request) => this.#handleGenerate(request, response),
          ),
      },
      {
        method: "POST",
        path: "/cancel",
        handle: ({ body }) =>
          handleJsonBody(idBody, body, ({ id }) => this.#cancel(id)),
      },
      {
        method: "POST",
        path: "/kv/export",
        handle: ({ body }) =>
          handleJsonBody(idBody, body, ({ id }) => this.#exportCache(id)),
      },
      {
        method: "POST",
        path: "/kv/import",
        handle: ({ body }) =>
          handleJsonBody(
            cacheImportBody,
            body,
            (source) => this.#importCache(source),
          ),
      },
      {
        method: "POST",
        path: "/orders",
        handle: ({ body }) =>
          handleJsonBody(orderBody, body, (order) => this.#handleOrder(order)),
      },
      {
        method: "GET",
        path: "/kv/:handle",
        handle: ({ parameters }) => this.#sendCache(parameters["handle"] ?? ""),
      },
      {
        method: "GET",
        path: "/cache-events",
        handle: ({ query }) => this.#readCacheEvents(query),
      },
      { method: "GET", path: "/load", handle: () => this.#readLoad() },
      {
        method: "GET",
        path: "/state",
        handle: () => createAnswer(200, this.state),
      },
    ];
  }

  #handleGenerate(body: GenerateRequest, response: ServerResponse): PartAnswer {
    if (response.destroyed) return { kind: "cut" };
    this.#records.countCall();
    const refusal = this.#models.findRefusal(body.model, body.adapter) ??
      this.#findQueueRefusal(body.id);
    if (refusal !== undefined) {
      this.#records.countDeclined();
      return createAnswer(503, { reason: refusal });
    }
    const generation = Generation.create(body, createResponseSink(response), {
      hasher: this.#hasher,
      now: this.#clock.now(),
    });
    response.once("close", () => this.#scheduler.cancel(generation));
    this.#scheduler.add(generation);
    return { kind: "streamed" };
  }

  #findQueueRefusal(id: string): string | undefined {
    if (this.#scheduler.find(id) !== undefined) return "id is in use";
    return this.load.queued >= this.#settings.queueLimit
      ? "queue is full"
      : undefined;
  }

  #cancel(id: string): PartAnswer {
    const generation = this.#scheduler.find(id);
    if (generation !== undefined) this.#scheduler.cancel(generation);
    return createAnswer(200, {});
  }

  #readLoad(): PartAnswer {
    const { ageMs, load } = this.#loadPublisher.read();
    const { loadFactor } = this.faults.settings;
    const report: LoadReport = {
      ageMs,
      queued: Math.round(load.queued * loadFactor),
      running: Math.round(load.running * loadFactor),
      slots: this.#settings.slots,
      queuedTokens: Math.round(load.queuedTokens * loadFactor),
      prefillTokensPerSecond: this.#settings.prefillTokensPerSecond,
      betweenTokensMs: load.betweenTokensMs,
      cacheUsedTokens: load.cacheUsedTokens,
      cacheTokens: this.#settings.cacheTokens,
      requestsPerSecond: this.#settings.requestsPerSecond,
    };
    return createAnswer(200, report);
  }

  #readCacheEvents(query: URLSearchParams): PartAnswer {
    const since = Number(query.get("since") ?? 0);
    if (!(since >= 0)) {
      return createAnswer(400, { reason: "since must be a number" });
    }
    return createAnswer(
      200,
      this.#cacheEvents.read(since, this.faults.settings),
    );
  }

  #exportCache(id: string): PartAnswer {
    const generation = this.#scheduler.find(id);
    if (generation === undefined || generation.kvTokens === 0) {
      return createAnswer(404, { reason: "no cache for this id" });
    }
    const answer: CacheExport = this.#kvExchange.export(generation);
    return createAnswer(200, answer);
  }

  /** Sends an exported cache after the time that its transfer takes. */
  async #sendCache(handle: string): Promise<PartAnswer> {
    const transfer = this.#kvExchange.findExport(handle);
    if (transfer === undefined) {
      return createAnswer(404, { reason: "no such handle" });
    }
    await this.#clock.sleep(
      this.#kvExchange.computeTransferMs(transfer) *
        this.faults.settings.slowdown,
    );
    return createAnswer(200, transfer);
  }

  async #importCache(source: CacheImport): Promise<PartAnswer> {
    const transfer = await readExportedCache(source.from, source.handle);
    if (transfer === undefined) {
      return createAnswer(404, { reason: "the exported cache is gone" });
    }
    this.#kvExchange.import(source.importId, transfer);
    this.#recordCacheChange(this.#cache.add(transfer.blocks));
    this.#recordCacheChange(this.#cache.release(transfer.blocks));
    return createAnswer(200, { tokens: transfer.tokens });
  }

  #handleOrder(order: Order): PartAnswer {
    return this.#models.apply(order)
      ? createAnswer(200, this.state)
      : createAnswer(412, { known: this.state.fencing });
  }

  #listRecords(): PartAnswer {
    return createAnswer(200, { totals: this.totals, records: this.records });
  }

  #removeIdleCache(): PartAnswer {
    const change = this.#cache.removeIdle();
    this.#recordCacheChange(change);
    return createAnswer(200, { evicted: change.evicted.length });
  }

  /** Loses the cache, and refuses connections for `downMs` milliseconds. */
  async #crash(downMs: number): Promise<void> {
    this.#crashes += 1;
    this.faults.apply({ outage: "refuse" });
    this.#removeIdleCache();
    await this.#clock.sleep(downMs);
    this.faults.apply({ outage: "none" });
  }

  #recordCacheChange(change: CacheChange): void {
    this.#cacheEvents.record(change, this.faults.settings);
  }
}

/** Fetches an exported cache; undefined unless it is answered 200. */
async function readExportedCache(
  from: Address,
  handle: string,
): Promise<KvTransfer | undefined> {
  try {
    const answer = await request(
      `http://${from}/kv/${encodeURIComponent(handle)}`,
    );
    const body = await answer.body.json();
    return answer.statusCode === 200 ? body as KvTransfer : undefined;
  } catch {
    return undefined;
  }
}

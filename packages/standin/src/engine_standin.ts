/**
 * Stand-in for a model engine, on the wire of `engine.ts`.
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
import {
  EngineScheduler,
  type GenerationOutcome,
  type SchedulerLoad,
} from "./engine_scheduler.ts";
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
import { FaultSwitch } from "./fault_switch.ts";
import { Generation, type GenerationSink } from "./generation.ts";
import { KvExchange, type KvTransfer } from "./kv_exchange.ts";
import {
  type ControlCall,
  createAnswer,
  handleParsed,
  type Part,
  type PartAnswer,
  type PartRoute,
  PartServer,
} from "./part_server.ts";
import { type CacheChange, PrefixCache } from "./prefix_cache.ts";
import { RecordList } from "./record_list.ts";
import {
  cacheImportBody,
  generateBody,
  idBody,
  orderBody,
} from "./engine_bodies.ts";

const keptRecords = 10_000;
const jsonLines = { "content-type": "application/x-ndjson" };

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
  /** Output tokens the request brought with it. */
  readonly tokensSoFar: number;
  readonly cachedTokens: number;
  readonly computedTokens: number;
  readonly outputTokens: number;
  readonly outcome: GenerationOutcome;
}

/** Sums over all generate calls that have ended, and calls declined. */
export interface EngineTotals {
  calls: number;
  declined: number;
  cachedTokens: number;
  computedTokens: number;
  outputTokens: number;
}

/** Options of an engine stand-in. */
export interface EngineOptions extends EngineSettingsInput {
  readonly name?: string;
  readonly address: Address;
  readonly clock: Clock;
  readonly random: Random;
}

interface PublishedLoad {
  readonly at: number;
  readonly load: SchedulerLoad;
}

/** Running engine. */
export class EngineStandin implements Part {
  readonly name: string;
  readonly faults: FaultSwitch<EngineFaults>;
  readonly #clock: Clock;
  readonly #hasher: Hasher;
  readonly #settings: EngineSettings;
  readonly #models: EngineModels;
  readonly #cache: PrefixCache;
  readonly #events: CacheEventLog;
  readonly #kv: KvExchange;
  readonly #scheduler: EngineScheduler;
  readonly #records = RecordList.create<GenerateRecord>(keptRecords);
  readonly #totals: EngineTotals = {
    calls: 0,
    declined: 0,
    cachedTokens: 0,
    computedTokens: 0,
    outputTokens: 0,
  };
  #published: PublishedLoad;
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
    this.faults = FaultSwitch.create({
      schema: engineFaultsSchema,
      initial: { ...noEngineFaults, cacheEventLagMs: settings.cacheEventLagMs },
      clock,
    });
    this.#models = EngineModels.create(clock, settings);
    this.#cache = PrefixCache.create(
      Math.floor(settings.cacheTokens / blockTokens),
    );
    this.#events = CacheEventLog.create(clock, options.random);
    this.#kv = KvExchange.create(settings);
    this.#scheduler = EngineScheduler.open({
      clock,
      settings,
      faults: this.faults,
      cache: this.#cache,
      countImported: (generation) => this.#kv.countImported(generation),
      onCacheChange: (change) => this.#recordCacheChange(change),
      onEnd: (generation, outcome) => this.#recordEnd(generation, outcome),
      onLoadChange: () => this.#publishLoad(),
    });
    this.#published = { at: clock.now(), load: this.#scheduler.load };
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
        "POST /control/cache/drop": () => standin.#dropCache(),
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

  get totals(): Readonly<EngineTotals> {
    return this.#totals;
  }

  get orders(): readonly OrderRecord[] {
    return this.#models.records;
  }

  /** Load at this moment, without lag or lie. */
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
          handleParsed(
            generateBody,
            body,
            (request) => this.#generate(request, response),
          ),
      },
      {
        method: "POST",
        path: "/cancel",
        handle: ({ body }) =>
          handleParsed(idBody, body, ({ id }) => this.#cancel(id)),
      },
      {
        method: "POST",
        path: "/kv/export",
        handle: ({ body }) =>
          handleParsed(idBody, body, ({ id }) => this.#exportCache(id)),
      },
      {
        method: "POST",
        path: "/kv/import",
        handle: ({ body }) =>
          handleParsed(
            cacheImportBody,
            body,
            (order) => this.#importCache(order),
          ),
      },
      {
        method: "POST",
        path: "/orders",
        handle: ({ body }) =>
          handleParsed(orderBody, body, (order) => this.#order(order)),
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

  #generate(body: GenerateRequest, response: ServerResponse): PartAnswer {
    if (response.destroyed) return { kind: "cut" };
    const refusal = this.#models.findRefusal(body.model, body.adapter) ??
      this.#findQueueRefusal(body.id);
    if (refusal !== undefined) {
      this.#totals.declined += 1;
      return createAnswer(503, { reason: refusal });
    }
    const generation = Generation.create(body, createSink(response), {
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
    this.#publishLoad();
    const { at, load } = this.#published;
    const { loadFactor } = this.faults.settings;
    const report: LoadReport = {
      ageMs: this.#clock.now() - at,
      queued: Math.round(load.queued * loadFactor),
      running: Math.round(load.running * loadFactor),
      slots: this.#settings.slots,
      queuedTokens: Math.round(load.queuedTokens * loadFactor),
      prefillTokensPerSecond: this.#settings.prefillTokensPerSecond,
      betweenTokensMs: load.betweenTokensMs,
      cacheUsedTokens: load.cacheUsedTokens,
      cacheTokens: this.#settings.cacheTokens,
    };
    return createAnswer(200, report);
  }

  /**
   * Publishes the load if an interval has ended since the last time.
   *
   * Called before each change, so the load is what it was at the interval's end
   * and no timer is needed.
   */
  #publishLoad(): void {
    const { loadPublishMs } = this.#settings;
    const now = this.#clock.now();
    if (now - this.#published.at < loadPublishMs) return;
    const at = loadPublishMs === 0 ? now : now - now % loadPublishMs;
    this.#published = { at, load: this.#scheduler.load };
  }

  #readCacheEvents(query: URLSearchParams): PartAnswer {
    const since = Number(query.get("since") ?? 0);
    if (!(since >= 0)) {
      return createAnswer(400, { reason: "since must be a number" });
    }
    return createAnswer(200, this.#events.read(since, this.faults.settings));
  }

  #exportCache(id: string): PartAnswer {
    const generation = this.#scheduler.find(id);
    if (generation === undefined || generation.kvTokens === 0) {
      return createAnswer(404, { reason: "no cache for this id" });
    }
    const answer: CacheExport = this.#kv.export(generation);
    return createAnswer(200, answer);
  }

  /** Sends an exported cache, in the time its bytes take. */
  async #sendCache(handle: string): Promise<PartAnswer> {
    const transfer = this.#kv.findExport(handle);
    if (transfer === undefined) {
      return createAnswer(404, { reason: "no such handle" });
    }
    await this.#clock.sleep(
      this.#kv.computeTransferMs(transfer) * this.faults.settings.slowdown,
    );
    return createAnswer(200, transfer);
  }

  async #importCache(order: CacheImport): Promise<PartAnswer> {
    const transfer = await fetchCache(order.from, order.handle);
    if (transfer === undefined) {
      return createAnswer(404, { reason: "the exported cache is gone" });
    }
    this.#kv.import(order.importId, transfer);
    this.#recordCacheChange(this.#cache.add(transfer.blocks));
    this.#recordCacheChange(this.#cache.release(transfer.blocks));
    return createAnswer(200, { tokens: transfer.tokens });
  }

  #order(order: Order): PartAnswer {
    return this.#models.apply(order)
      ? createAnswer(200, this.state)
      : createAnswer(412, { known: this.state.fencing });
  }

  #listRecords(): PartAnswer {
    return createAnswer(200, { totals: this.totals, records: this.records });
  }

  #dropCache(): PartAnswer {
    const change = this.#cache.removeIdle();
    this.#recordCacheChange(change);
    return createAnswer(200, { evicted: change.evicted.length });
  }

  #recordCacheChange(change: CacheChange): void {
    this.#events.record(change, this.faults.settings);
  }

  #recordEnd(generation: Generation, outcome: GenerationOutcome): void {
    const { request: call, times, usage } = generation;
    this.#totals.calls += 1;
    this.#totals.cachedTokens += usage.cachedTokens;
    this.#totals.computedTokens += usage.computedTokens;
    this.#totals.outputTokens += usage.outputTokens;
    const origin = this.#clock.wallTime() - this.#clock.now();
    const toWall = (at: number | undefined): number | undefined =>
      at === undefined ? undefined : origin + at;
    this.#records.add({
      id: call.id,
      model: call.model,
      promptHash: this.#hasher.hash32(call.prompt),
      priority: call.priority,
      arrivedAt: origin + times.arrivedAt,
      startedAt: toWall(times.startedAt),
      firstTokenAt: toWall(times.firstTokenAt),
      endedAt: this.#clock.wallTime(),
      tokensSoFar: call.tokensSoFar.length,
      cachedTokens: usage.cachedTokens,
      computedTokens: usage.computedTokens,
      outputTokens: usage.outputTokens,
      outcome,
    });
  }
}

/** Writes events into a response; headers go out with the first of them. */
function createSink(response: ServerResponse): GenerationSink {
  const start = (): void => {
    if (!response.headersSent) response.writeHead(200, jsonLines);
  };
  return {
    write: (lines) => {
      start();
      response.write(lines);
    },
    end: (lines) => {
      if (response.destroyed) return;
      start();
      response.end(lines);
    },
    cut: (lines) => {
      if (lines === "") {
        response.destroy();
        return;
      }
      start();
      response.write(lines, () => response.destroy());
    },
  };
}

/** Fetches an exported cache; undefined when it cannot be had. */
async function fetchCache(
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

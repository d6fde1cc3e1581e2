/**
 * Stand-in for an endpoint of a plain service that takes bookings, with the
 * HTTP API that `endpoint/plain_service.ts` describes.
 *
 * Every call other than a read makes a booking: it adds an entry to the slot
 * that its JSON body names. The service does not deduplicate calls, so a call
 * that runs twice leaves two entries with one key.
 */

import { z } from "zod";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import { parseJsonBody } from "@almondcrank/common/http_server.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { PlainLoad } from "@almondcrank/endpoint/plain_service.ts";
import {
  noPlainFaults,
  type PlainFaults,
  plainFaultsSchema,
} from "./fault_settings.ts";
import { FaultInjector } from "./fault_injector.ts";
import {
  type ControlCall,
  createAnswer,
  type Part,
  type PartAnswer,
  type PartCall,
  PartServer,
} from "./part_server.ts";
import { LoadPublisher } from "./load_publisher.ts";
import { RecordList } from "./record_list.ts";

const keptRecords = 20_000;
const readMethods = ["GET", "HEAD", "OPTIONS"];

/** Schema of the settings of a plain service's endpoint. */
export const plainSettings = z.strictObject({
  /** Mean duration of a call in milliseconds. */
  serviceMs: z.number().min(0).default(20),
  /** Largest deviation from the mean, as a share of it. */
  serviceSpread: z.number().min(0).max(1).default(0.2),
  /** Calls that run at once. */
  concurrency: z.number().int().min(1).default(8),
  /** Calls that may wait; further ones are declined. */
  queueLimit: z.number().int().min(0).default(64),
  /** Interval at which the load is published, in milliseconds. */
  loadPublishMs: z.number().min(0).default(100),
  /** Limit that the load report states, for all nodes together. */
  requestsPerSecond: z.number().min(0).optional(),
});
/** Settings with all defaults filled in. */
export type PlainSettings = z.infer<typeof plainSettings>;

/** One call that ran. */
export interface PlainRecord {
  /** Number of the run, from 1. */
  readonly run: number;
  /** Wall time at which it took effect, in milliseconds. */
  readonly at: number;
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  /** Hash of method, path and body. */
  readonly requestHash: number;
  readonly slot: string | undefined;
}

/** Keys and slots with more than one booking, where at most one is correct. */
export interface DuplicateRuns {
  /** Keys that ran more than once. */
  readonly keys: readonly string[];
  /** Slots booked more than once. */
  readonly slots: readonly string[];
}

/** Options of a plain service stand-in. */
export interface PlainOptions extends Partial<PlainSettings> {
  readonly name?: string;
  readonly address: Address;
  readonly clock: Clock;
  readonly random: Random;
}

/** Running stand-in for a plain service's endpoint. */
export class PlainServiceStandin implements Part {
  readonly name: string;
  readonly faults: FaultInjector<PlainFaults>;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #hasher: Hasher;
  readonly #settings: PlainSettings;
  readonly #records = RecordList.create<PlainRecord>(keptRecords);
  readonly #bookings = new Map<string, PlainRecord[]>();
  readonly #queue: (() => void)[] = [];
  #running = 0;
  readonly #load: LoadPublisher<PlainLoad>;
  #server!: PartServer;

  private constructor(
    options: PlainOptions,
    settings: PlainSettings,
    hasher: Hasher,
  ) {
    this.name = options.name ?? "plain";
    this.#clock = options.clock;
    this.#random = options.random;
    this.#hasher = hasher;
    this.#settings = settings;
    this.faults = FaultInjector.create({
      schema: plainFaultsSchema,
      initial: noPlainFaults,
      clock: options.clock,
    });
    this.#load = LoadPublisher.create({
      clock: options.clock,
      intervalMs: settings.loadPublishMs,
      read: () => this.load,
    });
  }

  static async open(options: PlainOptions): Promise<PlainServiceStandin> {
    const { name: _name, address, clock, random: _random, ...settings } =
      options;
    const standin = new PlainServiceStandin(
      options,
      plainSettings.parse(settings),
      await openHasher(),
    );
    standin.#server = await PartServer.open({
      address,
      clock,
      faults: standin.faults,
      routes: [
        { method: "GET", path: "/load", handle: () => standin.#readLoad() },
        { method: "ALL", path: "/*", handle: (e) => standin.#handle(e) },
      ],
      controls: {
        "GET /control/records": () => standin.#listRecords(),
        "GET /control/doubles": () =>
          createAnswer(200, standin.findDuplicates()),
      },
    });
    return standin;
  }

  get address(): Address {
    return this.#server.address;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#server.connections;
  }

  /** Calls that ran, oldest first. */
  get records(): readonly PlainRecord[] {
    return this.#records.list();
  }

  /** Current load, without publishing delay or load fault. */
  get load(): PlainLoad {
    return {
      ageMs: 0,
      running: this.#running,
      queued: this.#queue.length,
    };
  }

  /** Finds keys that ran twice and slots that were booked twice. */
  findDuplicates(): DuplicateRuns {
    const runs = new Map<string, number>();
    for (const { key, method } of this.records) {
      if (key === undefined || readMethods.includes(method)) continue;
      runs.set(key, (runs.get(key) ?? 0) + 1);
    }
    const keys = [...runs].filter(([, count]) => count > 1)
      .map(([key]) => key);
    const slots = [...this.#bookings].filter(([, list]) => list.length > 1)
      .map(([slot]) => slot);
    return { keys, slots };
  }

  callControl(call: ControlCall): PartAnswer {
    return this.#server.callControl(call);
  }

  dispose(): void {
    this.#server.dispose();
    for (const wake of this.#queue.splice(0)) wake();
  }

  async #handle(call: PartCall): Promise<PartAnswer> {
    if (this.#claimCut("before_run")) return { kind: "cut" };
    if (
      this.#running >= this.#settings.concurrency &&
      this.#queue.length >= this.#settings.queueLimit
    ) {
      return createAnswer(503, { reason: "queue is full" }, {
        "x-run": "not_run",
      });
    }
    const hasWaited = await this.#waitForCapacity();
    try {
      // A call whose caller disconnected while it was queued is not run.
      if (hasWaited && call.response.destroyed) return { kind: "cut" };
      const serviceMs = this.#chooseServiceMs();
      if (serviceMs > 0) await this.#clock.sleep(serviceMs);
      await this.faults.waitUntilThawed();
      const answer = this.#runCall(call);
      return this.#claimCut("first_byte") ? { kind: "cut" } : answer;
    } finally {
      this.#releaseCapacity();
    }
  }

  /** Waits until the call may run; returns whether it had to wait. */
  async #waitForCapacity(): Promise<boolean> {
    this.#load.refresh();
    if (this.#running < this.#settings.concurrency) {
      this.#running += 1;
      return false;
    }
    await new Promise<void>((resolve) => this.#queue.push(resolve));
    return true;
  }

  /** Starts the call that has waited longest, or frees its place. */
  #releaseCapacity(): void {
    this.#load.refresh();
    const wake = this.#queue.shift();
    if (wake === undefined) this.#running -= 1;
    else wake();
  }

  /** Whether the fault settings ask for a cut at this point; counts it. */
  #claimCut(at: NonNullable<PlainFaults["cut"]>["at"]): boolean {
    if (this.faults.settings.cut?.at !== at) return false;
    this.faults.claimCut();
    return true;
  }

  #chooseServiceMs(): number {
    const { serviceMs, serviceSpread } = this.#settings;
    const deviation = serviceSpread * (2 * this.#random.next() - 1);
    return serviceMs * (1 + deviation) * this.faults.settings.slowdown;
  }

  #runCall({ request, path, body }: PartCall): PartAnswer {
    const method = request.method ?? "GET";
    const isRead = readMethods.includes(method);
    const key = request.headers["idempotency-key"];
    const record: PlainRecord = {
      run: this.#records.total + 1,
      at: this.#clock.wallTime(),
      method,
      path,
      key: typeof key === "string" ? key : undefined,
      requestHash: this.#hasher.hash32(`${method} ${path} ${decodeText(body)}`),
      slot: isRead ? undefined : findSlot(body),
    };
    this.#records.add(record);
    if (isRead) return this.#createReadAnswer(path);
    if (record.slot !== undefined) {
      const bookings = this.#bookings.get(record.slot) ?? [];
      bookings.push(record);
      this.#bookings.set(record.slot, bookings);
    }
    const { run, slot, requestHash } = record;
    return createAnswer(201, {
      status: "booked",
      confirmation: `B${run}-${requestHash.toString(16)}`,
      slot,
      key: record.key,
    });
  }

  /** Creates an answer with the bookings of the slot at the end of the path. */
  #createReadAnswer(path: string): PartAnswer {
    const slot = decodeURIComponent(path.slice(path.lastIndexOf("/") + 1));
    const bookings = (this.#bookings.get(slot) ?? [])
      .map(({ run, key }) => ({ run, key }));
    return createAnswer(200, { path, slot, bookings });
  }

  #readLoad(): PartAnswer {
    const { ageMs, load } = this.#load.read();
    const { loadFactor } = this.faults.settings;
    const report: PlainLoad = {
      ageMs,
      running: Math.round(load.running * loadFactor),
      queued: Math.round(load.queued * loadFactor),
      requestsPerSecond: this.#settings.requestsPerSecond,
    };
    return createAnswer(200, report);
  }

  #listRecords(): PartAnswer {
    return createAnswer(200, {
      total: this.#records.total,
      records: this.records,
    });
  }
}

function decodeText(body: Uint8Array): string {
  return new TextDecoder().decode(body);
}

/** Finds the slot that a body names, if it is a JSON object with one. */
function findSlot(body: Uint8Array): string | undefined {
  const value = parseJsonBody(body).toMaybe().extract();
  if (typeof value !== "object" || value === null) return undefined;
  const slot = (value as { readonly slot?: unknown }).slot;
  return typeof slot === "string" ? slot : undefined;
}

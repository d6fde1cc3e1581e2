/**
 * Stand-in for the weight store, on the wire of `weight_store.ts`.
 *
 * Loads share one byte rate equally. No weights are sent: a load is answered
 * after the time its bytes would have taken.
 */

import { z } from "zod";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { WeightRate } from "@almondcrank/infrastructure/weight_store.ts";
import type { CommonFaults } from "./fault_settings.ts";
import { FaultInjector } from "./fault_injector.ts";
import {
  type ControlCall,
  createAnswer,
  handleControlCall,
  type Part,
  type PartAnswer,
  type PartCall,
  PartServer,
} from "./part_server.ts";
import { RecordList } from "./record_list.ts";

const keptRecords = 10_000;
const millisecondsPerSecond = 1_000;

export const weightStoreSettings = z.strictObject({
  bytesPerSecond: z.number().min(1).default(4_000_000_000),
});
export type WeightStoreSettings = z.infer<typeof weightStoreSettings>;

/** One load that was answered. Times are wall time in milliseconds. */
export interface WeightRecord {
  readonly name: string;
  readonly bytes: number;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** Options of the weight store stand-in. */
export interface WeightStoreOptions extends Partial<WeightStoreSettings> {
  readonly name?: string;
  readonly address: Address;
  readonly clock: Clock;
}

interface Load {
  leftBytes: number;
  readonly finish: () => void;
}

/** Running weight store. */
export class WeightStoreStandin implements Part {
  readonly name: string;
  readonly faults: FaultInjector<CommonFaults>;
  readonly #clock: Clock;
  readonly #loads = new Set<Load>();
  readonly #records = RecordList.create<WeightRecord>(keptRecords);
  #bytesPerSecond: number;
  #recordedAt: number;
  #timer = new AbortController();
  #server!: PartServer;

  private constructor(
    options: WeightStoreOptions,
    settings: WeightStoreSettings,
  ) {
    this.name = options.name ?? "weightStore";
    this.#clock = options.clock;
    this.#bytesPerSecond = settings.bytesPerSecond;
    this.#recordedAt = options.clock.now();
    this.faults = FaultInjector.createCommon(options.clock);
  }

  static async open(options: WeightStoreOptions): Promise<WeightStoreStandin> {
    const { name: _name, address, clock, ...settings } = options;
    const standin = new WeightStoreStandin(
      options,
      weightStoreSettings.parse(settings),
    );
    standin.#server = await PartServer.open({
      address,
      clock,
      faults: standin.faults,
      routes: [
        {
          method: "GET",
          path: "/rate",
          handle: () => createAnswer(200, standin.rate),
        },
        {
          method: "GET",
          path: "/weights/*",
          handle: (e) => standin.#handleLoad(e),
        },
      ],
      controls: {
        "GET /control/records": () =>
          createAnswer(200, { records: standin.records }),
        "POST /control/rate": (call) => standin.#setRate(call),
      },
    });
    return standin;
  }

  get address(): Address {
    return this.#server.address;
  }

  get rate(): WeightRate {
    return {
      bytesPerSecond: this.#bytesPerSecond,
      activeLoads: this.#loads.size,
    };
  }

  get records(): readonly WeightRecord[] {
    return this.#records.list();
  }

  callControl(call: ControlCall): PartAnswer {
    return this.#server.callControl(call);
  }

  dispose(): void {
    this.#timer.abort();
    this.#server.dispose();
    for (const load of this.#loads) load.finish();
    this.#loads.clear();
  }

  async #handleLoad({ path, query, response }: PartCall): Promise<PartAnswer> {
    const bytes = Number(query.get("bytes"));
    if (!(bytes >= 0)) {
      return createAnswer(400, { reason: "bytes must be a number" });
    }
    const startedAt = this.#clock.wallTime();
    await new Promise<void>((resolve) => {
      const load: Load = { leftBytes: bytes, finish: resolve };
      response.once("close", () => this.#remove(load));
      this.#recordProgress();
      this.#loads.add(load);
      this.#startTimer();
    });
    if (response.destroyed) return { kind: "cut" };
    const name = decodeURIComponent(path.slice("/weights/".length));
    const endedAt = this.#clock.wallTime();
    this.#records.add({ name, bytes, startedAt, endedAt });
    return createAnswer(200, { name, bytes });
  }

  #remove(load: Load): void {
    if (!this.#loads.has(load)) return;
    this.#recordProgress();
    this.#loads.delete(load);
    load.finish();
    this.#startTimer();
  }

  /** Gives each load its share of the bytes since the last time. */
  #recordProgress(): void {
    const now = this.#clock.now();
    const bytes = (now - this.#recordedAt) * this.#bytesPerSecond /
      millisecondsPerSecond;
    for (const load of this.#loads) load.leftBytes -= bytes / this.#loads.size;
    this.#recordedAt = now;
  }

  /** Ends loads that have all bytes, and waits for the next to have them. */
  #startTimer(): void {
    for (const load of this.#loads) {
      // Half a byte allows for rounding of the shares.
      if (load.leftBytes > 0.5) continue;
      this.#loads.delete(load);
      load.finish();
    }
    this.#timer.abort();
    this.#timer = new AbortController();
    if (this.#loads.size > 0) void this.#waitNext(this.#timer.signal);
  }

  async #waitNext(signal: AbortSignal): Promise<void> {
    const left = Math.min(...[...this.#loads].map((load) => load.leftBytes));
    const perLoad = this.#bytesPerSecond / this.#loads.size;
    const ms = left * millisecondsPerSecond / perLoad;
    await this.#clock.sleep(ms, signal);
    if (signal.aborted) return;
    this.#recordProgress();
    this.#startTimer();
  }

  #setRate(call: ControlCall): PartAnswer {
    return handleControlCall(
      weightStoreSettings,
      call,
      ({ bytesPerSecond }) => {
        this.#recordProgress();
        this.#bytesPerSecond = bytesPerSecond;
        this.#startTimer();
        return createAnswer(200, this.rate);
      },
    );
  }
}

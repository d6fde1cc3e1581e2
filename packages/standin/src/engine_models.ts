/**
 * Models loaded by a stand-in engine, and the orders that change them.
 */

import { request } from "undici";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type {
  EngineRole,
  EngineState,
  LoadedModel,
  Order,
} from "@almondcrank/endpoint/engine.ts";
import type { EngineSettings } from "./engine_settings.ts";

const keptOrderRecords = 1_000;
const loadRetryMs = 200;

/** One order received. */
export interface OrderRecord {
  /** Wall time in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly order: Order;
  /** Highest fencing token received before the order. */
  readonly known: number;
  readonly tookEffect: boolean;
}

/** Role, models and model loads of one engine. */
export class EngineModels implements Disposable {
  readonly #clock: Clock;
  readonly #settings: EngineSettings;
  readonly #activeLoads = new Map<string, AbortController>();
  #loaded: readonly LoadedModel[];
  #role: EngineRole = "serve";
  #fencing = 0;
  #records: OrderRecord[] = [];

  private constructor(clock: Clock, settings: EngineSettings) {
    this.#clock = clock;
    this.#settings = settings;
    this.#loaded = settings.models;
  }

  static create(clock: Clock, settings: EngineSettings): EngineModels {
    return new EngineModels(clock, settings);
  }

  get state(): EngineState {
    return {
      fencing: this.#fencing,
      role: this.#role,
      models: this.#loaded,
      loading: [...this.#activeLoads.keys()],
    };
  }

  get records(): readonly OrderRecord[] {
    return this.#records;
  }

  /** Finds the reason to refuse a request for a model, if there is one. */
  findRefusal(model: string, adapter: string | undefined): string | undefined {
    if (this.#role === "drain") return "draining";
    const loaded = this.#loaded.filter((other) => other.model === model);
    if (loaded.length === 0) return `model "${model}" is not loaded`;
    if (adapter === undefined) return undefined;
    return loaded.some((other) => other.adapters.includes(adapter))
      ? undefined
      : `adapter "${adapter}" is not loaded`;
  }

  /** Applies an order; returns false when its fencing token is outdated. */
  apply(order: Order): boolean {
    const known = this.#fencing;
    const tookEffect = order.fencing >= known || !this.#settings.checksFencing;
    this.#records.push({
      at: this.#clock.wallTime(),
      order,
      known,
      tookEffect,
    });
    if (this.#records.length > keptOrderRecords) this.#records.shift();
    if (!tookEffect) return false;
    this.#fencing = Math.max(known, order.fencing);
    this.#role = order.role;
    this.#applyModels(order.models);
    return true;
  }

  dispose(): void {
    for (const load of this.#activeLoads.values()) load.abort();
    this.#activeLoads.clear();
  }

  #applyModels(wanted: readonly LoadedModel[]): void {
    const keys = new Set(wanted.map(formatKey));
    for (const [key, load] of this.#activeLoads) {
      if (keys.has(key)) continue;
      load.abort();
      this.#activeLoads.delete(key);
    }
    const loadedKeys = new Set(this.#loaded.map(formatKey));
    // An older version stays loaded until the wanted one has loaded.
    this.#loaded = this.#loaded.flatMap((loaded) => {
      const match = wanted.find((other) =>
        formatKey(other) === formatKey(loaded)
      );
      if (match !== undefined) return [match];
      const isReplaced = wanted.some((other) =>
        other.model === loaded.model && !loadedKeys.has(formatKey(other))
      );
      return isReplaced ? [loaded] : [];
    });
    for (const model of wanted) {
      const key = formatKey(model);
      if (loadedKeys.has(key)) continue;
      this.#activeLoads.get(key)?.abort();
      this.#startLoad(key, model);
    }
  }

  #startLoad(key: string, model: LoadedModel): void {
    const load = new AbortController();
    this.#activeLoads.set(key, load);
    void this.#runLoad(model, load.signal).then(() => {
      if (load.signal.aborted) return;
      this.#activeLoads.delete(key);
      this.#loaded = [
        ...this.#loaded.filter((other) => other.model !== model.model),
        model,
      ];
    });
  }

  /** Fetches the weights of a model; retries until they have arrived. */
  async #runLoad(model: LoadedModel, signal: AbortSignal): Promise<void> {
    const { weightStore, weightBytes, defaultWeightBytes } = this.#settings;
    if (weightStore === undefined) return;
    const bytes = weightBytes[model.model] ?? defaultWeightBytes;
    const name = encodeURIComponent(formatKey(model));
    const url = `http://${weightStore}/weights/${name}?bytes=${bytes}`;
    while (!signal.aborted) {
      if (await readWeights(url, signal)) return;
      await this.#clock.sleep(loadRetryMs, signal);
    }
  }
}

/** Fetches weights once; false when the call fails or is not answered 200. */
async function readWeights(
  url: string,
  signal: AbortSignal,
): Promise<boolean> {
  try {
    const answer = await request(url, { signal });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}

function formatKey({ model, version }: LoadedModel): string {
  return `${model}@${version}`;
}

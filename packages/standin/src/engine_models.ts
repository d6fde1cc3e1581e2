/**
 * The models an engine holds, and the orders that change them.
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

const keptOrders = 1_000;
const loadRetryMs = 200;

/** One order as it arrived. */
export interface OrderRecord {
  /** Wall time in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly order: Order;
  /** Highest fencing number known before the order. */
  readonly known: number;
  readonly tookEffect: boolean;
}

/** Role and models of one engine. */
export class EngineModels implements Disposable {
  readonly #clock: Clock;
  readonly #settings: EngineSettings;
  readonly #loads = new Map<string, AbortController>();
  #held: readonly LoadedModel[];
  #role: EngineRole = "serve";
  #fencing = 0;
  #records: OrderRecord[] = [];

  private constructor(clock: Clock, settings: EngineSettings) {
    this.#clock = clock;
    this.#settings = settings;
    this.#held = settings.models;
  }

  static create(clock: Clock, settings: EngineSettings): EngineModels {
    return new EngineModels(clock, settings);
  }

  get state(): EngineState {
    return {
      fencing: this.#fencing,
      role: this.#role,
      models: this.#held,
      loading: [...this.#loads.keys()],
    };
  }

  get records(): readonly OrderRecord[] {
    return this.#records;
  }

  /** Why a request for a model cannot be taken, or undefined. */
  findRefusal(model: string, adapter: string | undefined): string | undefined {
    if (this.#role === "drain") return "draining";
    const held = this.#held.filter((other) => other.model === model);
    if (held.length === 0) return `model "${model}" is not loaded`;
    if (adapter === undefined) return undefined;
    return held.some((other) => other.adapters.includes(adapter))
      ? undefined
      : `adapter "${adapter}" is not loaded`;
  }

  /** Carries out an order; false when its fencing number is old. */
  apply(order: Order): boolean {
    const known = this.#fencing;
    const tookEffect = order.fencing >= known || !this.#settings.checksFencing;
    this.#records.push({
      at: this.#clock.wallTime(),
      order,
      known,
      tookEffect,
    });
    if (this.#records.length > keptOrders) this.#records.shift();
    if (!tookEffect) return false;
    this.#fencing = Math.max(known, order.fencing);
    this.#role = order.role;
    this.#applyModels(order.models);
    return true;
  }

  dispose(): void {
    for (const load of this.#loads.values()) load.abort();
    this.#loads.clear();
  }

  #applyModels(wanted: readonly LoadedModel[]): void {
    const keys = new Set(wanted.map(formatKey));
    for (const [key, load] of this.#loads) {
      if (keys.has(key)) continue;
      load.abort();
      this.#loads.delete(key);
    }
    const heldKeys = new Set(this.#held.map(formatKey));
    // An older version serves until the wanted one is loaded.
    this.#held = this.#held.flatMap((held) => {
      const same = wanted.find((other) => formatKey(other) === formatKey(held));
      if (same !== undefined) return [same];
      const isReplaced = wanted.some((other) =>
        other.model === held.model && !heldKeys.has(formatKey(other))
      );
      return isReplaced ? [held] : [];
    });
    for (const model of wanted) {
      const key = formatKey(model);
      if (heldKeys.has(key)) continue;
      this.#loads.get(key)?.abort();
      this.#startLoad(key, model);
    }
  }

  #startLoad(key: string, model: LoadedModel): void {
    const load = new AbortController();
    this.#loads.set(key, load);
    void this.#runLoad(model, load.signal).then(() => {
      if (load.signal.aborted) return;
      this.#loads.delete(key);
      this.#held = [
        ...this.#held.filter((other) => other.model !== model.model),
        model,
      ];
    });
  }

  /** Fetches weights until the store has sent them. */
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

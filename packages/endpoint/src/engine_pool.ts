/**
 * Engine clients by endpoint, created on first use.
 *
 * A client belongs to one name at one address: when a host is replaced under the
 * same name, the client of the old address is disposed.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import { HttpEngine, type HttpEngineOptions } from "./http_engine.ts";

interface PooledEngine {
  readonly address: string;
  readonly engine: HttpEngine;
}

/** Options of all clients of a pool. */
export type EnginePoolOptions = Omit<HttpEngineOptions, "endpoint" | "clock">;

/** Owner of the HTTP clients of all engines. */
export class EnginePool {
  readonly #clock: Clock;
  readonly #options: EnginePoolOptions;
  readonly #engines = new Map<string, PooledEngine>();

  private constructor(clock: Clock, options: EnginePoolOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  static create(clock: Clock, options: EnginePoolOptions = {}): EnginePool {
    return new EnginePool(clock, options);
  }

  /** Finds the client of an endpoint, or creates it. */
  find(endpoint: Pick<Endpoint, "name" | "address">): HttpEngine {
    const pooled = this.#engines.get(endpoint.name);
    if (pooled?.address === endpoint.address) return pooled.engine;
    pooled?.engine.dispose();
    const engine = HttpEngine.create({
      ...this.#options,
      endpoint,
      clock: this.#clock,
    });
    this.#engines.set(endpoint.name, { address: endpoint.address, engine });
    return engine;
  }

  /** Disposes the clients of endpoints that are not listed. */
  apply(endpoints: readonly Pick<Endpoint, "name">[]): void {
    const names = new Set(endpoints.map((endpoint) => endpoint.name));
    for (const [name, { engine }] of this.#engines) {
      if (names.has(name)) continue;
      engine.dispose();
      this.#engines.delete(name);
    }
  }

  dispose(): void {
    this.apply([]);
  }
}

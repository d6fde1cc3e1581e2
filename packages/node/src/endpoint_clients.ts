/**
 * Clients of the endpoints in force, created on first use.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  Configuration,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Engine } from "@almondcrank/endpoint/engine.ts";
import { EnginePool } from "@almondcrank/endpoint/engine_pool.ts";
import { HttpPlainEndpoint } from "@almondcrank/endpoint/http_plain_endpoint.ts";

interface PooledPlainClient {
  readonly address: string;
  readonly client: HttpPlainEndpoint;
}

/** Creates, caches and disposes the endpoints' clients. */
export class EndpointClients implements Disposable {
  readonly #clock: Clock;
  readonly #engines: EnginePool;
  readonly #plain = new Map<string, PooledPlainClient>();
  #kinds: ReadonlyMap<string, "model" | "plain"> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#engines = EnginePool.create(clock);
  }

  static create(clock: Clock): EndpointClients {
    return new EndpointClients(clock);
  }

  /** Kind of the endpoint's service; `plain` when the service is unknown. */
  findKind(endpoint: Endpoint): "model" | "plain" {
    return this.#kinds.get(endpoint.service) ?? "plain";
  }

  /** Client of a model engine. */
  findEngine(endpoint: Endpoint): Engine {
    return this.#engines.find(endpoint);
  }

  /** Client of a plain endpoint, created anew when its address has changed. */
  findPlain(endpoint: Endpoint): HttpPlainEndpoint {
    const { name, address } = endpoint;
    const pooled = this.#plain.get(name);
    if (pooled?.address === address) return pooled.client;
    pooled?.client.dispose();
    const client = HttpPlainEndpoint.create({
      name,
      address,
      clock: this.#clock,
    });
    this.#plain.set(name, { address, client });
    return client;
  }

  /**
   * Applies a configuration: disposes the clients of endpoints that it lacks.
   */
  apply(configuration: Configuration): void {
    const { services, endpoints } = configuration;
    this.#kinds = new Map(services.map(({ name, kind }) => [name, kind]));
    this.#engines.apply(endpoints);
    const names = new Set(endpoints.map(({ name }) => name));
    for (const [name, { client }] of this.#plain) {
      if (names.has(name)) continue;
      client.dispose();
      this.#plain.delete(name);
    }
  }

  dispose(): void {
    this.#engines.dispose();
    for (const { client } of this.#plain.values()) client.dispose();
    this.#plain.clear();
  }
}

/**
 * Clients of the endpoints in force, created on first use.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  Configuration,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { ClientPool } from "@almondcrank/endpoint/client_pool.ts";
import type { Engine } from "@almondcrank/endpoint/engine.ts";
import { HttpEngine } from "@almondcrank/endpoint/http_engine.ts";
import { HttpPlainEndpoint } from "@almondcrank/endpoint/http_plain_endpoint.ts";

/** Creates, caches and closes the endpoints' clients. */
export class EndpointClients implements Disposable {
  readonly #engines: ClientPool<HttpEngine>;
  readonly #plain: ClientPool<HttpPlainEndpoint>;
  #kinds: ReadonlyMap<string, "model" | "plain"> = new Map();

  private constructor(clock: Clock) {
    this.#engines = ClientPool.create((endpoint) =>
      HttpEngine.create({ endpoint, clock })
    );
    this.#plain = ClientPool.create(({ name, address }) =>
      HttpPlainEndpoint.create({ name, address, clock })
    );
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

  /** Client of a plain endpoint. */
  findPlain(endpoint: Endpoint): HttpPlainEndpoint {
    return this.#plain.find(endpoint);
  }

  /**
   * Applies a configuration: clients of endpoints that it lacks close after their
   * running calls.
   */
  apply(configuration: Configuration): void {
    const { services, endpoints } = configuration;
    this.#kinds = new Map(services.map(({ name, kind }) => [name, kind]));
    this.#engines.apply(endpoints);
    this.#plain.apply(endpoints);
  }

  dispose(): void {
    this.#engines.dispose();
    this.#plain.dispose();
  }
}

/**
 * Clients by endpoint, created on first use.
 *
 * A client belongs to one name at one address. When its endpoint is dropped, or
 * moves to another address, it closes after its running calls: those are answered
 * by the host that they were sent to.
 */

import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";

/** Client that a pool owns. */
export interface PooledClient extends Disposable {
  /** Closes the client once its running calls have ended. */
  close(): Promise<void>;
  /** Closes the client at once; running calls fail. */
  dispose(): void;
}

/** Name and address of an endpoint. */
export type ClientEndpoint = Pick<Endpoint, "name" | "address">;

interface ClientAtAddress<T> {
  readonly address: string;
  readonly client: T;
}

/** Owner of the clients of all endpoints of one kind. */
export class ClientPool<T extends PooledClient> implements Disposable {
  readonly #create: (endpoint: ClientEndpoint) => T;
  readonly #clients = new Map<string, ClientAtAddress<T>>();
  /** Clients that close after their running calls. */
  readonly #closing = new Set<T>();

  private constructor(create: (endpoint: ClientEndpoint) => T) {
    this.#create = create;
  }

  static create<T extends PooledClient>(
    create: (endpoint: ClientEndpoint) => T,
  ): ClientPool<T> {
    return new ClientPool(create);
  }

  /** Finds the client of an endpoint, or creates it. */
  find(endpoint: ClientEndpoint): T {
    const { name, address } = endpoint;
    const pooled = this.#clients.get(name);
    if (pooled?.address === address) return pooled.client;
    if (pooled !== undefined) void this.#close(pooled.client);
    const client = this.#create(endpoint);
    this.#clients.set(name, { address, client });
    return client;
  }

  /** Closes the clients of endpoints that are not listed. */
  apply(endpoints: readonly Pick<Endpoint, "name">[]): void {
    const names = new Set(endpoints.map(({ name }) => name));
    for (const [name, { client }] of this.#clients) {
      if (names.has(name)) continue;
      this.#clients.delete(name);
      void this.#close(client);
    }
  }

  dispose(): void {
    for (const { client } of this.#clients.values()) client.dispose();
    this.#clients.clear();
    for (const client of this.#closing) client.dispose();
  }

  async #close(client: T): Promise<void> {
    this.#closing.add(client);
    await client.close();
    this.#closing.delete(client);
  }
}

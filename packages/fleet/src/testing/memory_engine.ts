/**
 * In-memory engine for tests that takes orders; loads end when a test says so.
 */

import { type Either, Left, Right } from "purify-ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  Engine,
  EngineState,
  LoadedModel,
  Order,
} from "@almondcrank/endpoint/engine.ts";

/** Engine that accepts every order and has no other calls. */
export class MemoryEngine implements Engine {
  readonly name: string;
  readonly orders: Order[] = [];
  /** Calls of `readState`. */
  reads = 0;
  /** Whether orders and reads succeed. */
  isReachable = true;
  state: EngineState = { fencing: 0, role: "serve", models: [], loading: [] };
  #wanted: readonly LoadedModel[] = [];

  private constructor(name: string) {
    this.name = name;
  }

  static create(name: string): MemoryEngine {
    return new MemoryEngine(name);
  }

  sendOrder(order: Order): Promise<Either<EndpointError, EngineState>> {
    if (!this.isReachable) return Promise.resolve(Left(this.#createError()));
    this.orders.push(order);
    this.#wanted = order.models;
    const loading = order.models
      .filter((model) => !this.#isLoaded(model))
      .map(({ model, version }) => `${model}@${version}`);
    const models = loading.length === 0 ? order.models : this.state.models;
    const { fencing, role } = order;
    this.state = { fencing, role, models, loading };
    return Promise.resolve(Right(this.state));
  }

  readState(): Promise<Either<EndpointError, EngineState>> {
    this.reads += 1;
    if (!this.isReachable) return Promise.resolve(Left(this.#createError()));
    return Promise.resolve(Right(this.state));
  }

  /** Ends the loads under way. */
  finishLoading(): void {
    if (this.state.loading.length === 0) return;
    this.state = { ...this.state, models: this.#wanted, loading: [] };
  }

  generate(): never {
    throw new Error("this engine only takes orders");
  }

  readLoad(): never {
    throw new Error("this engine only takes orders");
  }

  readCacheEvents(): never {
    throw new Error("this engine only takes orders");
  }

  exportCache(): never {
    throw new Error("this engine only takes orders");
  }

  importCache(): never {
    throw new Error("this engine only takes orders");
  }

  #isLoaded(wanted: LoadedModel): boolean {
    return this.state.models.some(({ model, version }) =>
      model === wanted.model && version === wanted.version
    );
  }

  #createError(): EndpointError {
    const reason = "injected fault";
    const endpoint = this.name;
    return EndpointError.create({ kind: "unreachable", endpoint, reason });
  }
}

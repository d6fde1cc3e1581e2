/**
 * Sends orders to engines under a lease.
 *
 * An order is the whole desired state, so repeating it is safe. The lease is
 * checked when the order is passed to the engine's client and again right before
 * it leaves: the process may be paused while a connection is made. An engine that checks fencing tokens refuses late orders of
 * earlier holders. For an engine that does not, a new holder first waits until
 * no order of an earlier holder can still arrive, then reads the engine's state
 * and sends an order only if the state differs.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  Engine,
  EngineState,
  LoadedModel,
  Order,
} from "@almondcrank/endpoint/engine.ts";
import type { Lease } from "./lease.ts";
import { OrderError, type OrderErrorDetail } from "./order_error.ts";

/** Counter of orders, labelled `outcome`. */
export const ordersCounter = "almondcrank_orders_total";

/**
 * Longest time from sending an order to its effect, in milliseconds. The
 * engine's client must close an order's connection within this time.
 */
export const defaultOrderTimeoutMs = 5_000;

/** Role and models that an engine should have. */
export type DesiredState = Pick<Order, "role" | "models">;

/** Dependencies and settings of an order sender. */
export interface OrderSenderOptions {
  readonly lease: Lease;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Name of this process in orders. */
  readonly holder: string;
  /** `defaultOrderTimeoutMs` if left out. */
  readonly orderTimeoutMs?: number;
}

/** An endpoint of the configuration and the client of its engine. */
export interface OrderTarget {
  readonly engine: Engine;
  readonly endpoint: Endpoint;
}

/** Sender of orders under one lease. */
export class OrderSender {
  readonly #options: OrderSenderOptions;
  readonly #timeoutMs: number;
  /** Fencing token under which each endpoint's state was last read, by name. */
  readonly #readBackFencing = new Map<string, number>();

  private constructor(options: OrderSenderOptions) {
    this.#options = options;
    this.#timeoutMs = options.orderTimeoutMs ?? defaultOrderTimeoutMs;
  }

  static create(options: OrderSenderOptions): OrderSender {
    return new OrderSender(options);
  }

  /**
   * Brings an engine to its desired state.
   *
   * @returns The engine's state after the order, or as read if it was already
   * the desired one.
   */
  async send(
    target: OrderTarget,
    desired: DesiredState,
  ): Promise<Either<OrderError, EngineState>> {
    const result = await this.#run(target, desired);
    const outcome = result.caseOf<string>({
      Left: ({ detail }) =>
        detail.kind === "endpoint" ? detail.cause.kind : detail.kind,
      Right: () => "accepted",
    });
    this.#options.metrics.count(ordersCounter, { outcome });
    result.ifLeft(({ detail }) => this.#handleStaleFencing(detail));
    return result;
  }

  #handleStaleFencing(detail: OrderErrorDetail): void {
    if (detail.kind !== "endpoint") return;
    const endpointDetail = detail.cause.detail;
    if (endpointDetail.kind !== "stale_fencing") return;
    this.#options.lease.markSuperseded(endpointDetail.known);
  }

  #run(
    target: OrderTarget,
    desired: DesiredState,
  ): Promise<Either<OrderError, EngineState>> {
    return this.#checkMaySend(target.endpoint).caseOf({
      Left: (error) => Promise.resolve(Left(error)),
      Right: (fencing) =>
        this.#requiresReadBack(target.endpoint, fencing)
          ? this.#readAndSend(target, desired)
          : this.#sendOrder(target, desired),
    });
  }

  /** Reads the engine's state and sends the order only if it differs. */
  async #readAndSend(
    target: OrderTarget,
    desired: DesiredState,
  ): Promise<Either<OrderError, EngineState>> {
    const fencing = this.#options.lease.checkValid();
    const read = await this.#waitAnswer(
      target.endpoint,
      target.engine.readState(),
    );
    return read.caseOf<
      | Either<OrderError, EngineState>
      | Promise<Either<OrderError, EngineState>>
    >({
      Left: (error) => Left(error),
      Right: (state) => {
        fencing.ifRight((fencing) =>
          this.#readBackFencing.set(target.endpoint.name, fencing)
        );
        return isInState(state, desired)
          ? Right(state)
          : this.#sendOrder(target, desired);
      },
    });
  }

  /** Checks the lease and sends the order in one turn of the event loop. */
  #sendOrder(
    { engine, endpoint }: OrderTarget,
    desired: DesiredState,
  ): Promise<Either<OrderError, EngineState>> {
    const { holder } = this.#options;
    return this.#checkMaySend(endpoint).caseOf({
      Left: (error) => Promise.resolve(Left(error)),
      Right: (fencing) => {
        const { role, models } = desired;
        const answer = engine.sendOrder(
          { fencing, holder, role, models },
          () => this.#isStillHeld(fencing),
        );
        return this.#waitAnswer(endpoint, answer);
      },
    });
  }

  #isStillHeld(fencing: number): boolean {
    return this.#options.lease.checkValid().toMaybe().extract() === fencing;
  }

  #checkMaySend(endpoint: Endpoint): Either<OrderError, number> {
    const { lease, clock } = this.#options;
    return lease.checkValid()
      .mapLeft((cause) => OrderError.create({ kind: "lease", cause }))
      .chain((fencing) => {
        const since = lease.acquiredAt ?? clock.now();
        const remainingMs = since + this.#timeoutMs - clock.now();
        if (endpoint.checksFencing || remainingMs <= 0) return Right(fencing);
        return Left(OrderError.create({
          kind: "waiting_out",
          endpoint: endpoint.name,
          remainingMs,
        }));
      });
  }

  #requiresReadBack(
    { name, checksFencing }: Endpoint,
    fencing: number,
  ): boolean {
    return !checksFencing && this.#readBackFencing.get(name) !== fencing;
  }

  async #waitAnswer(
    endpoint: Endpoint,
    answer: Promise<Either<EndpointError, EngineState>>,
  ): Promise<Either<OrderError, EngineState>> {
    const timeoutMs = this.#timeoutMs;
    const answered = new AbortController();
    const timeout = this.#options.clock.sleep(timeoutMs, answered.signal)
      .then(() =>
        Left(OrderError.create({
          kind: "timeout",
          endpoint: endpoint.name,
          timeoutMs,
        }))
      );
    const result = await Promise.race([
      answer.then((answer) =>
        answer.mapLeft((cause) =>
          OrderError.create({ kind: "endpoint", cause })
        )
      ),
      timeout,
    ]);
    answered.abort();
    return result;
  }
}

/**
 * Checks whether an engine is in its desired state, with no loads under way.
 */
export function isInState(state: EngineState, desired: DesiredState): boolean {
  return state.role === desired.role && state.loading.length === 0 &&
    formatModels(state.models) === formatModels(desired.models);
}

/** Formats models so that equal sets give equal texts, in whatever order. */
export function formatModels(models: readonly LoadedModel[]): string {
  return models
    .map(({ model, version, adapters }) =>
      JSON.stringify([model, version, [...adapters].sort()])
    )
    .sort().join();
}

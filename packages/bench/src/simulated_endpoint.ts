/**
 * Simulates an endpoint of a plain service with a fixed number of slots.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  PlainAnswer,
  PlainCall,
  PlainEndpoint,
} from "@almondcrank/endpoint/plain_service.ts";

const noBytes = new Uint8Array();

/** Options of a simulated endpoint. */
export interface SimulatedEndpointOptions {
  readonly name: string;
  readonly clock: ManualClock;
  /** Number of calls that run at the same time. */
  readonly slots: number;
  /** Returns the service time of the next call, in milliseconds. */
  readonly nextServiceMs: () => number;
}

/** Runs calls in its slots in order of arrival. */
export class SimulatedEndpoint implements PlainEndpoint {
  readonly name: string;
  /** Time that slots spent on cancelled calls, in milliseconds. */
  cancelledMs = 0;
  /** Number of calls received. */
  sends = 0;
  readonly #options: SimulatedEndpointOptions;
  readonly #queue: (() => void)[] = [];
  #running = 0;

  private constructor(options: SimulatedEndpointOptions) {
    this.name = options.name;
    this.#options = options;
  }

  static create(options: SimulatedEndpointOptions): SimulatedEndpoint {
    return new SimulatedEndpoint(options);
  }

  get running(): number {
    return this.#running;
  }

  get queued(): number {
    return this.#queue.length;
  }

  async call(
    _call: PlainCall,
    signal: AbortSignal,
  ): Promise<Either<EndpointError, PlainAnswer>> {
    const { clock, slots, nextServiceMs } = this.#options;
    this.sends++;
    if (this.#running < slots) this.#running++;
    else await new Promise<void>((resolve) => this.#queue.push(resolve));
    const started = clock.now();
    if (!signal.aborted) await clock.sleep(nextServiceMs(), signal);
    const next = this.#queue.shift();
    if (next === undefined) this.#running--;
    else next();
    if (!signal.aborted) {
      return Right({ status: 200, contentType: undefined, body: noBytes });
    }
    this.cancelledMs += clock.now() - started;
    const reason = "cancelled";
    const endpoint = this.name;
    return Left(
      EndpointError.create({ kind: "connection_lost", endpoint, reason }),
    );
  }

  readLoad(): never {
    throw new Error("the load of a simulated endpoint is read directly");
  }
}

/** Creates the configuration of a simulated endpoint. */
export function createEndpoint(name: string, service: string): Endpoint {
  return {
    name,
    service,
    address: "127.0.0.1:1",
    host: name,
    zone: "z",
    machineClass: "m",
    market: "on_demand",
    checksFencing: false,
  };
}

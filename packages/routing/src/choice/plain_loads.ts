/**
 * Latest load reports of plain endpoints, with their present age.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import type { PlainLoadSource, ReportedLoad } from "./plain_chooser.ts";

/** Age beyond which a report is dropped, in milliseconds. */
const maxAgeMs = 10_000;

/** Options of the load reports. */
export interface PlainLoadsOptions {
  readonly clock: Clock;
  /** Whether an endpoint is about to leave. */
  readonly isLeaving: (endpoint: string) => boolean;
  /** Limits of calls that endpoints state; none are kept by default. */
  readonly limits?: EndpointLimits;
}

interface Entry {
  readonly load: EndpointLoad;
  /** Monotonic time to which the load refers. */
  readonly at: number;
}

/** Keeps the latest report of each endpoint. */
export class PlainLoads implements PlainLoadSource {
  readonly #options: PlainLoadsOptions;
  readonly #entries = new Map<string, Entry>();

  private constructor(options: PlainLoadsOptions) {
    this.#options = options;
  }

  static create(options: PlainLoadsOptions): PlainLoads {
    return new PlainLoads(options);
  }

  /** Records a report unless a newer one is known. */
  record(load: EndpointLoad): void {
    const at = this.#options.clock.now() - load.ageMs;
    const known = this.#entries.get(load.endpoint);
    if (known !== undefined && known.at > at) return;
    this.#entries.set(load.endpoint, { load, at });
    this.#options.limits?.record(load);
  }

  /** Finds the latest report of an endpoint; undefined when it is too old. */
  find(endpoint: string): ReportedLoad | undefined {
    const entry = this.#entries.get(endpoint);
    if (entry === undefined) return undefined;
    const ageMs = this.#options.clock.now() - entry.at;
    if (ageMs > maxAgeMs) {
      this.#entries.delete(endpoint);
      return undefined;
    }
    const { running, queued, reachable } = entry.load;
    return { running, queued, reachable, ageMs };
  }

  takesCalls(endpoint: string): boolean {
    const { isLeaving, limits } = this.#options;
    return !isLeaving(endpoint) && (limits?.isOpen(endpoint) ?? true);
  }

  recordSend(endpoint: string): void {
    this.#options.limits?.charge(endpoint);
  }
}

/**
 * Load and state of all replicas as this node knows them.
 *
 * Updated from the load reports of the pollers and from the outcomes of this node's
 * own attempts. A leaving replica gets no new work and stays leaving until the
 * configuration replaces it, whatever later reports or lists say.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  EndpointLoad,
  LeavingEndpoint,
} from "@almondcrank/membership/membership.ts";
import type { EndpointLimits } from "../limits/endpoint_limits.ts";
import { type AssumedLoad, ReplicaLoad } from "./replica_load.ts";

const defaultAssumedLoad: AssumedLoad = {
  slots: 8,
  prefillTokensPerSecond: 4_000,
  betweenTokensMs: 25,
};

/** Time for which a reclaim in a zone counts as recent, in milliseconds. */
const recentReclaimMs = 60_000;
/** Weight of one request in the moving mean of output tokens. */
const meanOutputWeight = 0.02;
const defaultMeanOutputTokens = 128;

/** Options of a load table. */
export interface LoadTableOptions {
  readonly clock: Clock;
  /** Load of replicas that have not reported yet. */
  readonly assumed?: AssumedLoad;
  /** Limits of requests that endpoints state; none are kept by default. */
  readonly limits?: EndpointLimits;
}

/** Loads of all endpoints this node may send to. */
export class LoadTable {
  readonly #clock: Clock;
  readonly #assumed: AssumedLoad;
  readonly #limits: EndpointLimits | undefined;
  readonly #replicas = new Map<string, ReplicaLoad>();
  readonly #zones = new Map<string, string>();
  /** Monotonic time of the last reclaim by zone, in milliseconds. */
  readonly #lastReclaims = new Map<string, number>();
  readonly #leaving = Emitter.create<LeavingEndpoint>();
  #meanOutputTokens = defaultMeanOutputTokens;

  private constructor(options: LoadTableOptions) {
    this.#clock = options.clock;
    this.#assumed = options.assumed ?? defaultAssumedLoad;
    this.#limits = options.limits;
  }

  static create(options: LoadTableOptions): LoadTable {
    return new LoadTable(options);
  }

  /** Fires once for each endpoint that becomes known to be leaving. */
  get onLeaving(): Event<LeavingEndpoint> {
    return this.#leaving.event;
  }

  /** Moving mean of the output of finished requests, in tokens. */
  get meanOutputTokens(): number {
    return this.#meanOutputTokens;
  }

  /** Sets the known endpoints; the state of one at a new address is reset. */
  apply(endpoints: readonly Endpoint[]): void {
    const names = new Set<string>();
    for (const endpoint of endpoints) {
      names.add(endpoint.name);
      this.#zones.set(endpoint.name, endpoint.zone);
      const known = this.#replicas.get(endpoint.name);
      if (known?.address === endpoint.address) continue;
      this.#replicas.set(
        endpoint.name,
        ReplicaLoad.create(endpoint, this.#assumed),
      );
    }
    for (const name of [...this.#replicas.keys()]) {
      if (names.has(name)) continue;
      this.#replicas.delete(name);
      this.#zones.delete(name);
    }
  }

  /** Finds the load of an endpoint; undefined when it is not configured. */
  find(endpoint: string): ReplicaLoad | undefined {
    return this.#replicas.get(endpoint);
  }

  /** Whether an endpoint takes a request now: it is usable and below its limit. */
  takesRequests(endpoint: string): boolean {
    const isUsable = this.find(endpoint)?.isUsable(this.#clock.now()) ?? false;
    return isUsable && (this.#limits?.isOpen(endpoint) ?? true);
  }

  /** Records a load report of a poller. */
  record(load: EndpointLoad): void {
    const replica = this.#replicas.get(load.endpoint);
    if (replica === undefined) return;
    this.#limits?.record(load);
    const now = this.#clock.now();
    if (load.reachable) replica.record(load, now - load.ageMs);
    else if (replica.isUsable(now)) {
      replica.recordFailure("unreachable", now);
    }
  }

  /** Marks an endpoint as leaving; its host is gone in `remainingMs`. */
  markLeaving(endpoint: string, remainingMs: number): void {
    const now = this.#clock.now();
    const replica = this.#replicas.get(endpoint);
    if (replica === undefined) return;
    if (!replica.markLeaving(now + remainingMs)) return;
    const zone = this.#zones.get(endpoint);
    if (zone !== undefined) this.#lastReclaims.set(zone, now);
    this.#leaving.fire({ endpoint, remainingMs });
  }

  /** Marks an endpoint as drained: it holds no work and gets none. */
  markDrained(endpoint: string): void {
    this.#replicas.get(endpoint)?.markDrained();
  }

  /** Lists the leaving endpoints. */
  listLeaving(): readonly LeavingEndpoint[] {
    const now = this.#clock.now();
    const leaving: LeavingEndpoint[] = [];
    for (const { name, state } of this.#replicas.values()) {
      if (state.kind !== "leaving") continue;
      const remainingMs = Math.max(0, state.goneAt - now);
      leaving.push({ endpoint: name, remainingMs });
    }
    return leaving;
  }

  /** Whether a host of the zone was reclaimed within the last minute. */
  isReclaiming(zone: string): boolean {
    const at = this.#lastReclaims.get(zone);
    return at !== undefined && this.#clock.now() - at < recentReclaimMs;
  }

  recordSend(endpoint: string, uncachedTokens: number): void {
    const now = this.#clock.now();
    this.#limits?.charge(endpoint);
    this.#replicas.get(endpoint)?.recordSend(uncachedTokens, now);
  }

  recordEnd(endpoint: string): void {
    this.#replicas.get(endpoint)?.recordEnd(this.#clock.now());
  }

  /** Records the total output of a finished request, in tokens. */
  recordOutput(tokens: number): void {
    this.#meanOutputTokens += meanOutputWeight *
      (tokens - this.#meanOutputTokens);
  }

  /** @param excessMs Observed wait for the first token minus the predicted one. */
  recordFirstToken(endpoint: string, excessMs: number): void {
    const now = this.#clock.now();
    this.#replicas.get(endpoint)?.recordFirstToken(excessMs, now);
  }

  recordTokenGap(endpoint: string, gapMs: number): void {
    const now = this.#clock.now();
    this.#replicas.get(endpoint)?.recordTokenGap(gapMs, now);
  }

  /** Records a failed attempt; a declined one says nothing about health. */
  recordFailure(error: EndpointError): void {
    const replica = this.#replicas.get(error.detail.endpoint);
    const now = this.#clock.now();
    switch (error.kind) {
      case "unreachable":
        return replica?.recordFailure("unreachable", now);
      case "connection_lost":
      case "timeout":
      case "bad_answer":
        return replica?.recordFailure("suspect", now);
      case "declined":
      case "withheld":
      case "stale_fencing":
        return;
    }
  }
}

/**
 * Chooses the endpoint of a plain service for one call.
 *
 * Reported load lags, so calls this process started after a report are added to
 * it. Of two endpoints drawn at random the one with the shorter expected wait is
 * taken, so that processes with the same reports do not all choose the same one.
 * The expected wait is the number of calls ahead times the endpoint's recent
 * duration of a call, which steers away from an endpoint that has slowed down;
 * without new calls that measurement fades towards the service's average.
 */

import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Random } from "@almondcrank/common/random.ts";

const candidates = 2;
const avoidMs = 1_000;
const durationWeight = 0.2;
const shortestDurationMs = 1;
const forgetHalfLifeMs = 5_000;

/** Load of an endpoint as last reported. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  /** Age of the report in milliseconds. */
  readonly ageMs: number;
  readonly reachable: boolean;
}

/** Where reports come from; an endpoint without a report is taken as idle. */
export interface PlainLoadSource {
  find(endpoint: string): ReportedLoad | undefined;
  /** Whether the endpoint is about to leave and gets no new work. */
  isLeaving(endpoint: string): boolean;
}

/** A source without reports. */
export const noLoadReports: PlainLoadSource = {
  find: () => undefined,
  isLeaving: () => false,
};

/** How a call ended, as far as the endpoint's state is concerned. */
export type CallOutcome = "answered" | "failed" | "cancelled";

/** One call in flight. */
export interface InFlightCall {
  end(result: CallOutcome): void;
}

interface EndpointState {
  readonly starts: Map<number, number>;
  /** Moving average; undefined before the first call ended. */
  durationMs: number | undefined;
  measuredAt: number;
  avoidedUntil: number;
}

/** Options of the choice. */
export interface PlainChooserOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly loads: PlainLoadSource;
}

/** Calls in flight of this process to one service and the choice over them. */
export class PlainChooser {
  readonly #options: PlainChooserOptions;
  readonly #states = new Map<string, EndpointState>();
  #known: readonly Endpoint[] = [];
  #nextId = 0;
  #typicalMs = shortestDurationMs;

  private constructor(options: PlainChooserOptions) {
    this.#options = options;
  }

  static create(options: PlainChooserOptions): PlainChooser {
    return new PlainChooser(options);
  }

  /**
   * Chooses among endpoints not yet `tried`; undefined when none is left.
   * Endpoints that failed a moment ago are taken only when all others are out.
   */
  choose(
    endpoints: readonly Endpoint[],
    tried: ReadonlySet<string>,
  ): Endpoint | undefined {
    if (endpoints !== this.#known) this.#removeOthers(endpoints);
    const left = endpoints.filter((endpoint) =>
      !tried.has(endpoint.name) &&
      !this.#options.loads.isLeaving(endpoint.name)
    );
    const healthy = left.filter((endpoint) => !this.#isAvoided(endpoint.name));
    return this.#chooseShortest(healthy.length > 0 ? healthy : left);
  }

  /** Records a call as in flight until it ends. */
  start(endpoint: string): InFlightCall {
    const state = this.#readState(endpoint);
    const id = this.#nextId++;
    const started = this.#options.clock.now();
    state.starts.set(id, started);
    return {
      end: (result) => {
        if (!state.starts.delete(id)) return;
        this.#recordEnd(state, result, started);
      },
    };
  }

  /** Calls of this process in flight at an endpoint. */
  readInFlight(endpoint: string): number {
    return this.#states.get(endpoint)?.starts.size ?? 0;
  }

  #recordEnd(state: EndpointState, result: CallOutcome, started: number): void {
    const now = this.#options.clock.now();
    const elapsed = now - started;
    switch (result) {
      case "answered":
        state.avoidedUntil = 0;
        state.durationMs = computeAverage(state.durationMs, elapsed);
        state.measuredAt = now;
        this.#typicalMs = computeAverage(this.#typicalMs, elapsed);
        return;
      case "failed":
        state.avoidedUntil = now + avoidMs;
        return;
      case "cancelled":
        state.durationMs = Math.max(state.durationMs ?? 0, elapsed);
        state.measuredAt = now;
        return;
    }
  }

  #chooseShortest(endpoints: readonly Endpoint[]): Endpoint | undefined {
    const pool = [...endpoints];
    let best: Endpoint | undefined;
    let bestWait = Infinity;
    for (let drawn = 0; drawn < candidates && pool.length > 0; drawn++) {
      const at = this.#options.random.nextInt(pool.length);
      const [endpoint] = pool.splice(at, 1);
      if (endpoint === undefined) break;
      const wait = this.#computeWait(endpoint.name);
      if (wait < bestWait) {
        best = endpoint;
        bestWait = wait;
      }
    }
    return best;
  }

  #computeWait(endpoint: string): number {
    const state = this.#states.get(endpoint);
    const report = this.#options.loads.find(endpoint);
    const durationMs = this.#computeDuration(state);
    return (1 + this.#computeAhead(state, report)) * durationMs;
  }

  /** Drops the state of endpoints that are no longer configured. */
  #removeOthers(endpoints: readonly Endpoint[]): void {
    this.#known = endpoints;
    const names = new Set(endpoints.map(({ name }) => name));
    for (const name of this.#states.keys()) {
      if (!names.has(name)) this.#states.delete(name);
    }
  }

  #computeDuration(state: EndpointState | undefined): number {
    const typical = Math.max(shortestDurationMs, this.#typicalMs);
    if (state?.durationMs === undefined) return typical;
    const age = this.#options.clock.now() - state.measuredAt;
    const weight = 0.5 ** (age / forgetHalfLifeMs);
    const measured = Math.max(shortestDurationMs, state.durationMs);
    return typical + weight * (measured - typical);
  }

  #computeAhead(
    state: EndpointState | undefined,
    report: ReportedLoad | undefined,
  ): number {
    const inFlight = state?.starts.size ?? 0;
    if (report === undefined) return inFlight;
    const reportedAt = this.#options.clock.now() - report.ageMs;
    let since = 0;
    for (const started of state?.starts.values() ?? []) {
      if (started >= reportedAt) since++;
    }
    return Math.max(inFlight, report.running + report.queued + since);
  }

  #isAvoided(endpoint: string): boolean {
    if (this.#options.loads.find(endpoint)?.reachable === false) return true;
    const until = this.#states.get(endpoint)?.avoidedUntil ?? 0;
    return until > this.#options.clock.now();
  }

  #readState(endpoint: string): EndpointState {
    let state = this.#states.get(endpoint);
    if (state === undefined) {
      state = {
        starts: new Map(),
        durationMs: undefined,
        measuredAt: 0,
        avoidedUntil: 0,
      };
      this.#states.set(endpoint, state);
    }
    return state;
  }
}

function computeAverage(average: number | undefined, sample: number): number {
  if (average === undefined) return sample;
  return average + durationWeight * (sample - average);
}

/**
 * Chooses the endpoint of a plain service for one call.
 *
 * Reported load lags, so calls that this process started after a report are added
 * to it. The choice is the power of two choices: of two endpoints drawn at random,
 * the one with the shorter expected wait is taken, so that processes with the same
 * reports do not all choose the same endpoint. The expected wait is the number of
 * calls ahead times the endpoint's recent call duration, which avoids an endpoint
 * that has slowed down; without new calls the measured duration decays towards the
 * service's mean.
 */

import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Random } from "@almondcrank/common/random.ts";

/** Endpoints drawn for one choice. */
const candidateCount = 2;
/** Time for which an endpoint is avoided after a failed call. */
const avoidMs = 1_000;
/** Weight of the latest call in the moving averages of durations. */
const durationWeight = 0.2;
const minDurationMs = 1;
/** Half-life of an endpoint's measured duration without new calls. */
const durationHalfLifeMs = 5_000;

/** Load of an endpoint as last reported. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  /** Age of the report in milliseconds. */
  readonly ageMs: number;
  readonly reachable: boolean;
}

/** Source of load reports; an endpoint without a report counts as idle. */
export interface PlainLoadSource {
  /** Finds the latest report; undefined when there is none. */
  find(endpoint: string): ReportedLoad | undefined;
  /** Whether the endpoint takes new calls: it is not leaving nor at its limit. */
  takesCalls(endpoint: string): boolean;
  /** Records a call that is sent to an endpoint. */
  recordSend(endpoint: string): void;
}

/** Source that has no reports. */
export const noLoadReports: PlainLoadSource = {
  find: () => undefined,
  takesCalls: () => true,
  recordSend: () => {},
};

/** How a call ended; decides what it says about the endpoint. */
export type CallOutcome = "answered" | "failed" | "cancelled";

/** Call in flight; `end` is called once, when it has ended. */
export interface InFlightCall {
  end(outcome: CallOutcome): void;
}

/** Calls to one endpoint. Times are monotonic milliseconds. */
interface EndpointState {
  /** Start times of calls in flight, by call id. */
  readonly startTimes: Map<number, number>;
  /** Moving average of durations; undefined before the first call ended. */
  durationMs: number | undefined;
  measuredAt: number;
  avoidedUntil: number;
}

/** Options of a chooser. */
export interface PlainChooserOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly loads: PlainLoadSource;
}

/** Chooses endpoints of one service and counts this process's calls in flight. */
export class PlainChooser {
  readonly #options: PlainChooserOptions;
  readonly #states = new Map<string, EndpointState>();
  #configured: readonly Endpoint[] = [];
  #nextId = 0;
  #meanDurationMs = minDurationMs;

  private constructor(options: PlainChooserOptions) {
    this.#options = options;
  }

  static create(options: PlainChooserOptions): PlainChooser {
    return new PlainChooser(options);
  }

  /**
   * Chooses among endpoints not yet `tried`; undefined when none is left.
   * Endpoints that failed recently or are unreachable are a last resort.
   */
  choose(
    endpoints: readonly Endpoint[],
    tried: ReadonlySet<string>,
  ): Endpoint | undefined {
    if (endpoints !== this.#configured) this.#removeUnconfigured(endpoints);
    const remaining = endpoints.filter((endpoint) =>
      !tried.has(endpoint.name) &&
      this.#options.loads.takesCalls(endpoint.name)
    );
    const healthy = remaining.filter((endpoint) =>
      !this.#isAvoided(endpoint.name)
    );
    return this.#chooseByWait(healthy.length > 0 ? healthy : remaining);
  }

  /** Records a call as in flight until it ends. */
  start(endpoint: string): InFlightCall {
    const state = this.#readState(endpoint);
    this.#options.loads.recordSend(endpoint);
    const id = this.#nextId++;
    const started = this.#options.clock.now();
    state.startTimes.set(id, started);
    return {
      end: (outcome) => {
        if (!state.startTimes.delete(id)) return;
        this.#recordEnd(state, outcome, started);
      },
    };
  }

  /** Number of this process's calls in flight at an endpoint. */
  readInFlight(endpoint: string): number {
    return this.#states.get(endpoint)?.startTimes.size ?? 0;
  }

  #recordEnd(
    state: EndpointState,
    outcome: CallOutcome,
    started: number,
  ): void {
    const now = this.#options.clock.now();
    const elapsed = now - started;
    switch (outcome) {
      case "answered":
        state.avoidedUntil = 0;
        state.durationMs = computeAverage(state.durationMs, elapsed);
        state.measuredAt = now;
        this.#meanDurationMs = computeAverage(this.#meanDurationMs, elapsed);
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

  #chooseByWait(endpoints: readonly Endpoint[]): Endpoint | undefined {
    const undrawn = [...endpoints];
    let best: Endpoint | undefined;
    let bestWait = Infinity;
    for (let drawn = 0; drawn < candidateCount && undrawn.length > 0; drawn++) {
      const at = this.#options.random.nextInt(undrawn.length);
      const [endpoint] = undrawn.splice(at, 1);
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

  /** Removes the state of endpoints that are no longer configured. */
  #removeUnconfigured(endpoints: readonly Endpoint[]): void {
    this.#configured = endpoints;
    const names = new Set(endpoints.map(({ name }) => name));
    for (const name of this.#states.keys()) {
      if (!names.has(name)) this.#states.delete(name);
    }
  }

  #computeDuration(state: EndpointState | undefined): number {
    const meanMs = Math.max(minDurationMs, this.#meanDurationMs);
    if (state?.durationMs === undefined) return meanMs;
    const age = this.#options.clock.now() - state.measuredAt;
    const weight = 0.5 ** (age / durationHalfLifeMs);
    const measured = Math.max(minDurationMs, state.durationMs);
    return meanMs + weight * (measured - meanMs);
  }

  #computeAhead(
    state: EndpointState | undefined,
    report: ReportedLoad | undefined,
  ): number {
    const inFlight = state?.startTimes.size ?? 0;
    if (report === undefined) return inFlight;
    const reportedAt = this.#options.clock.now() - report.ageMs;
    let startedSince = 0;
    for (const started of state?.startTimes.values() ?? []) {
      if (started >= reportedAt) startedSince++;
    }
    return Math.max(inFlight, report.running + report.queued + startedSince);
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
        startTimes: new Map(),
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

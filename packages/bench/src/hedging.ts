/**
 * Measures hedged requests for idempotent calls with the product's request path.
 *
 * Simulated endpoints run on a manual clock, so a run can be repeated from its
 * seed. Each case runs with and without hedging on the same arrivals.
 *
 * Usage: node --import tsx packages/bench/src/hedging.ts [SEED...]
 */

import process from "node:process";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { HedgeDelay } from "@almondcrank/routing/repeats/hedge_delay.ts";
import { PlainAttempts } from "@almondcrank/routing/repeats/plain_attempts.ts";
import {
  noLoadReports,
  PlainChooser,
} from "@almondcrank/routing/choice/plain_chooser.ts";
import type { PlainRequest } from "@almondcrank/routing/routers/plain_router.ts";
import { EndpointRetries } from "@almondcrank/routing/repeats/endpoint_retries.ts";
import { createEndpoint, SimulatedEndpoint } from "./simulated_endpoint.ts";
import { createCallCrashes } from "@almondcrank/routing/testing/call_setup.ts";

const requests = 6_000;
const slots = 8;
const meanServiceMs = 20;
const timeoutMs = 2_000;
const endpointNames = ["a", "b", "c", "d"];
const defaultSeeds = [1, 2, 3];

/** Load and service times of a run. */
interface Case {
  readonly name: string;
  /** Arrivals as a fraction of the capacity at the mean service time. */
  readonly utilisation: number;
  /** Returns the serviceTimeFactor on the service time of one call. */
  readonly serviceTimeFactor: (endpoint: string, random: Random) => number;
}

const cases: readonly Case[] = [
  { name: "even", utilisation: 0.5, serviceTimeFactor: () => 1 },
  {
    name: "2 in 100 calls 20 times slower",
    utilisation: 0.5,
    serviceTimeFactor: (_endpoint, random) => random.next() < 0.02 ? 20 : 1,
  },
  {
    name: "one endpoint 10 times slower",
    utilisation: 0.5,
    serviceTimeFactor: (endpoint) => endpoint === "a" ? 10 : 1,
  },
  {
    name: "all 10 times slower",
    utilisation: 0.08,
    serviceTimeFactor: () => 10,
  },
  { name: "even, nearly full", utilisation: 0.9, serviceTimeFactor: () => 1 },
];

interface RunOptions {
  readonly seed: number;
  readonly hedging: boolean;
}

/** Endpoints, request path and metrics of one run. */
class Run {
  readonly #clock = ManualClock.create();
  readonly #metrics = Metrics.create();
  readonly #endpoints: readonly SimulatedEndpoint[];
  readonly #attempts: PlainAttempts;
  readonly #choice: PlainChooser;
  readonly #hedge: HedgeDelay | undefined;

  constructor(measured: Case, { seed, hedging }: RunOptions) {
    const clock = this.#clock;
    const metrics = this.#metrics;
    const random = Random.create(seed + 1);
    this.#endpoints = endpointNames.map((name) =>
      SimulatedEndpoint.create({
        name,
        clock,
        slots,
        nextServiceMs: () =>
          random.nextExponential(meanServiceMs) *
          measured.serviceTimeFactor(name, random),
      })
    );
    this.#attempts = PlainAttempts.create({
      clock,
      metrics,
      budget: EndpointRetries.create({ clock, metrics }),
      endpoints: ({ name }) => this.#endpoints.find((e) => e.name === name)!,
    });
    const loads = noLoadReports;
    const choiceRandom = Random.create(seed + 2);
    this.#choice = PlainChooser.create({ clock, random: choiceRandom, loads });
    this.#hedge = hedging ? HedgeDelay.create(clock) : undefined;
  }

  /** Sends all requests and waits until they have ended. */
  async run(utilisation: number, arrivals: Random): Promise<void> {
    const meanGapMs = meanServiceMs /
      (utilisation * slots * endpointNames.length);
    const pending: Promise<void>[] = [];
    for (let sent = 0; sent < requests; sent++) {
      await this.#clock.advance(arrivals.nextExponential(meanGapMs));
      pending.push(this.#send());
    }
    await this.#clock.advance(2 * timeoutMs);
    await Promise.all(pending);
  }

  /** Formats latencies, sends a request and the cost of cancelled calls. */
  format(): string {
    const [p50, p95, p99] = [50, 95, 99].map((percentile) =>
      this.#metrics.readPercentile("call", percentile).toFixed(0)
    );
    const sends = this.#endpoints.reduce((sum, { sends }) => sum + sends, 0);
    const cancelled = this.#endpoints
      .reduce((sum, { cancelledMs }) => sum + cancelledMs, 0);
    const share = 100 * cancelled / (requests * meanServiceMs);
    return `p50 ${p50}, p95 ${p95}, p99 ${p99} ms, ` +
      `${(sends / requests).toFixed(3)} sends a request, ` +
      `cancelled work ${share.toFixed(1)} %`;
  }

  async #send(): Promise<void> {
    const started = this.#clock.now();
    await this.#attempts.run({
      request: createRequest(started + timeoutMs),
      endpoints: endpointNames.map((name) => createEndpoint(name, "status")),
      chooser: this.#choice,
      hedge: this.#hedge,
      crashes: createCallCrashes(this.#clock),
      signal: new AbortController().signal,
    });
    this.#metrics.recordDuration("call", this.#clock.now() - started);
  }
}

function createRequest(deadline: number): PlainRequest {
  return {
    team: { name: "t", keyHash: "", priority: 1, share: 1 },
    service: {
      kind: "plain",
      name: "status",
      idempotentMethods: ["GET"],
      timeoutMs,
    },
    method: "GET",
    path: "/status",
    contentType: undefined,
    body: new Uint8Array(),
    key: undefined,
    deadline,
  };
}

const seeds = process.argv.slice(2).map(Number);
for (const measured of cases) {
  for (const seed of seeds.length > 0 ? seeds : defaultSeeds) {
    for (const hedging of [false, true]) {
      const run = new Run(measured, { seed, hedging });
      await run.run(measured.utilisation, Random.create(seed));
      const label = `${measured.name}, seed ${seed}, ${
        hedging ? "hedged" : "plain"
      }`;
      console.log(`${label}: ${run.format()}`);
    }
  }
}

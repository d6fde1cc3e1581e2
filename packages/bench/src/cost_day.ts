/**
 * Measures the cost of a day with the capacity plan, compared with two baselines.
 *
 * The plan, the blocking of refused offers and the choice of hosts to return are
 * the product's code; the day is a trace generated from a seed. Baselines: all
 * on-demand, where the same plan follows the demand, and static headroom, a fixed
 * number of reclaimable hosts sized for the peak and the loss of a data centre.
 *
 * Usage: npx tsx packages/bench/src/cost_day.ts [SEED...]
 */

import process from "node:process";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import {
  computeCapacityPlan,
  type PlannedHost,
} from "@almondcrank/fleet/capacity_plan.ts";
import {
  formatOffer,
  type Offer,
  OfferBackoff,
} from "@almondcrank/fleet/offers.ts";
import {
  type CostTrace,
  createCostTrace,
  listTracePrices,
  stepMs,
  stepsPerDay,
} from "./cost_trace.ts";

const machineClass = "gpu-a";
/** Highest utilisation at which requests are on time. */
const onTimeUtilization = 0.9;
/** Target utilisation of the plan. */
const targetUtilization = 0.75;
/** Steps until a rented host runs, and until a returned one is drained. */
const startSteps = 6;
const drainSteps = 2;
/** Steps from which the plan takes the peak demand. */
const peakSteps = 30;
const maxRentals = 1_000;

/** How hosts are chosen. */
type Policy =
  | { readonly kind: "plan"; readonly protectedShare: number }
  | { readonly kind: "on_demand" }
  | { readonly kind: "static" };

/** A rented host. */
interface DayHost extends PlannedHost {
  /** Step at which it was rented. */
  readonly startedAt: number;
  /** Step at which it is returned. */
  readonly returnAt: number | undefined;
}

/** Outcome of one day. */
interface DayResult {
  /** Cost in thousandths. */
  readonly cost: number;
  /** Sum over the steps of the demand that was served on time, in engines. */
  readonly onTime: number;
  /** Sum of the demand over the steps, in engines. */
  readonly demand: number;
  /** Share of the host time on demand. */
  readonly onDemandShare: number;
  readonly hostHours: number;
}

/** Simulates one day under one policy. */
class CostDay {
  readonly #trace: CostTrace;
  readonly #policy: Policy;
  readonly #clock = ManualClock.create();
  readonly #random: Random;
  readonly #backoff: OfferBackoff;
  #hosts: readonly DayHost[] = [];
  #rentedCount = 0;
  #cost = 0;
  #onTime = 0;
  #hostSteps = 0;
  #onDemandSteps = 0;

  private constructor(trace: CostTrace, policy: Policy) {
    this.#trace = trace;
    this.#policy = policy;
    this.#random = Random.create(trace.options.seed + 1);
    this.#backoff = OfferBackoff.create(
      this.#clock,
      Random.create(trace.options.seed + 2),
    );
  }

  static create(trace: CostTrace, policy: Policy): CostDay {
    return new CostDay(trace, policy);
  }

  async run(): Promise<DayResult> {
    for (let step = 0; step < stepsPerDay; step++) {
      this.#removeReclaimed(step);
      this.#advanceHosts(step);
      this.#applyPolicy(step);
      this.#recordStep(step);
      await this.#clock.advance(stepMs);
    }
    const demand = this.#trace.demand.reduce(
      (sum, engines) => sum + engines,
      0,
    );
    return {
      cost: this.#cost,
      onTime: this.#onTime,
      demand,
      onDemandShare: this.#onDemandSteps / this.#hostSteps,
      hostHours: this.#hostSteps * stepMs / 3_600_000,
    };
  }

  #removeReclaimed(step: number): void {
    const zones = new Set(
      this.#trace.waves.filter((wave) => wave.step === step)
        .map(({ zone }) => zone),
    );
    this.#hosts = this.#hosts.filter(({ zone, market }) => {
      const isReclaimed = this.#random.next() < this.#trace.reclaimChance ||
        zones.has(zone);
      return market === "on_demand" || !isReclaimed;
    });
  }

  #advanceHosts(step: number): void {
    this.#hosts = this.#hosts
      .filter(({ returnAt }) => returnAt === undefined || returnAt > step)
      .map((host) =>
        host.state === "starting" && step >= host.startedAt + startSteps
          ? { ...host, state: "running" }
          : host
      );
  }

  #applyPolicy(step: number): void {
    switch (this.#policy.kind) {
      case "plan":
        return this.#followPlan(step, this.#policy.protectedShare);
      case "on_demand":
        return this.#followPlan(step, 0);
      case "static":
        return this.#keepFixed(step);
    }
  }

  #followPlan(step: number, protectedShare: number): void {
    const demand = this.#trace.demand[step] ?? 0;
    const recent = this.#trace.demand
      .slice(Math.max(0, step - peakSteps), step + 1);
    const offers = listTracePrices(this.#trace, step)
      .filter(({ market }) =>
        this.#policy.kind === "plan" || market === "on_demand"
      );
    const plan = computeCapacityPlan({
      demand,
      peakDemand: Math.max(...recent),
      targetUtilization,
      protectedShare,
      survivalUtilization: onTimeUtilization,
      classCapacity: new Map([[machineClass, 1]]),
      hosts: this.#hosts,
      offers,
      blocked: new Set(
        offers.filter((offer) => this.#backoff.isBlocked(offer))
          .map(formatOffer),
      ),
      maxRentals,
    });
    for (const offer of plan.rentals) this.#requestHost(offer, step);
    const returned = new Set(plan.returns);
    this.#hosts = this.#hosts.map((host) =>
      returned.has(host.host)
        ? { ...host, state: "leaving", returnAt: step + drainSteps }
        : host
    );
  }

  /** Keeps a fixed number of reclaimable hosts in each data centre. */
  #keepFixed(step: number): void {
    const { zones, peak } = this.#trace.options;
    const perZone = Math.ceil(peak / targetUtilization / (zones.length - 1));
    for (const zone of zones) {
      const present = this.#hosts.filter((host) => host.zone === zone).length;
      for (let i = present; i < perZone; i++) {
        this.#requestHost({ zone, machineClass, market: "reclaimable" }, step);
      }
    }
  }

  #requestHost(offer: Offer, step: number): void {
    const { zone, market } = offer;
    const isRefused = market === "reclaimable" &&
      this.#trace.refusals.get(zone)?.has(step) === true;
    if (isRefused) return this.#backoff.recordRefusal(offer);
    this.#backoff.recordGrant(offer);
    this.#rentedCount += 1;
    // The hosts of the first step are running already.
    const state = step === 0 ? "running" : "starting";
    this.#hosts = [...this.#hosts, {
      zone,
      market,
      machineClass,
      host: `host-${this.#rentedCount}`,
      state,
      isRented: true,
      startedAt: step,
      returnAt: undefined,
    }];
  }

  #recordStep(step: number): void {
    const prices = new Map(
      listTracePrices(this.#trace, step)
        .map((price) => [formatOffer(price), price.milliPerHour]),
    );
    for (const host of this.#hosts) {
      const price = prices.get(formatOffer(host)) ?? 0;
      this.#cost += price * stepMs / 3_600_000;
      this.#hostSteps += 1;
      if (host.market === "on_demand") this.#onDemandSteps += 1;
    }
    const running = this.#hosts
      .filter(({ state }) => state === "running").length;
    const demand = this.#trace.demand[step] ?? 0;
    this.#onTime += Math.min(demand, running * onTimeUtilization);
  }
}

const policies: readonly (readonly [string, Policy])[] = [
  ["all on-demand", { kind: "on_demand" }],
  ["static head-room", { kind: "static" }],
  ["plan, protected 1", { kind: "plan", protectedShare: 1 }],
  ["plan, protected 0.8", { kind: "plan", protectedShare: 0.8 }],
  ["plan, protected 0", { kind: "plan", protectedShare: 0 }],
];

const fleets: readonly (readonly [string, number, number])[] = [
  ["8 engines, 4 zones", 8, 4],
  ["13 engines, 4 zones", 13, 4],
  ["340 engines, 16 zones", 340, 16],
];

/** Formats a day's result; `baseline` is the cost per on-time unit on demand. */
function formatDay(name: string, day: DayResult, baseline: number): string {
  const perOnTime = day.cost / day.onTime;
  return [
    name.padEnd(22),
    `on time ${(100 * day.onTime / day.demand).toFixed(3)} %`,
    `cost ${(day.cost / 1_000).toFixed(0).padStart(6)}`,
    `per on-time ${(perOnTime / baseline).toFixed(3)} of on-demand`,
    `host-hours ${day.hostHours.toFixed(0).padStart(5)}`,
    `on-demand host time ${(100 * day.onDemandShare).toFixed(1)} %`,
  ].join("  ");
}

async function runFleet(
  seed: number,
  [name, peak, zoneCount]: readonly [string, number, number],
): Promise<void> {
  const zones = Array.from({ length: zoneCount }, (_, i) => `zone-${i}`);
  const trace = createCostTrace({ seed, zones, machineClass, peak });
  process.stdout.write(`${name}, seed ${seed}\n`);
  let baseline = 0;
  for (const [policyName, policy] of policies) {
    const day = await CostDay.create(trace, policy).run();
    if (baseline === 0) baseline = day.cost / day.onTime;
    process.stdout.write(`  ${formatDay(policyName, day, baseline)}\n`);
  }
}

const seeds = process.argv.slice(2).map(Number);
for (const seed of seeds.length === 0 ? [1, 2, 3] : seeds) {
  for (const fleet of fleets) await runFleet(seed, fleet);
}

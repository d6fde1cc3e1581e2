/**
 * A day's demand, prices, reclaims and refusals, drawn from a seed.
 */

import type { Market } from "@almondcrank/common/configuration.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { Price } from "@almondcrank/infrastructure/cloud_api.ts";

/** Length of a step of the trace, in milliseconds. */
export const stepMs = 30_000;
/** Steps of a day. */
export const stepsPerDay = 2_880;

const onDemandPrice = 1_000;
const cheapestReclaimable = 220;
const dearestReclaimable = 480;
const spikePrice = 1_250;
const spikesPerZoneDay = 1;
const spikeSteps = 40;
const waves = 4;
const waveRefusalSteps = 60;
const otherZoneRefusalSteps = 20;
const reclaimsPerHostHour = 0.02;

/** Reclaim of a data centre's reclaimable hosts. */
export interface ReclaimWave {
  readonly step: number;
  readonly zone: string;
}

/** Shape of a trace. */
export interface TraceOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly machineClass: string;
  /** Highest demand of the day, in engines. */
  readonly peak: number;
}

/** One day. */
export interface CostTrace {
  readonly options: TraceOptions;
  /** Demand by step, in engines. */
  readonly demand: readonly number[];
  /** Reclaimable price by zone and step, in thousandths a host-hour. */
  readonly prices: ReadonlyMap<string, readonly number[]>;
  readonly waves: readonly ReclaimWave[];
  /** Steps at which a zone refuses reclaimable hosts. */
  readonly refusals: ReadonlyMap<string, ReadonlySet<number>>;
  /** Chance that a reclaimable host is reclaimed alone in one step. */
  readonly reclaimChance: number;
}

/** Draws a day. */
export function createCostTrace(options: TraceOptions): CostTrace {
  const random = Random.create(options.seed);
  const drawn = createWaves(options, random);
  return {
    options,
    demand: createDemand(options, random),
    prices: new Map(
      options.zones.map((zone) => [zone, createPrices(random)]),
    ),
    waves: drawn,
    refusals: createRefusals(options, { waves: drawn, random }),
    reclaimChance: reclaimsPerHostHour * stepMs / 3_600_000,
  };
}

/** Prices of all offers at a step. */
export function listTracePrices(trace: CostTrace, step: number): Price[] {
  const { zones, machineClass } = trace.options;
  const create = (zone: string, market: Market, milliPerHour: number) => ({
    zone,
    machineClass,
    market,
    milliPerHour,
  });
  return zones.flatMap((zone) => [
    create(zone, "reclaimable", trace.prices.get(zone)?.[step] ?? 0),
    create(zone, "on_demand", onDemandPrice),
  ]);
}

/** Two humps, morning and afternoon, with noise and short surges. */
function createDemand({ peak }: TraceOptions, random: Random): number[] {
  let surge = 0;
  return Array.from({ length: stepsPerDay }, (_, step) => {
    const hour = step * 24 / stepsPerDay;
    const hump = Math.exp(-(((hour - 10) / 2.5) ** 2)) +
      0.85 * Math.exp(-(((hour - 15.5) / 2.5) ** 2));
    surge = random.next() < 0.002 ? 0.2 : surge * 0.97;
    const noise = 1 + (random.next() - 0.5) * 0.06;
    return peak * Math.min(1, (0.15 + 0.7 * hump + surge) * noise);
  });
}

function createPrices(random: Random): number[] {
  const spikes = Array.from(
    { length: spikesPerZoneDay },
    () => random.nextInt(stepsPerDay),
  );
  let price = cheapestReclaimable +
    random.next() * (dearestReclaimable - cheapestReclaimable);
  return Array.from({ length: stepsPerDay }, (_, step) => {
    price += (random.next() - 0.5) * 6;
    price = Math.min(
      dearestReclaimable,
      Math.max(cheapestReclaimable, price),
    );
    const isSpike = spikes.some((spike) =>
      step >= spike && step < spike + spikeSteps
    );
    return isSpike ? spikePrice : price;
  });
}

/** The second wave of a pair begins during the first. */
function createWaves({ zones }: TraceOptions, random: Random): ReclaimWave[] {
  const drawn: ReclaimWave[] = [];
  for (let i = 0; i < waves; i++) {
    const before = drawn.at(-1);
    const step = i % 2 === 1 && before !== undefined
      ? before.step + 4
      : Math.floor(stepsPerDay * (0.3 + 0.4 * random.next()));
    const others = zones.filter((zone) => zone !== before?.zone);
    drawn.push({ step, zone: random.choose(others) });
  }
  return drawn;
}

function createRefusals(
  { zones }: TraceOptions,
  { waves, random }: {
    readonly waves: readonly ReclaimWave[];
    readonly random: Random;
  },
): Map<string, Set<number>> {
  const refusals = new Map(zones.map((zone) => [zone, new Set<number>()]));
  for (const wave of waves) {
    for (const zone of zones) {
      const isHit = zone === wave.zone;
      const steps = isHit ? waveRefusalSteps : otherZoneRefusalSteps;
      for (let step = wave.step; step < wave.step + steps; step++) {
        if (isHit || random.next() < 0.5) refusals.get(zone)?.add(step);
      }
    }
  }
  return refusals;
}

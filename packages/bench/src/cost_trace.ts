/**
 * Generates a day's demand, prices, reclaims and refusals from a seed.
 */

import type { Market } from "@almondcrank/common/configuration.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { Price } from "@almondcrank/infrastructure/cloud_api.ts";

/** Length of a step of the trace, in milliseconds. */
export const stepMs = 30_000;
/** Number of steps in a day. */
export const stepsPerDay = 2_880;

// Prices are in thousandths per host-hour.
const onDemandPrice = 1_000;
const minReclaimablePrice = 220;
const maxReclaimablePrice = 480;
const spikePrice = 1_250;
const spikesPerZoneDay = 1;
const spikeSteps = 40;
const waveCount = 4;
const waveRefusalSteps = 60;
const otherZoneRefusalSteps = 20;
const reclaimsPerHostHour = 0.02;

/** Simultaneous reclaim of all reclaimable hosts of a data centre. */
export interface ReclaimWave {
  readonly step: number;
  readonly zone: string;
}

/** Parameters of a trace. */
export interface TraceOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly machineClass: string;
  /** Highest demand of the day, in engines. */
  readonly peak: number;
}

/** Demand, prices, reclaims and refusals of one day. */
export interface CostTrace {
  readonly options: TraceOptions;
  /** Demand by step, in engines. */
  readonly demand: readonly number[];
  /** Price of reclaimable hosts by zone and step, thousandths per host-hour. */
  readonly prices: ReadonlyMap<string, readonly number[]>;
  readonly waves: readonly ReclaimWave[];
  /** Steps at which a zone refuses reclaimable hosts. */
  readonly refusals: ReadonlyMap<string, ReadonlySet<number>>;
  /** Probability that a single reclaimable host is reclaimed in one step. */
  readonly reclaimChance: number;
}

/** Generates a day; equal options give equal days. */
export function createCostTrace(options: TraceOptions): CostTrace {
  const random = Random.create(options.seed);
  const reclaimWaves = createWaves(options, random);
  return {
    options,
    demand: createDemand(options, random),
    prices: new Map(
      options.zones.map((zone) => [zone, createPrices(random)]),
    ),
    waves: reclaimWaves,
    refusals: createRefusals(options, { waves: reclaimWaves, random }),
    reclaimChance: reclaimsPerHostHour * stepMs / 3_600_000,
  };
}

/** Lists the prices of all offers at a step. */
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

/** Creates a demand with two peaks at 10:00 and 15:30, noise and surges. */
function createDemand({ peak }: TraceOptions, random: Random): number[] {
  let surge = 0;
  return Array.from({ length: stepsPerDay }, (_, step) => {
    const hour = step * 24 / stepsPerDay;
    const peaks = Math.exp(-(((hour - 10) / 2.5) ** 2)) +
      0.85 * Math.exp(-(((hour - 15.5) / 2.5) ** 2));
    surge = random.next() < 0.002 ? 0.2 : surge * 0.97;
    const noise = 1 + (random.next() - 0.5) * 0.06;
    return peak * Math.min(1, (0.15 + 0.7 * peaks + surge) * noise);
  });
}

function createPrices(random: Random): number[] {
  const spikes = Array.from(
    { length: spikesPerZoneDay },
    () => random.nextInt(stepsPerDay),
  );
  let price = minReclaimablePrice +
    random.next() * (maxReclaimablePrice - minReclaimablePrice);
  return Array.from({ length: stepsPerDay }, (_, step) => {
    price += (random.next() - 0.5) * 6;
    price = Math.min(
      maxReclaimablePrice,
      Math.max(minReclaimablePrice, price),
    );
    const isSpike = spikes.some((spike) =>
      step >= spike && step < spike + spikeSteps
    );
    return isSpike ? spikePrice : price;
  });
}

/**
 * Creates pairs of waves; the second of a pair begins 4 steps after the first,
 * while offers are still refused.
 */
function createWaves({ zones }: TraceOptions, random: Random): ReclaimWave[] {
  const reclaimWaves: ReclaimWave[] = [];
  for (let i = 0; i < waveCount; i++) {
    const previous = reclaimWaves.at(-1);
    const step = i % 2 === 1 && previous !== undefined
      ? previous.step + 4
      : Math.floor(stepsPerDay * (0.3 + 0.4 * random.next()));
    const others = zones.filter((zone) => zone !== previous?.zone);
    reclaimWaves.push({ step, zone: random.choose(others) });
  }
  return reclaimWaves;
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
      const isReclaimed = zone === wave.zone;
      const steps = isReclaimed ? waveRefusalSteps : otherZoneRefusalSteps;
      for (let step = wave.step; step < wave.step + steps; step++) {
        if (isReclaimed || random.next() < 0.5) refusals.get(zone)?.add(step);
      }
    }
  }
  return refusals;
}

/**
 * Learns how long the first event of a stream takes on a replica of usual speed.
 *
 * The time is a base, a part per prompt token that is computed before it, and a part
 * per running request. Each service and software version has its own fit. A node
 * sees too few streams to learn fast, so the sums of the fit are counted over all
 * nodes; old observations are forgotten, and a version without any begins from the
 * one seen last.
 *
 * Answers a load of prompts from some hundred to tens of thousands of tokens, on
 * engines whose speed is not configured: with a wrong speed the largest prompts seem
 * to be late everywhere, and are refused.
 */

import { type CoefficientPrior, ProductSums } from "./least_squares.ts";
import { formatSoftwareKey, type SoftwareKey } from "./request_cost.ts";

/** What is ahead of the first event on a replica. */
export interface FirstEventWork {
  /** Prompt tokens to compute, of this request and of those ahead of it. */
  readonly tokens: number;
  /** Requests that run there. */
  readonly active: number;
}

/** Prompt tokens that a replica is assumed to compute in a millisecond. */
export const assumedTokensPerMs = 50;

const tokensPerUnit = 1_000;
/** Base, part per 1,000 tokens, and part per running request; in milliseconds. */
const defaultPriors: readonly CoefficientPrior[] = [
  { value: 25, weight: 10, least: 1, most: 1_000 },
  {
    value: tokensPerUnit / assumedTokensPerMs,
    weight: 40,
    least: 1,
    most: 1_000,
  },
  { value: 1, weight: 250, least: 0, most: 50 },
];
/** Time at which an observation weighs 1; short ones weigh no more than 4. */
const weightAtMs = 100;
const leastWeightedMs = 50;
/** Bounds of one observation relative to what was expected. */
const lowestRatio = 0.3;
const highestRatio = 3;
/** Time in which observations are forgotten to 1/e. */
const forgetMs = 60_000;
/** Time for which a fit is reused. */
const refitMs = 250;
/** Largest number of software versions that are told and kept. */
const maxKeys = 12;
/** Sums are told as integers, in units of this share. */
const toldScale = 1_000;

interface Fit {
  readonly service: string;
  /** Sums of all nodes, with old observations forgotten. */
  readonly recent: ProductSums;
  /** Sums of this node since its start. */
  readonly own: ProductSums;
  readonly priors: readonly CoefficientPrior[];
  coefficients: readonly number[];
  decayedAt: number;
  fittedAt: number;
}

/** Fits of all services. Times are monotonic, in milliseconds. */
export class FirstEventModel {
  /** Name of its sums in the reports. */
  readonly name = "first";
  readonly #fits = new Map<string, Fit>();

  static create(): FirstEventModel {
    return new FirstEventModel();
  }

  /** Computes the time to the first event, in milliseconds. */
  computeMs(key: SoftwareKey, work: FirstEventWork, now: number): number {
    const [base = 0, perUnit = 0, perActive = 0] = this.#readFit(key, now);
    return base + perUnit * work.tokens / tokensPerUnit +
      perActive * work.active;
  }

  /** Computes how many prompt tokens a replica computes in a millisecond. */
  computeTokensPerMs(key: SoftwareKey, now: number): number {
    const [, perUnit = 1] = this.#readFit(key, now);
    return tokensPerUnit / perUnit;
  }

  /** Records a first event that no wait for a slot has delayed. */
  record(
    key: SoftwareKey,
    { work, observedMs }: {
      readonly work: FirstEventWork;
      readonly observedMs: number;
    },
    now: number,
  ): void {
    const expectedMs = this.computeMs(key, work, now);
    const boundedMs = Math.min(
      expectedMs * highestRatio,
      Math.max(expectedMs * lowestRatio, observedMs),
    );
    const weight = (weightAtMs / Math.max(leastWeightedMs, expectedMs)) ** 2;
    const features = [1, work.tokens / tokensPerUnit, work.active];
    const fit = this.#find(formatSoftwareKey(key), now);
    forgetOld(fit, now);
    fit.recent.add(features, boundedMs, weight);
    fit.own.add(features, boundedMs, weight);
  }

  /** Lists the sums of this node since its start, by name. */
  listOwn(): readonly (readonly [string, number])[] {
    return [...this.#fits].flatMap(([key, { own }]) =>
      own.list().map((value, index): [string, number] => [
        `${key} ${index}`,
        Math.round(value * toldScale),
      ])
    );
  }

  /** Adds what other nodes have observed since their last report. */
  applyPeer(name: string, change: number, now: number): void {
    const space = name.lastIndexOf(" ");
    const index = Number(name.slice(space + 1));
    // A sum that has become smaller was begun anew.
    if (space < 1 || !isSumIndex(index) || !(change > 0)) return;
    const fit = this.#find(name.slice(0, space), now);
    forgetOld(fit, now);
    fit.recent.addAt(index, change / toldScale);
  }

  #readFit(key: SoftwareKey, now: number): readonly number[] {
    const fit = this.#fits.get(formatSoftwareKey(key));
    if (fit === undefined) {
      return this.#listPriors(key.service).map(({ value }) => value);
    }
    if (now - fit.fittedAt >= refitMs) {
      forgetOld(fit, now);
      fit.coefficients = fit.recent.computeFit(fit.priors);
      fit.fittedAt = now;
    }
    return fit.coefficients;
  }

  #find(key: string, now: number): Fit {
    const known = this.#fits.get(key);
    if (known !== undefined) return known;
    const service = key.slice(0, key.indexOf(" "));
    const priors = this.#listPriors(service);
    const fit: Fit = {
      service,
      recent: ProductSums.create(priors.length),
      own: ProductSums.create(priors.length),
      priors,
      coefficients: priors.map(({ value }) => value),
      decayedAt: now,
      fittedAt: now,
    };
    this.#fits.set(key, fit);
    if (this.#fits.size > maxKeys) this.#removeOldest();
    return fit;
  }

  /** A version begins from what the service's version seen last has shown. */
  #listPriors(service: string): readonly CoefficientPrior[] {
    let latest: Fit | undefined;
    for (const fit of this.#fits.values()) {
      if (fit.service !== service) continue;
      if (latest === undefined || fit.decayedAt >= latest.decayedAt) {
        latest = fit;
      }
    }
    const fitted = latest?.coefficients;
    return defaultPriors.map((prior, index) => ({
      ...prior,
      value: fitted?.[index] ?? prior.value,
    }));
  }

  #removeOldest(): void {
    const [oldest] = [...this.#fits].sort(([, a], [, b]) =>
      a.decayedAt - b.decayedAt
    );
    if (oldest !== undefined) this.#fits.delete(oldest[0]);
  }
}

/** Whether an index names one of a fit's sums. */
function isSumIndex(index: number): boolean {
  const sums = ProductSums.computeLength(defaultPriors.length);
  return Number.isInteger(index) && index >= 0 && index < sums;
}

function forgetOld(fit: Fit, now: number): void {
  const elapsedMs = now - fit.decayedAt;
  if (elapsedMs <= 0) return;
  fit.recent.scale(Math.exp(-elapsedMs / forgetMs));
  fit.decayedAt = now;
}

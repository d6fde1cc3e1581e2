/**
 * Compares the answers of a service's new version with those of the old one.
 *
 * Each node sees a few requests of the new version a second; only their sums over
 * all nodes show a part of the answers failing or coming several times slower. A
 * day's other troubles strike both versions, so each route of the new version is
 * compared with the same route of the old one in the same seconds. A version may
 * turn bad late, or under load only, so the comparison is made over all of the
 * time and over its last seconds.
 *
 * Failures: probability of at least as many among as many answers, if they came at
 * the old version's rate, from the binomial distribution. Times: difference of the
 * mean logarithms, in standard errors (Welch's test). It is taken at each step, so
 * the limits are far below the error rate of the whole: with 40 independent tests
 * the first one is exceeded by chance in fewer than 1 of 1,000 good rollouts.
 */

/** Sums of one kind of answers; times are sums of `encodeTime`'s values. */
export interface AnswerSums {
  readonly answers: number;
  readonly failures: number;
  /** Answers that came several times later than the old version's mean. */
  readonly slow: number;
  readonly times: number;
  readonly sumTime: number;
  readonly sumTimeSquares: number;
}

/** Sums by route and measure, for the new and the old version. */
export type VersionSums = ReadonlyMap<
  string,
  { readonly fresh: AnswerSums; readonly old: AnswerSums }
>;

/** Limits of one verdict. */
interface Limits {
  /** Largest probability of the failures at the old version's rate. */
  readonly probability: number;
  /** Least difference of times, in standard errors. */
  readonly errors: number;
  /** Least difference of mean logarithms of times. */
  readonly difference: number;
}

/** Limits at which a version is taken back at any time. */
const stopLimits: Limits = {
  probability: 2e-5,
  errors: 4.5,
  difference: 0.3,
};
/** Limits at which it is not completed. */
const endLimits: Limits = {
  probability: 6e-3,
  errors: 3,
  difference: 0.3,
};
/** Bad answers without which a version is not bad. */
const minBadAnswers = 3;
/** Times of each version below which they are not compared. */
const minTimes = 10;
/** Failure rate that a good version may have while the old one has none. */
const usualFailureRate = 0.01;
/** Rate of slow answers that a good version may have, as replicas differ in speed. */
const usualSlowRate = 0.06;
/** Ratio of such rates that a good version may have. */
const rateRatio = 1.5;
/** Least standard deviation of a logarithm of a time. */
const minDeviation = 0.15;
/** Steps of a logarithm of a time, so that sums are integers. */
const logSteps = 100;
/** Lengths of the windows that are compared, in milliseconds. */
const windowsMs: readonly number[] = [3_000, 8_000, Infinity];
/** Length of the parts of a window that are compared one by one. */
const snapshotMs = 1_000;
/** Largest number of such parts. */
const maxSnapshots = 64;
/** Answers at the whole window's rate that are added to each part's. */
const priorAnswers = 5;
/** Answers of the new version without which nothing is known of it. */
const minAnswers = 20;
/** The same of each route that has a good part of the traffic. */
const minRouteAnswers = 5;
/** Part of the old version's answers from which on a route counts as such. */
const routeShare = 0.1;

export const noAnswers: AnswerSums = {
  answers: 0,
  failures: 0,
  slow: 0,
  times: 0,
  sumTime: 0,
  sumTimeSquares: 0,
};

/** What the evidence says. */
export type Verdict =
  | { readonly kind: "sound" }
  | { readonly kind: "thin"; readonly reason: string }
  | { readonly kind: "bad"; readonly reason: string };

interface Snapshot {
  readonly at: number;
  readonly sums: VersionSums;
}

/** Encodes a time in milliseconds, or a ratio, as a value of the sums. */
export function encodeTime(ms: number): number {
  return Math.round(logSteps * Math.log1p(Math.max(0, ms)));
}

/** Answers that take so many times the mean of the old version's are slow. */
const slowFactor = 2.5;

/** Whether a time is several times that of the old version. */
export function isSlowTime(ms: number, old: AnswerSums | undefined): boolean {
  if (old === undefined || old.times < minTimes) return false;
  const mean = old.sumTime / old.times / logSteps;
  return Math.log1p(Math.max(0, ms)) > mean + Math.log(slowFactor);
}

/** Evidence on one order. Times are monotonic, in milliseconds. */
export class RolloutEvidence {
  #snapshots: Snapshot[] = [{ at: -Infinity, sums: new Map() }];

  static create(): RolloutEvidence {
    return new RolloutEvidence();
  }

  /** Records the present sums over all nodes. */
  record(sums: VersionSums, now: number): void {
    const last = this.#snapshots.at(-1);
    if (last !== undefined && now - last.at < snapshotMs) return;
    this.#snapshots.push({ at: now, sums });
    if (this.#snapshots.length <= maxSnapshots) return;
    // The earlier half of a long order is compared in longer parts.
    const half = maxSnapshots / 2;
    this.#snapshots = this.#snapshots.filter((_, index) =>
      index >= half || index % 2 === 0
    );
  }

  /** Checks whether the new version has to be taken back at once. */
  checkStop(sums: VersionSums, now: number): Verdict {
    return this.#check(sums, now, stopLimits);
  }

  /** Checks whether the new version may take over. */
  checkEnd(sums: VersionSums, now: number): Verdict {
    const verdict = this.#check(sums, now, endLimits);
    return verdict.kind === "bad" ? verdict : checkAmount(sums);
  }

  #check(sums: VersionSums, now: number, limits: Limits): Verdict {
    for (const windowMs of windowsMs) {
      const base = this.#snapshots.findLastIndex(({ at }) =>
        at <= now - windowMs
      );
      const parts = [
        ...this.#snapshots.slice(Math.max(0, base)).map(({ sums }) => sums),
        sums,
      ];
      const comparisons: Comparison[] = [];
      for (const route of sums.keys()) {
        const comparison = composeComparison(
          parts.map((part) => part.get(route) ?? noVersions),
        );
        comparisons.push(comparison);
        const reason = compareVersions(comparison, limits);
        if (reason !== undefined) {
          return { kind: "bad", reason: `${route}: ${reason}` };
        }
      }
      // A small part of bad answers shows earlier in all routes together.
      const reason = compareRates(addComparisons(comparisons), limits);
      if (reason !== undefined) {
        return { kind: "bad", reason: `all routes: ${reason}` };
      }
    }
    return { kind: "sound" };
  }
}

const noVersions = { fresh: noAnswers, old: noAnswers };

/** Answers of a window, and what the old version's would be at the same times. */
interface Comparison {
  readonly fresh: AnswerSums;
  readonly old: AnswerSums;
  /** Expected of the old version, had it got the new one's requests. */
  readonly expected: {
    readonly failures: number;
    readonly slow: number;
    readonly sumTime: number;
  };
}

/**
 * Compares part by part: trouble that strikes both versions for some seconds counts
 * for the old one as much as the new one had requests then.
 */
function composeComparison(
  parts: readonly { readonly fresh: AnswerSums; readonly old: AnswerSums }[],
): Comparison {
  const first = parts[0] ?? noVersions;
  const last = parts.at(-1) ?? noVersions;
  const fresh = subtractSums(last.fresh, first.fresh);
  const old = subtractSums(last.old, first.old);
  const failureRate = old.failures / Math.max(1, old.answers);
  const slowRate = old.slow / Math.max(1, old.times);
  const meanTime = old.sumTime / Math.max(1, old.times);
  const expected = { failures: 0, slow: 0, sumTime: 0 };
  for (let index = 1; index < parts.length; index += 1) {
    const before = parts[index - 1] ?? noVersions;
    const after = parts[index] ?? noVersions;
    const partFresh = subtractSums(after.fresh, before.fresh);
    const partOld = subtractSums(after.old, before.old);
    const answers = partOld.answers + priorAnswers;
    const times = partOld.times + priorAnswers;
    expected.failures += partFresh.answers / answers *
      (partOld.failures + priorAnswers * failureRate);
    expected.slow += partFresh.times / times *
      (partOld.slow + priorAnswers * slowRate);
    expected.sumTime += partFresh.times / times *
      (partOld.sumTime + priorAnswers * meanTime);
  }
  return { fresh, old, expected };
}

/** Checks that enough of the new version has been seen. */
function checkAmount(sums: VersionSums): Verdict {
  const all = [...sums].filter(([, { old }]) => old.answers > 0);
  const total = all.reduce((sum, [, { old }]) => sum + old.answers, 0);
  const seen = all.reduce((sum, [, { fresh }]) => sum + fresh.answers, 0);
  if (seen < minAnswers) {
    return { kind: "thin", reason: `${seen} answers of the new version` };
  }
  for (const [route, { fresh, old }] of all) {
    const isThin = old.answers >= routeShare * total &&
      fresh.answers < minRouteAnswers;
    if (isThin) {
      return { kind: "thin", reason: `${route}: ${fresh.answers} answers` };
    }
  }
  return { kind: "sound" };
}

/** Finds why the new version's answers are worse; undefined if they are not. */
function compareVersions(
  comparison: Comparison,
  limits: Limits,
): string | undefined {
  return compareRates(comparison, limits) ?? compareTimes(comparison, limits);
}

function compareRates(
  comparison: Comparison,
  limits: Limits,
): string | undefined {
  return compareFailures(comparison, limits) ?? compareSlow(comparison, limits);
}

/** Adds the answers of several routes, and what was expected of each. */
function addComparisons(comparisons: readonly Comparison[]): Comparison {
  let total: Comparison = {
    fresh: noAnswers,
    old: noAnswers,
    expected: { failures: 0, slow: 0, sumTime: 0 },
  };
  for (const { fresh, old, expected } of comparisons) {
    total = {
      fresh: addSums(total.fresh, fresh),
      old: addSums(total.old, old),
      expected: {
        failures: total.expected.failures + expected.failures,
        slow: total.expected.slow + expected.slow,
        sumTime: total.expected.sumTime + expected.sumTime,
      },
    };
  }
  return total;
}

function compareFailures(
  { fresh, old, expected }: Comparison,
  { probability }: Limits,
): string | undefined {
  const isWorse = hasHigherRate(
    { bad: fresh.failures, answers: fresh.answers },
    { expected: expected.failures, old: old.answers },
    { probability, usualRate: usualFailureRate },
  );
  return isWorse
    ? `${fresh.failures} of ${fresh.answers} answers failed, of the old version ` +
      `${old.failures} of ${old.answers}`
    : undefined;
}

function compareSlow(
  { fresh, old, expected }: Comparison,
  { probability }: Limits,
): string | undefined {
  const isWorse = hasHigherRate(
    { bad: fresh.slow, answers: fresh.times },
    { expected: expected.slow, old: old.times },
    { probability, usualRate: usualSlowRate },
  );
  return isWorse
    ? `${fresh.slow} of ${fresh.times} answers were slow, of the old version ` +
      `${old.slow} of ${old.times}`
    : undefined;
}

/** Whether more answers of the new version are bad than chance would have. */
function hasHigherRate(
  { bad, answers }: { readonly bad: number; readonly answers: number },
  { expected, old }: { readonly expected: number; readonly old: number },
  { probability, usualRate }: {
    readonly probability: number;
    readonly usualRate: number;
  },
): boolean {
  if (bad < minBadAnswers) return false;
  const oldRate = expected / answers + 1 / (old + 2);
  const rate = Math.max(usualRate, Math.min(1, oldRate * rateRatio));
  return computeBinomialTail(bad, answers, rate) < probability;
}

function compareTimes(
  { fresh, old, expected }: Comparison,
  { errors, difference }: Limits,
): string | undefined {
  if (fresh.times < minTimes || old.times < minTimes) return undefined;
  const by = (fresh.sumTime - expected.sumTime) / fresh.times / logSteps;
  const oldVariance = computeVariance(old);
  // Few times may happen to lie close together.
  const freshVariance = Math.max(oldVariance, computeVariance(fresh));
  const error = Math.sqrt(
    freshVariance / fresh.times + oldVariance / old.times,
  );
  return by > difference && by > errors * error
    ? `answers are ${Math.exp(by).toFixed(2)} times slower in the mean ` +
      `(${fresh.times} and ${old.times} answers)`
    : undefined;
}

/** Variance of the logarithm of a time. */
function computeVariance(
  { times, sumTime, sumTimeSquares }: AnswerSums,
): number {
  const mean = sumTime / times;
  const variance = (sumTimeSquares / times - mean * mean) / logSteps ** 2;
  return Math.max(minDeviation ** 2, variance * times / (times - 1));
}

/** Probability of at least `least` successes among `count` of rate `rate`. */
export function computeBinomialTail(
  least: number,
  count: number,
  rate: number,
): number {
  if (rate >= 1) return 1;
  // The first terms are too small for a number if there are many answers.
  let logTerm = count * Math.log1p(-rate);
  let below = 0;
  for (let successes = 0; successes < least; successes += 1) {
    below += Math.exp(logTerm);
    const ratio = (count - successes) / (successes + 1) * rate / (1 - rate);
    logTerm += Math.log(ratio);
  }
  return Math.max(0, 1 - below);
}

function addSums(sums: AnswerSums, more: AnswerSums): AnswerSums {
  return subtractSums(sums, subtractSums(noAnswers, more));
}

function subtractSums(sums: AnswerSums, base: AnswerSums): AnswerSums {
  return {
    answers: sums.answers - base.answers,
    failures: sums.failures - base.failures,
    slow: sums.slow - base.slow,
    times: sums.times - base.times,
    sumTime: sums.sumTime - base.sumTime,
    sumTimeSquares: sums.sumTimeSquares - base.sumTimeSquares,
  };
}

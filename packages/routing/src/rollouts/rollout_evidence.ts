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

/** Sums of one kind of answers; times are sums of `formatTime`'s values. */
export interface AnswerSums {
  readonly answers: number;
  readonly failures: number;
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
  probability: 1e-4,
  errors: 3.7,
  difference: 0.28,
};
/** Failures of a version that say nothing yet. */
const minFailures = 3;
/** Times of each version below which they are not compared. */
const minTimes = 8;
/** Failure rate that a good version may have while the old one has none. */
const usualFailureRate = 0.01;
/** Ratio of failure rates that a good version may have. */
const failureRatio = 1.5;
/** Least standard deviation of a logarithm of a time. */
const minDeviation = 0.15;
/** Steps of a logarithm of a time, so that sums are integers. */
const logSteps = 100;
/** Lengths of the windows that are compared, in milliseconds. */
const windowsMs: readonly number[] = [3_000, 8_000, Infinity];
const snapshotMs = 400;
/** Answers of the new version without which nothing is known of it. */
const minAnswers = 20;
/** The same of each route that has a good part of the traffic. */
const minRouteAnswers = 5;
/** Part of the old version's answers from which on a route counts as such. */
const routeShare = 0.1;

export const noAnswers: AnswerSums = {
  answers: 0,
  failures: 0,
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

/** Evidence on one order. Times are monotonic, in milliseconds. */
export class RolloutEvidence {
  #snapshots: Snapshot[] = [];

  static create(): RolloutEvidence {
    return new RolloutEvidence();
  }

  /** Records the present sums over all nodes. */
  record(sums: VersionSums, now: number): void {
    const last = this.#snapshots.at(-1);
    if (last !== undefined && now - last.at < snapshotMs) return;
    this.#snapshots.push({ at: now, sums });
    const longestMs = Math.max(...windowsMs.filter(Number.isFinite));
    this.#snapshots = this.#snapshots.filter(({ at }, index) =>
      index === 0 || now - at <= longestMs + snapshotMs
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
      const base = this.#findBase(now - windowMs);
      for (const [route, { fresh, old }] of sums) {
        const before = base?.get(route);
        const reason = compareVersions(
          subtractSums(fresh, before?.fresh ?? noAnswers),
          subtractSums(old, before?.old ?? noAnswers),
          limits,
        );
        if (reason !== undefined) {
          return { kind: "bad", reason: `${route}: ${reason}` };
        }
      }
    }
    return { kind: "sound" };
  }

  /** Finds the sums at the begin of a window; undefined for all of the time. */
  #findBase(since: number): VersionSums | undefined {
    return this.#snapshots.findLast(({ at }) => at <= since)?.sums;
  }
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
  fresh: AnswerSums,
  old: AnswerSums,
  limits: Limits,
): string | undefined {
  return compareFailures(fresh, old, limits) ??
    compareTimes(fresh, old, limits);
}

function compareFailures(
  fresh: AnswerSums,
  old: AnswerSums,
  { probability }: Limits,
): string | undefined {
  if (fresh.failures < minFailures) return undefined;
  const oldRate = (old.failures + 1) / (old.answers + 2);
  const rate = Math.max(usualFailureRate, Math.min(1, oldRate * failureRatio));
  const tail = computeBinomialTail(fresh.failures, fresh.answers, rate);
  return tail < probability
    ? `${fresh.failures} of ${fresh.answers} answers failed, of the old version ` +
      `${old.failures} of ${old.answers}`
    : undefined;
}

function compareTimes(
  fresh: AnswerSums,
  old: AnswerSums,
  { errors, difference }: Limits,
): string | undefined {
  if (fresh.times < minTimes || old.times < minTimes) return undefined;
  const by = (fresh.sumTime / fresh.times - old.sumTime / old.times) / logSteps;
  const error = Math.sqrt(
    computeVariance(fresh) / fresh.times + computeVariance(old) / old.times,
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
function computeBinomialTail(
  least: number,
  count: number,
  rate: number,
): number {
  if (rate >= 1) return 1;
  let term = Math.exp(count * Math.log1p(-rate));
  let below = 0;
  for (let successes = 0; successes < least; successes += 1) {
    below += term;
    term *= (count - successes) / (successes + 1) * rate / (1 - rate);
  }
  return Math.max(0, 1 - below);
}

function subtractSums(sums: AnswerSums, base: AnswerSums): AnswerSums {
  return {
    answers: sums.answers - base.answers,
    failures: sums.failures - base.failures,
    times: sums.times - base.times,
    sumTime: sums.sumTime - base.sumTime,
    sumTimeSquares: sums.sumTimeSquares - base.sumTimeSquares,
  };
}

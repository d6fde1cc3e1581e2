/**
 * Open-loop arrivals: times are generated in advance and independent of the
 * answers, so a slow system cannot reduce its own load.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Random } from "@almondcrank/common/random.ts";

const millisecondsPerSecond = 1_000;

/** Part of a run in which the rate changes linearly between two values. */
export interface Phase {
  /** Arrivals a second at the start. */
  readonly fromRate: number;
  /** Arrivals a second at the end. */
  readonly toRate: number;
  readonly durationMs: number;
}

/**
 * Parses phases such as `20:5s,20-60:10s,60:30s`: rate or ramp, then duration.
 * `Left` is an error message.
 */
export function parsePhases(text: string): Either<string, readonly Phase[]> {
  const phases: Phase[] = [];
  for (const part of text.split(",")) {
    const match = /^(\d+(?:\.\d+)?)(?:-(\d+(?:\.\d+)?))?:(\d+(?:\.\d+)?)s$/
      .exec(part.trim());
    if (match === null) {
      return Left(
        `"${part}" is not a phase; write RATE:SECONDSs or FROM-TO:SECONDSs, such as 20-60:10s`,
      );
    }
    const fromRate = Number(match[1]);
    phases.push({
      fromRate,
      toRate: match[2] === undefined ? fromRate : Number(match[2]),
      durationMs: Number(match[3]) * millisecondsPerSecond,
    });
  }
  return Right(phases);
}

/** Computes the total duration of the phases in milliseconds. */
export function computeDurationMs(phases: readonly Phase[]): number {
  return phases.reduce((sum, phase) => sum + phase.durationMs, 0);
}

/**
 * Generates the arrival times of a Poisson process over the phases.
 *
 * @returns Milliseconds since the start, ascending.
 */
export function computeArrivals(
  phases: readonly Phase[],
  random: Random,
): readonly number[] {
  const times: number[] = [];
  let start = 0;
  for (const phase of phases) {
    addArrivals(times, start, { phase, random });
    start += phase.durationMs;
  }
  return times;
}

/** Thinning: generates at the highest rate, keeps the current rate's share. */
function addArrivals(
  times: number[],
  start: number,
  source: { readonly phase: Phase; readonly random: Random },
): void {
  const { phase, random } = source;
  const highest = Math.max(phase.fromRate, phase.toRate);
  if (highest <= 0) return;
  const mean = millisecondsPerSecond / highest;
  let at = random.nextExponential(mean);
  while (at < phase.durationMs) {
    const progress = at / phase.durationMs;
    const rate = phase.fromRate + (phase.toRate - phase.fromRate) * progress;
    if (random.next() * highest < rate) times.push(start + at);
    at += random.nextExponential(mean);
  }
}

/**
 * Speed of one incarnation of a replica, in two parts.
 *
 * What the replica is, for good, is learnt slowly: the geometric mean of the slowness
 * that it states, and what its first events took beyond that, which is forgotten in
 * some minutes without observations. What its host suffers now is its last statement
 * relative to that mean, and worth nothing after some hundred milliseconds; where
 * replicas state nothing, a short average of first events takes its place. Neither
 * may grow so large that the replica is never tried again.
 *
 * Answers a load of replicas that differ by a factor of two for good, and by more for
 * moments: a choice that takes moments for speed sends everything to the replicas
 * that were lucky last.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";

/** Weight of the latest observation in the short average. */
const observationWeight = 0.2;
/** Time in which the short average nears the usual value to 1/e. */
const forgetMs = 4_000;
/** Time in which a lasting difference is forgotten to 1/e without observations. */
const lastingForgetMs = 300_000;
/** Time in which a stated slowness loses its worth to 1/e. */
const statementWorthMs = 250;
/** Observations at which the lasting speed is half believed. */
const priorObservations = 6;
/** Observations after which further ones no longer weigh less. */
const maxObservations = 60;
/** Largest factor by which one observation can differ from what is known. */
const maxFactor = 2.5;
/** Bounds of the lasting slowness that statements do not tell of. */
const minLasting = 0.4;
const maxLasting = 2.5;
/** Bounds of the slowness of one observation. */
const maxSlowness = 12;
const minSlowness = 0.5;
/** Time over which observations count as one for the lasting speed. */
const lastingWindowMs = 10_000;
/** Least weight of one statement in the average of stated slowness. */
const statedWeight = 0.03;
/** Largest factor by which one statement can differ from the average. */
const maxStatedFactor = 2;

/** Speed of one replica. Times are monotonic, in milliseconds. */
export class ReplicaSpeed {
  readonly #extraSlowness = DecayingValue.create(forgetMs);
  readonly #logLasting = DecayingValue.create(lastingForgetMs);
  #observations = 0;
  #recordedAt: number | undefined;
  #stated: { readonly slowness: number; readonly at: number } | undefined;
  /** Geometric mean of what the replica states; 1 if it states nothing. */
  #meanStated = 1;
  #statements = 0;

  static create(): ReplicaSpeed {
    return new ReplicaSpeed();
  }

  /** Slowness of the replica itself, without its host's moments; 1 is usual. */
  readLasting(now: number): number {
    return this.#meanStated * this.#readUnstated(now);
  }

  /** Expected slowness of work that begins now; 1 is usual. */
  readSlowness(now: number): number {
    const extra = 1 + this.#extraSlowness.read(now);
    return this.readLasting(now) * extra * this.readMoment(now);
  }

  /** Slowness now by what the replica states; 1 is usual. */
  readStatedSlowness(now: number): number {
    return this.#meanStated * this.readMoment(now);
  }

  /** Last statement relative to their mean, as far as it still counts. */
  readMoment(now: number): number {
    if (this.#stated === undefined) return 1;
    const { slowness, at } = this.#stated;
    const worth = Math.exp((at - now) / statementWorthMs);
    return 1 + (slowness / this.#meanStated - 1) * worth;
  }

  /** Slowness of its host as stated, with its age; undefined if none was. */
  readStated(
    now: number,
  ): { readonly slowness: number; readonly ageMs: number } | undefined {
    if (this.#stated === undefined) return undefined;
    const { slowness, at } = this.#stated;
    return { slowness, ageMs: now - at };
  }

  /** Records the slowness that the replica states of its host. */
  recordStated(slowness: number, now: number): void {
    this.#stated = { slowness, at: now };
    this.#statements += 1;
    const weight = Math.max(statedWeight, 1 / this.#statements);
    const factor = Math.min(
      maxStatedFactor,
      Math.max(1 / maxStatedFactor, slowness / this.#meanStated),
    );
    this.#meanStated *= Math.exp(Math.log(factor) * weight);
  }

  /**
   * Records how long work took.
   *
   * @param ratio Observed time, relative to the usual time of such work.
   */
  recordWork(ratio: number, now: number): void {
    const lasting = this.readLasting(now);
    // A slow moment that the replica stated explains as much of it.
    const rest = ratio / lasting / Math.max(1, this.readMoment(now));
    this.#recordMoment(rest, now);
    this.#recordLasting(rest, now);
  }

  /**
   * Records how long work took whose prediction contained this slowness and a wait.
   * The wait is a guess, so it tells of the moment, and nothing of the replica.
   *
   * @param ratio Observed time, relative to the predicted one.
   */
  recordPredicted(ratio: number, now: number): void {
    this.#recordMoment(ratio * (1 + this.#extraSlowness.read(now)), now);
  }

  #recordMoment(rest: number, now: number): void {
    const bounded = Math.min(maxSlowness, Math.max(minSlowness, rest));
    const previous = 1 + this.#extraSlowness.read(now);
    const slowness = previous + observationWeight * (bounded - previous);
    this.#extraSlowness.write(slowness - 1, now);
  }

  #recordLasting(rest: number, now: number): void {
    const elapsedMs = now - (this.#recordedAt ?? now);
    this.#recordedAt = now;
    this.#observations = Math.min(maxObservations, this.#observations + 1);
    const factor = Math.min(maxFactor, Math.max(1 / maxFactor, rest));
    // Many observations of one slow second are no sign of a slow replica.
    const step = Math.min(
      1 / (priorObservations + this.#observations),
      elapsedMs / lastingWindowMs,
    );
    const previous = this.#logLasting.read(now);
    this.#logLasting.write(previous + Math.log(factor) * step, now);
  }

  /** Lasting slowness that the replica's statements do not tell of. */
  #readUnstated(now: number): number {
    const log = this.#logLasting.read(now);
    return Math.min(maxLasting, Math.max(minLasting, Math.exp(log)));
  }
}

/**
 * Seeded random numbers.
 *
 * Decisions that are drawn at random take a `Random`, so that a run can be
 * repeated from its seed.
 */

import { randomInt } from "node:crypto";
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";

const range = 0x1_0000_0000;
/** Numbers after which the state no longer shows that a seed was small. */
const discardedNumbers = 64;

/** Uniform random numbers from one seed. */
export class Random {
  readonly #generator: RandomGenerator;

  private constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let count = 0; count < discardedNumbers; count++) this.next();
  }

  /** @param seed Whole number; drawn from the system when left out. */
  static create(seed: number = randomInt(0x7fff_ffff)): Random {
    return new Random(seed);
  }

  /** Uniform in [0, 1). */
  next(): number {
    return (this.#generator.unsafeNext() >>> 0) / range;
  }

  /** Uniform whole number in [0, bound). */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Exponentially distributed with the given mean. */
  nextExponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** One item of a non-empty list. */
  choose<T>(items: readonly T[]): T {
    const item = items[this.nextInt(items.length)];
    if (item === undefined) throw new Error("cannot choose from an empty list");
    return item;
  }
}

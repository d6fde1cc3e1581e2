/**
 * Seeded pseudo-random numbers.
 *
 * Code that makes random decisions takes a `Random`, so that a run can be
 * repeated from its seed.
 */

import { randomInt } from "node:crypto";
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";

const range = 0x1_0000_0000;
/**
 * Outputs discarded after seeding; the first ones of small seeds are not
 * uniform.
 */
const discardedNumbers = 64;

/** Pseudo-random number generator with one seed. */
export class Random {
  readonly #generator: RandomGenerator;

  private constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let count = 0; count < discardedNumbers; count++) this.next();
  }

  /** @param seed Integer; by default a random one from the operating system. */
  static create(seed: number = randomInt(0x7fff_ffff)): Random {
    return new Random(seed);
  }

  /** Uniform in [0, 1). */
  next(): number {
    return (this.#generator.unsafeNext() >>> 0) / range;
  }

  /** Uniform integer in [0, bound). */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Exponentially distributed with the given mean. */
  nextExponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** Uniform choice from a list; throws when it is empty. */
  choose<T>(items: readonly T[]): T {
    const item = items[this.nextInt(items.length)];
    if (item === undefined) throw new Error("cannot choose from an empty list");
    return item;
  }
}

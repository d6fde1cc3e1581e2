/**
 * Slowly changing facts in the order in which this node learned them.
 *
 * A peer that has read up to a position asks for what came later. A checksum
 * over all facts lets two nodes that know the same skip the comparison.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";

interface Entry<T> {
  readonly position: number;
  readonly hash: number;
  readonly value: T;
}

/** Facts by key with the position of their last change. */
export class ChangeLog<T> {
  readonly #hasher: Hasher;
  /** Insertion order is the order of positions. */
  readonly #entries = new Map<string, Entry<T>>();
  #position = 0;
  #checksum = 0;

  private constructor(hasher: Hasher) {
    this.#hasher = hasher;
  }

  static create<T>(hasher: Hasher): ChangeLog<T> {
    return new ChangeLog<T>(hasher);
  }

  /** Position of the last change. */
  get position(): number {
    return this.#position;
  }

  /** Depends on the facts alone, not on the order in which they came. */
  get checksum(): number {
    return this.#checksum;
  }

  /**
   * Records that `key` changed.
   *
   * @param content What of the fact goes into the checksum.
   */
  set(key: string, content: string, value: T): void {
    this.remove(key);
    const hash = this.#hasher.hash32(`${key}\u0000${content}`);
    this.#position++;
    this.#entries.set(key, { position: this.#position, hash, value });
    this.#checksum = (this.#checksum ^ hash) >>> 0;
  }

  remove(key: string): void {
    const entry = this.#entries.get(key);
    if (entry === undefined) return;
    this.#entries.delete(key);
    this.#checksum = (this.#checksum ^ entry.hash) >>> 0;
  }

  /** Lists facts that changed after `position`. */
  list(position: number): readonly T[] {
    const found: T[] = [];
    for (const entry of this.#entries.values()) {
      if (entry.position > position) found.push(entry.value);
    }
    return found;
  }
}

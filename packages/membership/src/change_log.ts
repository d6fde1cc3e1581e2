/**
 * Entries in the order in which they last changed at this node.
 *
 * A peer that has read up to a position asks for the changes after it. A
 * checksum over all entries lets two nodes with the same entries skip that.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";

interface Entry<T> {
  readonly position: number;
  readonly hash: number;
  readonly value: T;
}

/** Entries by key with the position of their last change. */
export class ChangeLog<T> {
  readonly #hasher: Hasher;
  /** In the order of positions, since a change inserts the entry again. */
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

  /** Depends on the entries alone, not on the order of their changes. */
  get checksum(): number {
    return this.#checksum;
  }

  /**
   * Records that `key` changed.
   *
   * @param content Part of the entry that the checksum covers, beside its key.
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

  /** Lists the values that changed after `position`. */
  list(position: number): readonly T[] {
    const found: T[] = [];
    for (const entry of this.#entries.values()) {
      if (entry.position > position) found.push(entry.value);
    }
    return found;
  }
}

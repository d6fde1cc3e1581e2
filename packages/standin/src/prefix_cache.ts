/**
 * An engine's KV memory in blocks: pinned by running requests, or kept for
 * later requests with the same prefix and evicted least recently used first.
 */

/** Blocks that came and went by one operation. */
export interface CacheChange {
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

/** Cache over hash chains, bounded in blocks. */
export class PrefixCache {
  readonly capacity: number;
  /** Number of running requests that use a block. */
  readonly #pinned = new Map<number, number>();
  /** Blocks no request uses, least recently used first. */
  readonly #idle = new Set<number>();

  private constructor(capacity: number) {
    this.capacity = capacity;
  }

  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Blocks in memory. */
  get size(): number {
    return this.#pinned.size + this.#idle.size;
  }

  get pinnedSize(): number {
    return this.#pinned.size;
  }

  has(block: number): boolean {
    return this.#pinned.has(block) || this.#idle.has(block);
  }

  /** Counts the leading blocks of a chain that are in memory. */
  countPrefixBlocks(chain: readonly number[]): number {
    let count = 0;
    while (count < chain.length && this.has(chain[count]!)) count += 1;
    return count;
  }

  /**
   * Pins blocks for one request, storing those that are new.
   *
   * Pinned blocks are never evicted, so output that outgrows the capacity
   * exceeds it until its request ends.
   */
  add(blocks: readonly number[]): CacheChange {
    const stored: number[] = [];
    for (const block of blocks) {
      const pins = this.#pinned.get(block) ?? 0;
      if (pins === 0 && !this.#idle.delete(block)) stored.push(block);
      this.#pinned.set(block, pins + 1);
    }
    return { stored, evicted: this.#removeOldest() };
  }

  /** Ends one request's use of blocks; the end of its chain is evicted first. */
  release(blocks: readonly number[]): CacheChange {
    for (const block of [...blocks].reverse()) {
      const pins = this.#pinned.get(block) ?? 0;
      if (pins > 1) {
        this.#pinned.set(block, pins - 1);
      } else if (this.#pinned.delete(block)) {
        this.#idle.add(block);
      }
    }
    return { stored: [], evicted: this.#removeOldest() };
  }

  /** Drops every block that no request uses. */
  removeIdle(): CacheChange {
    const evicted = [...this.#idle];
    this.#idle.clear();
    return { stored: [], evicted };
  }

  #removeOldest(): number[] {
    const evicted: number[] = [];
    for (const block of this.#idle) {
      if (this.size <= this.capacity) break;
      this.#idle.delete(block);
      evicted.push(block);
    }
    return evicted;
  }
}

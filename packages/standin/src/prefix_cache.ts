/**
 * Prefix cache of a stand-in engine: KV memory in blocks.
 *
 * A block is pinned while running requests use it. Afterwards it is kept for
 * later requests with the same prefix; least recently used blocks are evicted
 * first.
 */

/** Blocks that one operation stored and evicted. */
export interface CacheChange {
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

/** Cache of blocks by hash; its capacity is a number of blocks. */
export class PrefixCache {
  readonly capacity: number;
  /** Number of running requests that use a block. */
  readonly #pinned = new Map<number, number>();
  /** Blocks that no request uses, least recently used first. */
  readonly #idle = new Set<number>();

  private constructor(capacity: number) {
    this.capacity = capacity;
  }

  static create(capacity: number): PrefixCache {
    return new PrefixCache(capacity);
  }

  /** Number of blocks in memory. */
  get size(): number {
    return this.#pinned.size + this.#idle.size;
  }

  /** Number of pinned blocks. */
  get pinnedSize(): number {
    return this.#pinned.size;
  }

  has(block: number): boolean {
    return this.#pinned.has(block) || this.#idle.has(block);
  }

  /** Counts the leading blocks of a request that are in memory. */
  countPrefixBlocks(blocks: readonly number[]): number {
    let count = 0;
    while (count < blocks.length && this.has(blocks[count]!)) count += 1;
    return count;
  }

  /**
   * Pins blocks for one request and stores those that are new.
   *
   * Pinned blocks are never evicted. Output may therefore exceed the capacity
   * until its request ends.
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

  /** Unpins one request's blocks; its last block is the first to be evicted. */
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

  /** Evicts every block that no request uses. */
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

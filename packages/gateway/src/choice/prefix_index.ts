/**
 * Approximate index of the replicas that have a part of a prompt in their prefix
 * cache.
 *
 * The index holds only what this node sent itself. For other parts the nodes rely
 * on rendezvous order, which is the same on all of them, and need not exchange the
 * index. Its size is bounded; the least recently used part is evicted.
 */

import type { PromptPart } from "@almondcrank/platform/headers.ts";

/** Largest number of parts in the index. */
const maxParts = 4_096;
/** Largest number of replicas for one part; the least recently used is evicted. */
const maxHolders = 6;

/** LRU index from prompt parts to the replicas that hold them. */
export class PrefixIndex {
  readonly #holders = new Map<string, Map<string, number>>();

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Records that these parts were sent to a replica. */
  record(parts: readonly PromptPart[], replicaKey: string, now: number): void {
    for (const { id } of parts) {
      const holders = this.#holders.get(id) ?? new Map<string, number>();
      this.#holders.delete(id);
      this.#holders.set(id, holders);
      holders.delete(replicaKey);
      holders.set(replicaKey, now);
      if (holders.size > maxHolders) removeOldest(holders);
    }
    while (this.#holders.size > maxParts) removeOldest(this.#holders);
  }

  /** Sums the tokens of the leading parts that were sent to the replica before. */
  computeCachedTokens(
    parts: readonly PromptPart[],
    replicaKey: string,
  ): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.#holders.get(part.id)?.has(replicaKey)) break;
      tokens += part.tokens;
    }
    return tokens;
  }
}

function removeOldest<T>(map: Map<string, T>): void {
  for (const key of map.keys()) {
    map.delete(key);
    return;
  }
}

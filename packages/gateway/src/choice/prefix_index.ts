/**
 * Which replicas probably hold which parts of prompts.
 *
 * Learnt from this node's own sends. For parts it has not sent itself, the part's
 * rendezvous order tells where the other nodes would have sent it, so nodes agree
 * without telling each other. Memory is bounded; the part used longest ago goes.
 */

import type { PromptPart } from "@almondcrank/platform/headers.ts";

const maxParts = 4_096;
/** Replicas remembered for one part. */
const maxHolders = 6;

/** Parts and their holders. */
export class PrefixIndex {
  readonly #holders = new Map<string, Map<string, number>>();

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Records that a replica reads these parts. */
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

  /** Tokens of the leading parts that the replica was sent before. */
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

/**
 * Recent use of one tenant's allowance, by the nodes that admitted it.
 *
 * Where relays sum the reports, nothing tells which of the summed nodes admitted
 * what, so their use counts as even among them. A sum must not count as heard as a
 * whole while only some of its nodes are: each side of a cut would take itself for
 * the one that uses most.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";

/** Name under which the use of all nodes counts that are only known from sums. */
export const summedPeers = "summed";

/** Time in which recent use decays to 1/e. */
export const useDecayMs = 8_000;

/** Use of one tenant's allowance. Times are monotonic, in milliseconds. */
export class PeerUse {
  readonly #own = DecayingValue.create(useDecayMs);
  readonly #named = new Map<string, DecayingValue>();
  readonly #summed = DecayingValue.create(useDecayMs);

  static create(): PeerUse {
    return new PeerUse();
  }

  /** Adds cost that this node admitted. */
  addOwn(cost: number, now: number): void {
    this.#own.add(cost, now);
  }

  /** Adds cost that a peer admitted, or all that are only known from sums. */
  add(peer: string, cost: number, now: number): void {
    if (peer === summedPeers) return this.#summed.add(cost, now);
    let use = this.#named.get(peer);
    if (use === undefined) {
      use = DecayingValue.create(useDecayMs);
      this.#named.set(peer, use);
    }
    use.add(cost, now);
  }

  /** Reads the recent use of this node. */
  readOwn(now: number): number {
    return this.#own.read(now);
  }

  /** Sums the recent use of this node and of some of the known peers. */
  sum(
    peers: readonly string[],
    known: readonly string[],
    now: number,
  ): number {
    let sum = this.#own.read(now);
    let summed = 0;
    for (const peer of peers) {
      const use = this.#named.get(peer);
      if (use === undefined) summed += 1;
      else sum += use.read(now);
    }
    if (summed === 0) return sum;
    const allSummed = known.reduce(
      (count, peer) => this.#named.has(peer) ? count : count + 1,
      0,
    );
    const part = Math.min(1, summed / Math.max(1, allSummed));
    return sum + this.#summed.read(now) * part;
  }
}

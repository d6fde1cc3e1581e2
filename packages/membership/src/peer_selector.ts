/**
 * Chooses the next peer for an exchange.
 *
 * Exchanges go round the reachable members in a random order that is shuffled
 * for each round, so each is called once a round. Separately, suspected members
 * and unknown seeds are tried in turn, so that the system converges again after
 * a network partition.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { Member } from "./membership.ts";

/** Turns between reconnects to one address: many nodes may try it at once. */
const reconnectTurns = 6;

/** A node to call. The name of a seed is unknown. */
export interface ExchangeTarget {
  readonly node: string | undefined;
  readonly address: Address;
}

/** Nodes to try again, out of turn. */
export interface ReconnectCandidates {
  /** Members that are suspected or whose last call failed. */
  readonly unresponsive: readonly Member[];
  /** Seeds at addresses of no known member. */
  readonly unknownSeeds: readonly Address[];
}

/** Chooses the peers of one node's exchanges. */
export class PeerSelector {
  readonly #random: Random;
  #round: string[] = [];
  /** Turn of the last reconnect by address; -Infinity for none. */
  #reconnects = new Map<Address, number>();
  #turn = 0;

  private constructor(random: Random) {
    this.#random = random;
  }

  static create(random: Random): PeerSelector {
    return new PeerSelector(random);
  }

  /** Chooses the next peer among members that are alive or leaving. */
  choose(reachable: readonly Member[]): ExchangeTarget | undefined {
    const byName = new Map(
      reachable.map((member) => [member.identity.node, member] as const),
    );
    if (this.#round.length === 0) {
      this.#round = this.#shuffle([...byName.keys()]);
    }
    for (let node = this.#round.pop(); node; node = this.#round.pop()) {
      const member = byName.get(node);
      if (member !== undefined) return createTarget(member);
    }
    const member = reachable[0];
    return member && createTarget(member);
  }

  /**
   * Chooses the candidate that was tried longest ago; undefined when there is
   * none or all were tried within the last few turns.
   */
  chooseReconnect(input: ReconnectCandidates): ExchangeTarget | undefined {
    this.#turn++;
    const targets = [
      ...input.unresponsive.map(createTarget),
      ...input.unknownSeeds.map((address) => ({ node: undefined, address })),
    ];
    const last = this.#reconnects;
    this.#reconnects = new Map();
    let oldest: ExchangeTarget | undefined;
    let oldestTurn = this.#turn - reconnectTurns + 1;
    for (const target of targets) {
      const turn = last.get(target.address) ?? -Infinity;
      this.#reconnects.set(target.address, turn);
      if (turn >= oldestTurn) continue;
      oldest = target;
      oldestTurn = turn;
    }
    if (oldest !== undefined) this.#reconnects.set(oldest.address, this.#turn);
    return oldest;
  }

  #shuffle(names: string[]): string[] {
    for (let i = names.length - 1; i > 0; i--) {
      const j = this.#random.nextInt(i + 1);
      [names[i], names[j]] = [names[j]!, names[i]!];
    }
    return names;
  }
}

function createTarget({ identity }: Member): ExchangeTarget {
  return { node: identity.node, address: identity.peerAddress };
}

/**
 * Chooses whom to exchange with next.
 *
 * Exchanges go round the reachable members in a random order that is drawn anew
 * for each round, so each is met within one round. Beside them, members that are
 * suspected and seeds that are unknown are tried in turn, so that a split heals.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { Member } from "./membership.ts";

/** Turns between two repairs of one node, so that many do not press on it. */
const repairTurns = 6;

/** A node to call; the name is unknown for a seed. */
export interface ExchangeTarget {
  readonly node: string | undefined;
  readonly address: Address;
}

/** What needs repair. */
export interface ReconnectCandidates {
  /** Members that are suspected or whose last call failed. */
  readonly unresponsive: readonly Member[];
  /** Seeds at addresses of no known member. */
  readonly unknownSeeds: readonly Address[];
}

/** Order of exchanges of one node. */
export class PeerSelector {
  readonly #random: Random;
  #round: string[] = [];
  /** Turn of the last repair by address. */
  #repairs = new Map<Address, number>();
  #turn = 0;

  private constructor(random: Random) {
    this.#random = random;
  }

  static create(random: Random): PeerSelector {
    return new PeerSelector(random);
  }

  /** Chooses the next of the members that are alive or leaving. */
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
   * Chooses what was tried longest ago; undefined when all is well or all were
   * tried a few turns ago.
   */
  chooseReconnect(input: ReconnectCandidates): ExchangeTarget | undefined {
    this.#turn++;
    const targets = [
      ...input.unresponsive.map(createTarget),
      ...input.unknownSeeds.map((address) => ({ node: undefined, address })),
    ];
    const last = this.#repairs;
    this.#repairs = new Map();
    let oldest: ExchangeTarget | undefined;
    let oldestTurn = this.#turn - repairTurns + 1;
    for (const target of targets) {
      const turn = last.get(target.address) ?? -Infinity;
      this.#repairs.set(target.address, turn);
      if (turn >= oldestTurn) continue;
      oldest = target;
      oldestTurn = turn;
    }
    if (oldest !== undefined) this.#repairs.set(oldest.address, this.#turn);
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

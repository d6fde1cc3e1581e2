/**
 * Chooses whom to exchange with next.
 *
 * Most turns go round the reachable members in a random order that is drawn
 * anew for each round, so each is met within one round. Some turns try members
 * that are suspected or seeds that are unknown, so that a split heals.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { Member } from "./membership.ts";

/** One turn in so many goes to a repair, while there is something to repair. */
const repairEvery = 4;

/** A node to call; the name is unknown for a seed. */
export interface ExchangeTarget {
  readonly node: string | undefined;
  readonly address: Address;
}

/** Members to choose from. */
export interface ChoiceInput {
  /** Members of the group that are alive or leaving. */
  readonly reachable: readonly Member[];
  /** Members that are suspected or whose last call failed. */
  readonly doubtful: readonly Member[];
  /** Seeds at addresses of no known member. */
  readonly unknownSeeds: readonly Address[];
}

/** Order of exchanges of one node. */
export class PeerChoice {
  readonly #random: Random;
  #round: string[] = [];
  #turn = 0;

  private constructor(random: Random) {
    this.#random = random;
  }

  static create(random: Random): PeerChoice {
    return new PeerChoice(random);
  }

  /** Chooses the next node; undefined when none is known. */
  choose(input: ChoiceInput): ExchangeTarget | undefined {
    this.#turn++;
    const repair = this.#turn % repairEvery === 0;
    if (repair || input.reachable.length === 0) {
      return this.#chooseRepair(input) ?? this.#chooseNext(input.reachable);
    }
    return this.#chooseNext(input.reachable);
  }

  #chooseNext(reachable: readonly Member[]): ExchangeTarget | undefined {
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

  #chooseRepair(input: ChoiceInput): ExchangeTarget | undefined {
    const targets = [
      ...input.doubtful.map(createTarget),
      ...input.unknownSeeds.map((address) => ({ node: undefined, address })),
    ];
    return targets.length === 0 ? undefined : this.#random.choose(targets);
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

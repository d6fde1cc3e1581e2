/**
 * Decides when this node exchanges with whom: one loop for its own group and
 * one for other data centres, which is idle unless this node is a delegate.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { ClusterView } from "./cluster_view.ts";
import type { MemberTable } from "./member_table.ts";
import { type ExchangeTarget, PeerSelector } from "./peer_selector.ts";

/** Shortest share of a period between two exchanges; the longest is 1.25. */
const leastPeriodShare = 0.75;

/** Options of the loops. */
export interface ExchangeLoopsOptions {
  readonly view: ClusterView;
  readonly table: MemberTable;
  readonly seeds: readonly Address[];
  readonly clock: Clock;
  readonly random: Random;
  readonly exchangeMs: number;
  readonly remoteExchangeMs: number;
  /** Exchanges with one node; must not reject. */
  readonly exchange: (target: ExchangeTarget) => Promise<void>;
}

/** The two loops. */
export class ExchangeLoops {
  readonly #options: ExchangeLoopsOptions;
  readonly #choice: PeerSelector;

  private constructor(options: ExchangeLoopsOptions) {
    this.#options = options;
    this.#choice = PeerSelector.create(options.random);
  }

  static create(options: ExchangeLoopsOptions): ExchangeLoops {
    return new ExchangeLoops(options);
  }

  /** Runs both loops until `signal` aborts. */
  start(signal: AbortSignal): void {
    const { exchangeMs, remoteExchangeMs } = this.#options;
    void this.#run(exchangeMs, {
      signal,
      choose: () => [this.#choosePeer(), this.#chooseRepair()],
    });
    void this.#run(remoteExchangeMs, {
      signal,
      choose: () => [this.#chooseRemote()],
    });
  }

  async #run(
    periodMs: number,
    loop: {
      readonly signal: AbortSignal;
      readonly choose: () => readonly (ExchangeTarget | undefined)[];
    },
  ): Promise<void> {
    const { clock, random, exchange } = this.#options;
    while (!loop.signal.aborted) {
      for (const target of loop.choose()) {
        if (target !== undefined) void exchange(target);
      }
      const share = leastPeriodShare + random.next() / 2;
      await clock.sleep(periodMs * share, loop.signal);
    }
  }

  #choosePeer(): ExchangeTarget | undefined {
    const { view } = this.#options;
    return this.#choice.choose(
      view.listReachable()
        .filter(({ identity }) => !view.isRemote(identity.zone)),
    );
  }

  #chooseRepair(): ExchangeTarget | undefined {
    const { view, table, seeds } = this.#options;
    const members = table.list();
    const known = new Set(members.map(({ identity }) => identity.peerAddress));
    const suspected = members.filter(({ identity, state }) =>
      state === "suspected" && !view.isRemote(identity.zone)
    );
    return this.#choice.chooseReconnect({
      unresponsive: [...suspected, ...table.listFailing()],
      unknownSeeds: seeds.filter((seed) =>
        seed !== view.self.peerAddress && !known.has(seed)
      ),
    });
  }

  /** A member of another data centre, preferably one of its delegates. */
  #chooseRemote(): ExchangeTarget | undefined {
    const { view, table, random } = this.#options;
    if (view.isSmallSystem() || !view.isDelegate()) return undefined;
    const members = table.list()
      .filter(({ identity }) => view.isRemote(identity.zone));
    if (members.length === 0) return undefined;
    const zones = [...new Set(members.map(({ identity }) => identity.zone))];
    const zone = random.choose(zones);
    const delegates = view.listDelegates(zone);
    const inZone = members.filter(({ identity }) => identity.zone === zone)
      .map(({ identity }) => identity.node);
    const node = random.choose(delegates.length > 0 ? delegates : inZone);
    const address = table.find(node)?.identity.peerAddress;
    return address === undefined ? undefined : { node, address };
  }
}

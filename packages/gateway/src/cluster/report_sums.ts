/**
 * Sums that relays report, of one zone or of the whole system, as their receiver
 * follows them.
 */

import type { NodeLoad } from "@almondcrank/routing/placement/work_left.ts";
import { CounterTracker } from "./counter_tracker.ts";
import type { PeerReport } from "./peer_messages.ts";
import type { Counters } from "./report_counters.ts";

/** Loads by replica, as reports list them. */
export type LoadList = PeerReport["loads"];

/** Sums of one group of nodes. Times are monotonic, in milliseconds. */
export class ReportSums {
  readonly #tracker = CounterTracker.create();
  #loads: LoadList = [];
  #loadsAt = -Infinity;

  static create(): ReportSums {
    return new ReportSums();
  }

  /**
   * Applies the report of a relay.
   *
   * @returns The changes of the counters; undefined if another relay is followed.
   */
  apply(
    relay: string,
    { counters, loads }: {
      readonly counters: Counters;
      readonly loads: LoadList;
    },
    now: number,
  ): Counters | undefined {
    const changes = this.#tracker.apply(relay, counters, now);
    if (changes === undefined) return undefined;
    this.#loads = loads;
    this.#loadsAt = now;
    return changes;
  }

  /** Lists the loads, unless they are older than `maxAgeMs`. */
  listLoads(now: number, maxAgeMs: number): LoadList {
    return now - this.#loadsAt <= maxAgeMs ? this.#loads : [];
  }
}

/** Sum of several nodes' load on each replica. */
export class LoadSums {
  readonly #sums = new Map<string, NodeLoad>();

  static create(): LoadSums {
    return new LoadSums();
  }

  /** Adds loads; a factor of -1 takes them away. */
  add(loads: LoadList, factor: 1 | -1 = 1): void {
    for (const [key, active, pendingTokens, activeTokens] of loads) {
      const sum = this.#sums.get(key);
      this.#sums.set(key, {
        active: (sum?.active ?? 0) + active * factor,
        pendingTokens: (sum?.pendingTokens ?? 0) + pendingTokens * factor,
        activeTokens: (sum?.activeTokens ?? 0) + activeTokens * factor,
      });
    }
  }

  /** Reads the load of a replica; never below 0. */
  read(key: string): NodeLoad {
    const sum = this.#sums.get(key);
    return {
      active: Math.max(0, sum?.active ?? 0),
      pendingTokens: Math.max(0, sum?.pendingTokens ?? 0),
      activeTokens: Math.max(0, sum?.activeTokens ?? 0),
    };
  }

  /** Lists the loads above 0. */
  list(): LoadList {
    return [...this.#sums.keys()].flatMap((key): LoadList => {
      const { active, pendingTokens, activeTokens } = this.read(key);
      return active > 0 ? [[key, active, pendingTokens, activeTokens]] : [];
    });
  }
}

/**
 * Notices relays that do not answer, so that others are chosen.
 *
 * A relay sends to those that report to it in every tick. One that has been silent
 * for several ticks since it was chosen is left out for some time. Without this,
 * nodes whose relays all died at once would wait for news from these relays.
 */

import type { Member } from "./member_table.ts";

/** Silence after which a chosen relay is left out. */
const relayTimeoutMs = 1_500;
/** Time for which it is left out unless it sends again. */
const leftOutMs = 6_000;

/** Relays of one node and their silence. Times are monotonic, in milliseconds. */
export class RelayWatch {
  /** Time since which each relay is chosen. */
  #chosenSince = new Map<string, number>();
  readonly #leftOutUntil = new Map<string, number>();

  static create(): RelayWatch {
    return new RelayWatch();
  }

  /** Records which relays are chosen at `now`. */
  record(relays: readonly Member[], now: number): void {
    const chosenSince = new Map<string, number>();
    for (const relay of relays) {
      const since = this.#chosenSince.get(relay.node) ?? now;
      const heardAt = relay.datagram?.receivedAt ?? -Infinity;
      if (now - Math.max(since, heardAt) <= relayTimeoutMs) {
        chosenSince.set(relay.node, since);
      } else {
        this.#leftOutUntil.set(relay.node, now + leftOutMs);
      }
    }
    this.#chosenSince = chosenSince;
  }

  /** Whether a node may be chosen as a relay. */
  isEligible({ node, datagram }: Member, now: number): boolean {
    const until = this.#leftOutUntil.get(node);
    if (until === undefined) return true;
    const isHeard = datagram !== undefined &&
      now - datagram.receivedAt <= relayTimeoutMs;
    if (now < until && !isHeard) return false;
    this.#leftOutUntil.delete(node);
    return true;
  }
}

/**
 * Keeps the first replicas in rendezvous order of the shared prefixes in use.
 *
 * To order thousands of replicas for each request takes milliseconds. The order of a
 * prefix changes only when the list of replicas does, so its beginning is kept as
 * long as that list is. Replicas that are out of use for a time are skipped.
 */

import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Number of replicas that are kept of each order. */
const keptReplicas = 24;
/** Largest number of prefixes of which an order is kept. */
const maxParts = 1_024;

type ReplicaList = readonly ReplicaState[];

/** Which replicas of an order are wanted. */
export interface OrderQuery {
  readonly isUsable: (state: ReplicaState) => boolean;
  readonly most: number;
}

/** Orders of the replicas of all services. */
export class CandidateOrder {
  readonly #hasher: Hasher;
  /** Beginnings of orders by the list that they order, then by prefix. */
  readonly #orders = new WeakMap<ReplicaList, Map<string, ReplicaList>>();

  private constructor(hasher: Hasher) {
    this.#hasher = hasher;
  }

  static create(hasher: Hasher): CandidateOrder {
    return new CandidateOrder(hasher);
  }

  /** Lists the first usable replicas in the order of a prefix. */
  listFirst(
    states: ReplicaList,
    partId: string,
    { isUsable, most }: OrderQuery,
  ): ReplicaList {
    const kept = this.#readOrder(states, partId).filter(isUsable);
    if (kept.length >= most || states.length <= keptReplicas) {
      return kept.slice(0, most);
    }
    return this.#computeOrder(states.filter(isUsable), partId).slice(0, most);
  }

  #readOrder(states: ReplicaList, partId: string): ReplicaList {
    const orders = this.#orders.get(states) ?? new Map<string, ReplicaList>();
    this.#orders.set(states, orders);
    const known = orders.get(partId);
    if (known !== undefined) return known;
    const order = this.#computeOrder(states, partId).slice(0, keptReplicas);
    if (orders.size >= maxParts) {
      const [oldest] = orders.keys();
      if (oldest !== undefined) orders.delete(oldest);
    }
    orders.set(partId, order);
    return order;
  }

  #computeOrder(states: ReplicaList, partId: string): ReplicaList {
    const byKey = new Map(states.map((state) => [state.key, state]));
    return computeRendezvousOrder(this.#hasher, partId, [...byKey.keys()])
      .flatMap((key) => byKey.get(key) ?? []);
  }
}

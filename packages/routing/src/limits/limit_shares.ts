/**
 * Splits the limit of requests a second that a replica names among the nodes.
 *
 * Nodes can't ask each other before each request, and a limit of a few requests a
 * second has no useful part for each of many nodes. So rendezvous hashing chooses a
 * few nodes for each limit, such that each has a share worth using; the others send
 * nothing. A share that its nodes leave unused passes to the next ones.
 */

import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { RequestLimit } from "./request_limit.ts";

/** Smallest share of a node, in requests a second, if the limit allows it. */
const minSharePerSecond = 0.5;
/**
 * Smallest rate that is shared, in requests a second: without any request it would
 * never be known that a limit has ended.
 */
const minPerSecond = 0.2;
/**
 * Part of its even share that a node takes which has just started and hears nobody:
 * there may be more nodes than the addresses that it knows.
 */
export const aloneShare = 0.3;
/** Time in which a share counts as unused, beside that of two of its requests. */
const unusedMs = 3_000;
const requestsUntilUnused = 2;

/** How well a node knows those that share its limits. */
export interface SharersView {
  /**
   * Whether it hears of all of them. Else it can't tell which shares are unused, and
   * those that hear each other would not agree with the rest.
   */
  readonly areHeard: boolean;
  /** Whether it has just started and hears nobody. */
  readonly isAlone: boolean;
}

/** Shares of one node. Times are monotonic, in milliseconds. */
export class LimitShares {
  readonly #hasher: Hasher;
  readonly #self: string;
  /** Nodes that share the limits, in order of their names. */
  #nodes: readonly string[] = [];
  #view: SharersView = { areHeard: true, isAlone: false };
  /** Order of the nodes for each replica. */
  readonly #orders = new Map<string, readonly string[]>();

  private constructor(self: string, hasher: Hasher) {
    this.#self = self;
    this.#hasher = hasher;
  }

  /** @param self Name of this node. */
  static create(self: string, hasher: Hasher): LimitShares {
    return new LimitShares(self, hasher);
  }

  /** Sets the nodes that share the limits; this one is among them unless it drains. */
  setNodes(
    names: readonly string[],
    view: SharersView = { areHeard: true, isAlone: false },
  ): void {
    this.#view = view;
    const nodes = [...names].sort();
    const isSame = nodes.length === this.#nodes.length &&
      nodes.every((name, at) => name === this.#nodes[at]);
    if (isSame) return;
    this.#nodes = nodes;
    this.#orders.clear();
  }

  /** Updates this node's share of a replica's limit, if it has one. */
  apply(key: string, limit: RequestLimit, now: number): void {
    if (limit.perSecond === undefined) {
      this.#orders.delete(key);
      return;
    }
    const idleMs = now - limit.statedAt;
    limit.setShare(this.#computeShare(key, limit.perSecond, idleMs), now);
  }

  /** Computes this node's share, in requests a second. */
  #computeShare(key: string, named: number, idleMs: number): number {
    const perSecond = Math.max(minPerSecond, named);
    const { length } = this.#nodes;
    const sharers = Math.min(
      length,
      Math.max(1, Math.floor(perSecond / minSharePerSecond)),
    );
    const share = perSecond / sharers * (this.#view.isAlone ? aloneShare : 1);
    const turnMs = unusedMs + requestsUntilUnused * 1_000 / share;
    const turn = this.#view.areHeard
      ? Math.max(0, Math.floor(idleMs / turnMs))
      : 0;
    const rank = this.#findOrder(key).indexOf(this.#self);
    if (rank < 0) return 0;
    const place = (rank + length - (turn * sharers) % length) % length;
    return place < sharers ? share : 0;
  }

  #findOrder(key: string): readonly string[] {
    const known = this.#orders.get(key);
    if (known !== undefined) return known;
    const order = computeRendezvousOrder(this.#hasher, key, this.#nodes);
    this.#orders.set(key, order);
    return order;
  }
}

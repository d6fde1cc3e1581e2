/**
 * Questions about the members that are known: who takes work, who speaks for a
 * data centre, and with whom this node shares loads.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";
import { computeDelegateOrder, delegatesPerZone } from "./delegates.ts";
import type { MemberTable } from "./member_table.ts";
import type { Member, NodeIdentity } from "./membership.ts";

/** Up to so many nodes, all of them share loads as if in one data centre. */
const smallSystemNodes = 32;

/** Options of the view. */
export interface ClusterViewOptions {
  readonly self: NodeIdentity;
  readonly table: MemberTable;
  readonly hasher: Hasher;
}

/** View of all processes, this node's own included. */
export class ClusterView {
  readonly self: NodeIdentity;
  readonly #table: MemberTable;
  readonly #hasher: Hasher;
  #isLeaving = false;

  private constructor({ self, table, hasher }: ClusterViewOptions) {
    this.self = self;
    this.#table = table;
    this.#hasher = hasher;
  }

  static create(options: ClusterViewOptions): ClusterView {
    return new ClusterView(options);
  }

  /** Whether this node announced that it leaves. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  setLeaving(): void {
    this.#isLeaving = true;
  }

  /** Names of nodes that take work, this one included unless it is leaving. */
  listAlive(zone?: string): readonly string[] {
    const nodes = this.#table.list()
      .filter(({ state }) => state === "alive")
      .filter(({ identity }) => zone === undefined || identity.zone === zone)
      .map(({ identity }) => identity.node);
    const isOwn = zone === undefined || zone === this.self.zone;
    return isOwn && !this.#isLeaving ? [...nodes, this.self.node] : nodes;
  }

  /** Members that can be called: alive or leaving. */
  listReachable(): readonly Member[] {
    return this.#table.list().filter(({ state }) => state !== "suspected");
  }

  /** Names of a data centre's delegates among those that are alive. */
  listDelegates(zone: string): readonly string[] {
    return computeDelegateOrder(this.#hasher, zone, this.listAlive(zone))
      .slice(0, delegatesPerZone);
  }

  /** Whether this node speaks for its data centre. */
  isDelegate(): boolean {
    return this.listDelegates(this.self.zone).includes(this.self.node);
  }

  /** Whether this node is the first delegate of its data centre. */
  isFirstDelegate(): boolean {
    return this.listDelegates(this.self.zone)[0] === this.self.node;
  }

  findZone(node: string): string | undefined {
    if (node === this.self.node) return this.self.zone;
    return this.#table.find(node)?.identity.zone;
  }

  /** Whether all nodes share loads with each other. */
  isSmallSystem(): boolean {
    return this.#table.size < smallSystemNodes;
  }

  /** Whether only summaries are heard of a data centre. */
  isRemote(zone: string): boolean {
    return zone !== this.self.zone && !this.isSmallSystem();
  }
}

/**
 * Facts that change slowly and that every node knows: members and endpoints
 * that are leaving, kept in the order in which this node learned them.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import { ChangeLog } from "./change_log.ts";
import { LeavingEndpoints } from "./leaving_endpoints.ts";
import type { LeavingEndpoint } from "./membership.ts";
import type { Change, MemberRecord } from "./messages.ts";

/** Members and leaving endpoints as messages carry them. */
export class ClusterState implements Disposable {
  readonly leaving: LeavingEndpoints;
  readonly #log: ChangeLog<() => Change>;

  private constructor(hasher: Hasher, clock: Clock) {
    this.leaving = LeavingEndpoints.create(clock);
    this.#log = ChangeLog.create(hasher);
  }

  static create(hasher: Hasher, clock: Clock): ClusterState {
    return new ClusterState(hasher, clock);
  }

  /** Position of the last change. */
  get position(): number {
    return this.#log.position;
  }

  /** The same on two nodes that know the same. */
  get checksum(): number {
    return this.#log.checksum;
  }

  /** Lists what changed after a position. */
  list(position: number): readonly Change[] {
    return this.#log.list(position).map((create) => create());
  }

  setMember(member: MemberRecord): void {
    const { node, incarnation } = member.identity;
    const content = `${incarnation} ${member.leaving}`;
    this.#log.set(`member ${node}`, content, () => ({
      kind: "member",
      member,
    }));
  }

  removeMember(node: string): void {
    this.#log.remove(`member ${node}`);
  }

  /** Adds a leaving endpoint; false when it was known. */
  addLeaving(leaving: LeavingEndpoint): boolean {
    const { endpoint } = leaving;
    if (!this.leaving.add(leaving)) return false;
    this.#log.set(`leaving ${endpoint}`, "", () => ({
      kind: "leaving",
      leaving: {
        endpoint,
        remainingMs: Math.round(this.leaving.findRemainingMs(endpoint) ?? 0),
      },
    }));
    return true;
  }

  /** Forgets leaving endpoints that ended long ago. */
  removeEnded(): void {
    for (const endpoint of this.leaving.removeEnded()) {
      this.#log.remove(`leaving ${endpoint}`);
    }
  }

  dispose(): void {
    this.leaving.dispose();
  }
}

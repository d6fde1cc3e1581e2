/**
 * Ends replicas in the middle of their answers, as processes end: the kernel
 * closes their connections (FIN) or resets them, and new replicas take over.
 */

import { sleep } from "@almondcrank/standin/platform/replica_fault.ts";
import type { PlannedFault, ReplicaEndKind } from "./fault_plan.ts";
import { registrationTtlMs } from "./replica_faults.ts";
import type { SoakReplica, SoakSystem } from "./soak_system.ts";

/** How the connections of a replica may end. */
export const connectionEnds = ["fin", "reset"] as const;
/** How the connections of a replica end. */
export type ConnectionEnd = (typeof connectionEnds)[number];

/** Time from the end of a replica to the next one at its address. */
const returnMs = 200;
/** Time from the end of a replica's streams to the end of its listener. */
const streamsFirstMs = 100;
/** Longest time for which a draining replica serves before it exits. */
const maxDrainMs = 900;

/** Ends the replicas of one system. */
export class ReplicaEnds {
  readonly #system: SoakSystem;
  readonly #connectionEnd: ConnectionEnd;

  private constructor(system: SoakSystem, connectionEnd: ConnectionEnd) {
    this.#system = system;
    this.#connectionEnd = connectionEnd;
  }

  static create(
    system: SoakSystem,
    connectionEnd: ConnectionEnd,
  ): ReplicaEnds {
    return new ReplicaEnds(system, connectionEnd);
  }

  /**
   * Ends one replica and starts another one; resolves once the registration of
   * the first has expired, with its id.
   */
  async run(
    kind: ReplicaEndKind,
    { target, durationMs }: PlannedFault,
  ): Promise<string | undefined> {
    const registered = this.#system.listRegisteredReplicas();
    const replica = registered[target % registered.length];
    if (replica === undefined) return undefined;
    replica.isRegistered = false;
    switch (kind) {
      case "replica_dies":
        this.#end(replica);
        await this.#replace(replica);
        break;
      case "replica_ends_streams_first":
        this.#endStreams(replica);
        await sleep(streamsFirstMs);
        this.#end(replica);
        await this.#replace(replica);
        break;
      case "replica_exits_while_draining":
        await this.#exitWhileDraining(replica, durationMs);
        break;
      case "replica_returns_at_address":
        this.#end(replica);
        await sleep(returnMs);
        await this.#system.replaceReplica(replica);
        await this.#expire(replica);
        break;
      case "replica_starts_again":
        this.#end(replica);
        await sleep(returnMs);
        await this.#system.restartReplica(replica);
        break;
    }
    return replica.standin.id;
  }

  /** Ends all connections and the listener at once. */
  #end({ standin, link }: SoakReplica): void {
    if (this.#connectionEnd === "reset") link.setFault({ kind: "reset" });
    link.close();
    standin.close();
  }

  /** Ends the connections of streams only. */
  #endStreams({ standin, link }: SoakReplica): void {
    if (this.#connectionEnd === "reset") link.setFault({ kind: "reset" });
    else standin.endUnframedStreams();
  }

  async #exitWhileDraining(
    replica: SoakReplica,
    durationMs: number,
  ): Promise<void> {
    this.#system.register(replica, "draining");
    await this.#system.addSuccessor(replica);
    await sleep(Math.min(durationMs, maxDrainMs));
    this.#endStreams(replica);
    await sleep(streamsFirstMs);
    this.#end(replica);
    this.#system.unregister(replica);
  }

  async #replace(replica: SoakReplica): Promise<void> {
    await this.#system.addSuccessor(replica);
    await this.#expire(replica);
  }

  async #expire(replica: SoakReplica): Promise<void> {
    await sleep(registrationTtlMs);
    this.#system.unregister(replica);
  }
}

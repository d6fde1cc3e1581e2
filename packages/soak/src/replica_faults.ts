/**
 * Injects faults into single replicas and the links to them. Each method
 * resolves when its fault has ended, with the id of the replica that it hit.
 */

import {
  type ReplicaFault,
  sleep,
} from "@almondcrank/standin/platform/replica_fault.ts";
import type { BreakingFaultKind } from "./fault_plan.ts";
import type { LinkFault } from "@almondcrank/standin/link_proxy.ts";
import type { LimitRecord } from "./records.ts";
import type { SoakReplica, SoakSystem } from "./soak_system.ts";

const slowLinkMs = 120;
const modelService = "models";
/** Limit that a replica in need names, in requests a second. */
const limitPerSecond = 1;
/** Time for which a silent replica sends nothing. */
const silenceMs = 1_000;
/** Replicas that a service keeps, whatever drains or crashes. */
const minReplicas = 2;
/** Time after which the registration of a crashed replica expires. */
export const registrationTtlMs = 1_500;
const noFault: ReplicaFault = { kind: "none" };

/** Kind of a fault that hits one replica and may break its answers. */
export type ReplicaFaultKind = Exclude<BreakingFaultKind, `node_${string}`>;

/** When a fault is injected: into which replica, and for how long. */
export interface ReplicaFaultOptions {
  /** Index of the replica, modulo their number. */
  readonly target: number;
  readonly durationMs: number;
}

/** Which replica names a limit, and for how long. */
export interface LimitOptions extends ReplicaFaultOptions {
  /**
   * Whether no model replica may: beside crashes the others can't take over what
   * its limit leaves.
   */
  readonly sparesModels: boolean;
}

/** Injects faults into the replicas of one system. */
export class ReplicaFaults {
  readonly #system: SoakSystem;

  private constructor(system: SoakSystem) {
    this.#system = system;
  }

  static create(system: SoakSystem): ReplicaFaults {
    return new ReplicaFaults(system);
  }

  /**
   * Picks a replica; undefined if its service would keep too few without it.
   */
  pickReplica(target: number): SoakReplica | undefined {
    const replica = this.#pick(target);
    const remaining = this.#system.listRegisteredReplicas()
      .filter(({ service, standin }) =>
        service === replica.service && !standin.isLeaving
      );
    return remaining.length > minReplicas ? replica : undefined;
  }

  /**
   * Lets one replica send nothing for a second, or all at once; then they go on,
   * sound.
   */
  async pause(target: number): Promise<string | undefined> {
    const registered = this.#system.listRegisteredReplicas();
    const isOne = target % 2 === 0;
    const silent = isOne ? [this.#pick(target)] : registered;
    for (const { standin } of silent) standin.pauseFor(silenceMs);
    await sleep(silenceMs);
    return isOne ? silent[0]?.standin.id : undefined;
  }

  /** Lets a replica name a limit for a time; returns the limit's record. */
  async nameLimit(
    { target, durationMs, sparesModels }: LimitOptions,
  ): Promise<LimitRecord | undefined> {
    const candidates = this.#system.listRegisteredReplicas()
      .filter(({ service }) => !sparesModels || service !== modelService);
    const replica = candidates[target % candidates.length];
    if (replica === undefined) return undefined;
    const { standin } = replica;
    standin.limitPerSecond = limitPerSecond;
    const from = performance.now();
    await sleep(durationMs);
    standin.limitPerSecond = undefined;
    const to = performance.now();
    return { replica: standin.id, perSecond: limitPerSecond, from, to };
  }

  /** Injects a fault that may break answers. */
  async run(
    kind: ReplicaFaultKind,
    options: ReplicaFaultOptions,
  ): Promise<string> {
    switch (kind) {
      case "replica_crashes":
        return await this.#crash(options.target);
      case "replica_link_cut":
        return await this.#applyToLink({ kind: "cut" }, options);
      case "replica_link_one_way":
        return await this.#applyToLink({ kind: "cut_answers" }, options);
      case "replica_link_reset":
        return await this.#applyToLink({ kind: "reset" }, options);
      case "replica_link_slow":
        return await this.#applyToLink(
          { kind: "delay", ms: slowLinkMs },
          options,
        );
      case "replica_declines":
        return await this.apply({ kind: "decline" }, options);
      case "replica_loses_answers":
        return await this.apply({ kind: "lose_answer" }, options);
      case "replica_hangs":
        return await this.apply({ kind: "hang" }, options);
      case "replica_breaks_off":
        return await this.apply({ kind: "break", events: 7 }, options);
      case "replica_ends_within_event":
        return await this.#endStreamsWithinEvent(options);
      case "replica_mixes_answers":
        return await this.apply({ kind: "foreign" }, options);
      case "replica_sends_extra":
        return await this.apply({ kind: "extra" }, options);
    }
  }

  /** Injects a fault into all requests of a replica. */
  async apply(
    fault: ReplicaFault,
    { target, durationMs }: ReplicaFaultOptions,
  ): Promise<string> {
    const { standin } = this.#pick(target);
    standin.fault = fault;
    await sleep(durationMs);
    standin.fault = noFault;
    return standin.id;
  }

  #pick(target: number): SoakReplica {
    const registered = this.#system.listRegisteredReplicas();
    const replica = registered[target % registered.length];
    if (replica === undefined) throw new Error("no replica is registered");
    return replica;
  }

  async #crash(target: number): Promise<string> {
    const replica = this.pickReplica(target);
    if (replica === undefined) return this.#pick(target).standin.id;
    replica.isRegistered = false;
    replica.standin.close();
    replica.link.close();
    await sleep(registrationTtlMs);
    this.#system.unregister(replica);
    return replica.standin.id;
  }

  async #applyToLink(
    fault: LinkFault,
    { target, durationMs }: ReplicaFaultOptions,
  ): Promise<string> {
    const { link, standin } = this.#pick(target);
    link.setFault(fault);
    await sleep(durationMs);
    link.setFault({ kind: "none" });
    return standin.id;
  }

  /** A replica sends streams without a length and ends them within an event. */
  async #endStreamsWithinEvent(options: ReplicaFaultOptions): Promise<string> {
    const { standin } = this.#pick(options.target);
    standin.streamFraming = "connection";
    const id = await this.apply(
      { kind: "end_within_event", events: 7 },
      options,
    );
    standin.streamFraming = "chunks";
    return id;
  }
}

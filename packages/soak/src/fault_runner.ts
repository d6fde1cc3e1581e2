/**
 * Injects the faults of a plan and records when each began and ended.
 */

import {
  composeReplicaEntry,
  replicaFields,
} from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { sleep } from "@almondcrank/standin/platform/replica_fault.ts";
import type { StoreFault } from "@almondcrank/standin/platform/store_standin.ts";
import {
  type BreakingFaultKind,
  breakingFaultKinds,
  type MaskedFaultKind,
  partCrashes,
  type PlannedFault,
  type ReplicaEndKind,
  replicaEndKinds,
} from "./fault_plan.ts";
import type { LinkFault } from "@almondcrank/standin/link_proxy.ts";
import { PartCrashes } from "./part_crashes.ts";
import type {
  CrashRecord,
  FaultSpan,
  KeyWithdrawal,
  LimitRecord,
} from "./records.ts";
import { type ConnectionEnd, ReplicaEnds } from "./replica_ends.ts";
import { registrationTtlMs, ReplicaFaults } from "./replica_faults.ts";
import {
  secondKey,
  type SoakNode,
  type SoakReplica,
  type SoakSystem,
} from "./soak_system.ts";

const slowStoreMs = 300;
/** Time for which a draining replica still serves. */
const drainMs = 1_500;
const changesPerStorm = 15;
/** Time for which a replica wants nothing from a node that it turned away. */
const pauseSeconds = 0.8;
/** Greatest age of the copy from which the store comes back. */
const maxCopyAgeMs = 2_000;
/** Time until lost writes of the operator and the replicas are made again. */
const rewriteMs = 500;

const nestedLevels = 200;

/** A list that is nested in itself. */
function createNested(): unknown {
  let value: unknown = [];
  for (let level = 0; level < nestedLevels; level += 1) value = [value];
  return value;
}

const soundEntry = composeReplicaEntry({
  service: "models",
  address: "127.0.0.1:1",
});
/** Entries of another writer, which a node must neither use nor end by. */
const oddRegistrations: readonly Readonly<Record<string, unknown>>[] = [
  { ...soundEntry, address: "127.0.0.1:99999" },
  { ...soundEntry, address: "999.0.0.1:80" },
  { ...soundEntry, slots: 1e300 },
  { ...soundEntry, state: "resting" },
  { ...soundEntry, more: createNested() },
  { ...soundEntry, version: null },
  { ...soundEntry, [replicaFields.coldMs]: "soon" },
  { service: 7 },
];

/** Injects the faults of one soak. */
export class FaultRunner {
  readonly #system: SoakSystem;
  readonly #replicaFaults: ReplicaFaults;
  readonly #replicaEnds: ReplicaEnds;
  readonly #partCrashes: PartCrashes;
  readonly #spans: FaultSpan[] = [];
  readonly #withdrawals: KeyWithdrawal[] = [];
  readonly #limits: LimitRecord[] = [];
  /** Whether part crashes are planned that are not over. */
  #awaitsPartCrashes = false;
  /** Nodes that a fault has stopped or paused; other faults skip them. */
  readonly #stoppedNodes = new Set<SoakNode>();

  private constructor(system: SoakSystem, connectionEnd: ConnectionEnd) {
    this.#system = system;
    this.#replicaFaults = ReplicaFaults.create(system);
    this.#replicaEnds = ReplicaEnds.create(system, connectionEnd);
    this.#partCrashes = PartCrashes.create(system);
  }

  /** @param connectionEnd How connections end where a plan ends replicas. */
  static create(
    system: SoakSystem,
    connectionEnd: ConnectionEnd,
  ): FaultRunner {
    return new FaultRunner(system, connectionEnd);
  }

  /** Times of the faults that have ended. */
  get spans(): readonly FaultSpan[] {
    return [...this.#spans, ...this.#partCrashes.spans];
  }

  /** Crashes of replicas that a prompt part has caused. */
  get crashes(): readonly CrashRecord[] {
    return this.#partCrashes.crashes;
  }

  /** Limits that replicas have named. */
  get limits(): readonly LimitRecord[] {
    return this.#limits;
  }

  /** Keys that have been withdrawn. */
  get withdrawals(): readonly KeyWithdrawal[] {
    return this.#withdrawals;
  }

  /**
   * Injects all faults at their times; resolves when the last one has ended.
   */
  async run(plan: readonly PlannedFault[]): Promise<void> {
    const startedAt = performance.now();
    this.#awaitsPartCrashes = plan.some(({ kind }) => kind === partCrashes);
    await Promise.all(plan.map(async (fault) => {
      await sleep(startedAt + fault.atMs - performance.now());
      const from = performance.now();
      const target = await this.#runFault(fault);
      this.#spans.push({
        from,
        to: performance.now(),
        name: fault.kind,
        isMasked: !isBreaking(fault.kind) && !isReplicaEnd(fault.kind),
        target,
      });
    }));
  }

  /** Resolves at the end of a fault, with the only node or replica it hit. */
  async #runFault(fault: PlannedFault): Promise<string | undefined> {
    const { kind, durationMs } = fault;
    if (kind === partCrashes) {
      await this.#partCrashes.run(durationMs);
      this.#awaitsPartCrashes = false;
      return undefined;
    }
    if (isReplicaEnd(kind)) return await this.#replicaEnds.run(kind, fault);
    if (isBreaking(kind)) return await this.#runBreakingFault(kind, fault);
    if (kind === "replica_falls_silent") {
      return await this.#replicaFaults.pause(fault.target);
    }
    await this.#runMaskedFault(kind, fault);
    return undefined;
  }

  async #runBreakingFault(
    kind: BreakingFaultKind,
    { durationMs, target }: PlannedFault,
  ): Promise<string | undefined> {
    const node = this.#pickNode(target);
    switch (kind) {
      case "node_kill":
        await this.#killNodes([node], durationMs);
        return node.process.place.name;
      case "node_kill_all":
        await this.#killNodes(this.#system.nodes, durationMs / 4);
        return undefined;
      case "node_stop":
        await this.#pauseNode(node, durationMs);
        return node.process.place.name;
      default:
        return await this.#replicaFaults.run(kind, { target, durationMs });
    }
  }

  async #runMaskedFault(
    kind: Exclude<MaskedFaultKind, "replica_falls_silent">,
    { durationMs, target }: PlannedFault,
  ): Promise<void> {
    const { cloudLink } = this.#system;
    switch (kind) {
      case "node_term":
        return await this.#restartNode(this.#pickNode(target));
      case "node_hup":
        return this.#pickNode(target).process.signal("SIGHUP");
      case "store_silent":
        return await this.#applyStoreFault("silent", durationMs);
      case "store_busy":
        return await this.#applyStoreFault("busy", durationMs);
      case "store_reset":
        return await this.#applyStoreFault("reset", durationMs);
      case "store_loses_answers":
        return await this.#applyStoreFault("lose_writes", durationMs);
      case "store_forgets_history":
        return this.#system.store.compact();
      case "store_restored":
        return await this.#restoreStore(durationMs);
      case "store_cut_off_node":
        return await this.#applyStoreLinkFault(
          target,
          { kind: "cut" },
          durationMs,
        );
      case "store_slow_for_node": {
        const slow = { kind: "delay", ms: slowStoreMs } as const;
        return await this.#applyStoreLinkFault(target, slow, durationMs);
      }
      case "configuration_changes":
        return this.#system.configure({ timeoutMs: 2_000 + target });
      case "configuration_storm":
        return await this.#changeConfigurations(durationMs);
      case "key_withdrawn":
        return this.#withdrawKey();
      case "replica_drains":
        return await this.#drainReplica(target);
      case "replica_announces_leaving":
        return await this.#announceLeaving(target);
      case "replica_pauses": {
        const pause = { kind: "pause", seconds: pauseSeconds } as const;
        await this.#replicaFaults.apply(pause, { target, durationMs });
        return;
      }
      case "replica_names_limit": {
        const sparesModels = this.#awaitsPartCrashes;
        const options = { target, durationMs, sparesModels };
        const limit = await this.#replicaFaults.nameLimit(options);
        if (limit !== undefined) this.#limits.push(limit);
        return;
      }
      case "replica_starts":
        return await this.#startReplica(target);
      case "odd_registrations":
        return await this.#writeOddRegistrations(target, durationMs);
      case "cloud_silent":
        cloudLink.setFault({ kind: "cut" });
        await sleep(durationMs);
        return cloudLink.setFault({ kind: "none" });
    }
  }

  /** Writes entries among the replicas' that name none. */
  async #writeOddRegistrations(
    target: number,
    durationMs: number,
  ): Promise<void> {
    const { store } = this.#system;
    const names = oddRegistrations.map((_, at) => `odd-${target}-${at}`);
    for (const [at, entry] of oddRegistrations.entries()) {
      store.put(replicasKind, names[at] ?? "", entry);
    }
    await sleep(durationMs);
    for (const name of names) store.remove(replicasKind, name);
  }

  #pickNode(target: number): SoakNode {
    return pick(this.#system.nodes, target);
  }

  async #killNodes(
    nodes: readonly SoakNode[],
    durationMs: number,
  ): Promise<void> {
    const free = nodes.filter((node) => !this.#stoppedNodes.has(node));
    for (const node of free) this.#stoppedNodes.add(node);
    await Promise.all(free.map(({ process }) => process.kill()));
    await sleep(durationMs);
    await this.#startNodes(free);
  }

  async #restartNode(node: SoakNode): Promise<void> {
    if (this.#stoppedNodes.has(node)) return;
    this.#stoppedNodes.add(node);
    node.process.signal("SIGTERM");
    await node.process.waitForExit();
    await this.#startNodes([node]);
  }

  async #startNodes(nodes: readonly SoakNode[]): Promise<void> {
    await Promise.all(nodes.map(({ process }) => process.start()));
    for (const node of nodes) this.#stoppedNodes.delete(node);
  }

  async #pauseNode(node: SoakNode, durationMs: number): Promise<void> {
    if (this.#stoppedNodes.has(node)) return;
    this.#stoppedNodes.add(node);
    node.process.signal("SIGSTOP");
    await sleep(durationMs);
    node.process.signal("SIGCONT");
    this.#stoppedNodes.delete(node);
  }

  async #applyStoreFault(fault: StoreFault, durationMs: number): Promise<void> {
    const { store } = this.#system;
    store.fault = fault;
    await sleep(durationMs);
    if (store.fault === fault) store.fault = "none";
  }

  async #applyStoreLinkFault(
    target: number,
    fault: LinkFault,
    durationMs: number,
  ): Promise<void> {
    const { storeLink } = this.#pickNode(target);
    storeLink.setFault(fault);
    await sleep(durationMs);
    storeLink.setFault({ kind: "none" });
  }

  async #changeConfigurations(durationMs: number): Promise<void> {
    for (let change = 0; change < changesPerStorm; change += 1) {
      this.#system.configure({ timeoutMs: 2_500 + change });
      await sleep(durationMs / changesPerStorm);
    }
  }

  /**
   * Brings the store back from a copy that is up to two seconds old, and writes
   * again what the operator and the replicas have written since.
   */
  async #restoreStore(durationMs: number): Promise<void> {
    const { store } = this.#system;
    const copy = store.copy();
    await sleep(Math.min(durationMs, maxCopyAgeMs));
    store.restore(copy);
    await sleep(rewriteMs);
    this.#system.configure({});
    const registered = this.#system.listRegisteredReplicas();
    for (const replica of registered) this.#system.register(replica, "ready");
    await sleep(registrationTtlMs);
    for (const replica of this.#system.replicas) {
      if (!replica.isRegistered) this.#system.unregister(replica);
    }
  }

  #withdrawKey(): void {
    if (this.#withdrawals.length > 0) return;
    this.#system.withdrawKey();
    this.#withdrawals.push({ key: secondKey, at: performance.now() });
  }

  async #drainReplica(target: number): Promise<void> {
    const replica = this.#replicaFaults.pickReplica(target);
    if (replica !== undefined) await this.#drain(replica);
  }

  async #drain(replica: SoakReplica): Promise<void> {
    replica.isRegistered = false;
    this.#system.register(replica, "draining");
    await sleep(drainMs);
    this.#system.unregister(replica);
    // Streams move within the notice period; other requests finish.
    await sleep(drainMs);
    replica.standin.close();
  }

  /** A replica says in its answers that it leaves, and drains later. */
  async #announceLeaving(target: number): Promise<void> {
    const replica = this.#replicaFaults.pickReplica(target);
    if (replica === undefined) return;
    replica.standin.isLeaving = true;
    await sleep(drainMs);
    await this.#drain(replica);
  }

  async #startReplica(target: number): Promise<void> {
    await this.#system.addReplica(target % 2 === 0 ? "models" : "booking");
  }
}

function isBreaking(kind: string): kind is BreakingFaultKind {
  return breakingFaultKinds.some((breaking) => breaking === kind);
}

function isReplicaEnd(kind: string): kind is ReplicaEndKind {
  return replicaEndKinds.some((end) => end === kind);
}

function pick<T>(items: readonly T[], target: number): T {
  const item = items[target % items.length];
  if (item === undefined) throw new Error("nothing to pick from");
  return item;
}

/**
 * Makes planned faults happen and records when they did.
 */

import type { ReplicaFault } from "@almondcrank/standin/platform/replica_standin.ts";
import type { StoreFault } from "@almondcrank/standin/platform/store_standin.ts";
import { isMaskedFault, type PlannedFault } from "./fault_plan.ts";
import type { LinkFault } from "./link_proxy.ts";
import type { FaultSpan, KeyWithdrawal } from "./records.ts";
import {
  secondKey,
  type SoakNode,
  type SoakReplica,
  type SoakSystem,
} from "./soak_system.ts";

const slowLinkMs = 120;
const slowStoreMs = 300;
/** Time for which a draining replica goes on serving. */
const drainMs = 1_500;
/** Time after which a crashed replica's registration lapses. */
const lapseMs = 1_500;
const leastReplicas = 2;
const stormChanges = 15;
const noFault: ReplicaFault = { kind: "none" };

/** Runs the faults of one soak. */
export class FaultRunner {
  readonly #system: SoakSystem;
  readonly #spans: FaultSpan[] = [];
  readonly #withdrawals: KeyWithdrawal[] = [];
  /** Nodes that a fault holds at present. */
  readonly #held = new Set<SoakNode>();

  private constructor(system: SoakSystem) {
    this.#system = system;
  }

  static create(system: SoakSystem): FaultRunner {
    return new FaultRunner(system);
  }

  get spans(): readonly FaultSpan[] {
    return this.#spans;
  }

  get withdrawals(): readonly KeyWithdrawal[] {
    return this.#withdrawals;
  }

  /** Runs all faults at their times; resolves when the last one is over. */
  async run(plan: readonly PlannedFault[]): Promise<void> {
    const startedAt = performance.now();
    await Promise.all(plan.map(async (fault) => {
      await sleep(startedAt + fault.atMs - performance.now());
      const from = performance.now();
      await this.#runFault(fault);
      this.#spans.push({
        from,
        to: performance.now(),
        name: fault.kind,
        isMasked: isMaskedFault(fault.kind),
      });
    }));
  }

  async #runFault(fault: PlannedFault): Promise<void> {
    const { kind, durationMs: forMs, target } = fault;
    const { cloudLink } = this.#system;
    switch (kind) {
      case "node_kill":
        return await this.#killNodes([this.#pickNode(target)], forMs);
      case "node_kill_all":
        return await this.#killNodes(this.#system.nodes, forMs / 4);
      case "node_term":
        return await this.#restartNode(this.#pickNode(target));
      case "node_stop":
        return await this.#stopNode(this.#pickNode(target), forMs);
      case "node_hup":
        return this.#pickNode(target).process.signal("SIGHUP");
      case "store_silent":
        return await this.#faultStore("silent", forMs);
      case "store_busy":
        return await this.#faultStore("busy", forMs);
      case "store_reset":
        return await this.#faultStore("reset", forMs);
      case "store_loses_answers":
        return await this.#faultStore("lose_writes", forMs);
      case "store_forgets_history":
        return this.#system.store.compact();
      case "store_cut_off_node":
        return await this.#faultStoreLink(target, { kind: "cut" }, forMs);
      case "store_slow_for_node": {
        const slow = { kind: "delay", ms: slowStoreMs } as const;
        return await this.#faultStoreLink(target, slow, forMs);
      }
      case "configuration_changes":
        return this.#system.configure({ timeoutMs: 2_000 + target });
      case "configuration_storm":
        return await this.#changeOften(forMs);
      case "key_withdrawn":
        return this.#withdrawKey();
      case "replica_drains":
        return await this.#drainReplica(target);
      case "replica_crashes":
        return await this.#crashReplica(target);
      case "replica_starts":
        return await this.#startReplica(target);
      case "replica_link_cut":
        return await this.#faultReplicaLink(target, { kind: "cut" }, forMs);
      case "replica_link_one_way": {
        const oneWay = { kind: "cut_answers" } as const;
        return await this.#faultReplicaLink(target, oneWay, forMs);
      }
      case "replica_link_reset":
        return await this.#faultReplicaLink(target, { kind: "reset" }, forMs);
      case "replica_link_slow": {
        const slow = { kind: "delay", ms: slowLinkMs } as const;
        return await this.#faultReplicaLink(target, slow, forMs);
      }
      case "replica_declines":
        return await this.#faultReplica(target, { kind: "decline" }, forMs);
      case "replica_loses_answers":
        return await this.#faultReplica(target, { kind: "lose_answer" }, forMs);
      case "replica_hangs":
        return await this.#faultReplica(target, { kind: "hang" }, forMs);
      case "replica_breaks_off": {
        const broken = { kind: "break", events: 7 } as const;
        return await this.#faultReplica(target, broken, forMs);
      }
      case "replica_mixes_answers":
        return await this.#faultReplica(target, { kind: "foreign" }, forMs);
      case "replica_sends_extra":
        return await this.#faultReplica(target, { kind: "extra" }, forMs);
      case "cloud_silent":
        cloudLink.setFault({ kind: "cut" });
        await sleep(forMs);
        return cloudLink.setFault({ kind: "none" });
    }
  }

  #pickNode(target: number): SoakNode {
    return pick(this.#system.nodes, target);
  }

  async #killNodes(nodes: readonly SoakNode[], forMs: number): Promise<void> {
    const free = nodes.filter((node) => !this.#held.has(node));
    for (const node of free) this.#held.add(node);
    await Promise.all(free.map(({ process }) => process.kill()));
    await sleep(forMs);
    await this.#startAgain(free);
  }

  async #restartNode(node: SoakNode): Promise<void> {
    if (this.#held.has(node)) return;
    this.#held.add(node);
    node.process.signal("SIGTERM");
    await node.process.waitForExit();
    await this.#startAgain([node]);
  }

  async #startAgain(nodes: readonly SoakNode[]): Promise<void> {
    await Promise.all(nodes.map(({ process }) => process.start()));
    for (const node of nodes) this.#held.delete(node);
  }

  async #stopNode(node: SoakNode, forMs: number): Promise<void> {
    if (this.#held.has(node)) return;
    this.#held.add(node);
    node.process.signal("SIGSTOP");
    await sleep(forMs);
    node.process.signal("SIGCONT");
    this.#held.delete(node);
  }

  async #faultStore(fault: StoreFault, forMs: number): Promise<void> {
    const { store } = this.#system;
    store.fault = fault;
    await sleep(forMs);
    if (store.fault === fault) store.fault = "none";
  }

  async #faultStoreLink(
    target: number,
    fault: LinkFault,
    forMs: number,
  ): Promise<void> {
    const { storeLink } = this.#pickNode(target);
    storeLink.setFault(fault);
    await sleep(forMs);
    storeLink.setFault({ kind: "none" });
  }

  async #changeOften(forMs: number): Promise<void> {
    for (let change = 0; change < stormChanges; change += 1) {
      this.#system.configure({ timeoutMs: 2_500 + change });
      await sleep(forMs / stormChanges);
    }
  }

  #withdrawKey(): void {
    if (this.#withdrawals.length > 0) return;
    this.#system.withdrawKey();
    this.#withdrawals.push({ key: secondKey, at: performance.now() });
  }

  /** A replica of a service that keeps enough of them without it. */
  #pickReplica(target: number): SoakReplica | undefined {
    const registered = this.#system.listRegisteredReplicas();
    const replica = pick(registered, target);
    const left = registered.filter(({ service }) =>
      service === replica.service
    );
    return left.length > leastReplicas ? replica : undefined;
  }

  async #drainReplica(target: number): Promise<void> {
    const replica = this.#pickReplica(target);
    if (replica === undefined) return;
    replica.isRegistered = false;
    this.#system.register(replica, "draining");
    await sleep(drainMs);
    this.#system.unregister(replica);
    // Streams are moved within the notice; others end by themselves.
    await sleep(drainMs);
    replica.standin.close();
  }

  async #crashReplica(target: number): Promise<void> {
    const replica = this.#pickReplica(target);
    if (replica === undefined) return;
    replica.isRegistered = false;
    replica.standin.close();
    replica.link.close();
    await sleep(lapseMs);
    this.#system.unregister(replica);
  }

  async #startReplica(target: number): Promise<void> {
    await this.#system.addReplica(target % 2 === 0 ? "models" : "booking");
  }

  async #faultReplicaLink(
    target: number,
    fault: LinkFault,
    forMs: number,
  ): Promise<void> {
    const { link } = pick(this.#system.listRegisteredReplicas(), target);
    link.setFault(fault);
    await sleep(forMs);
    link.setFault({ kind: "none" });
  }

  async #faultReplica(
    target: number,
    fault: ReplicaFault,
    forMs: number,
  ): Promise<void> {
    const { standin } = pick(this.#system.listRegisteredReplicas(), target);
    standin.fault = fault;
    await sleep(forMs);
    standin.fault = noFault;
  }
}

function pick<T>(items: readonly T[], target: number): T {
  const item = items[target % items.length];
  if (item === undefined) throw new Error("nothing to pick from");
  return item;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}

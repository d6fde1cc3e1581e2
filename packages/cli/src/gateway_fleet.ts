/**
 * A small gateway fleet on loopback, for demonstrations: nodes as processes of
 * this program, and stand-ins of the store, the cloud and the replicas.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { mkdtempSync, rmSync } from "node:fs";
import { isSea } from "node:sea";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { request } from "undici";
import { CloudStandin } from "@almondcrank/standin/platform/cloud_standin.ts";
import {
  createExampleConfiguration,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import { NodeProcess } from "@almondcrank/standin/platform/node_process.ts";
import {
  createNodePlace,
  findSharedPorts,
} from "@almondcrank/standin/platform/node_settings.ts";
import { ReplicaStandin } from "@almondcrank/standin/platform/replica_standin.ts";
import { StoreStandin } from "@almondcrank/standin/platform/store_standin.ts";

/** Number of events in a complete stream. */
export const streamEventCount = 40;
const eventMs = 25;
const readyTimeoutMs = 10_000;
const readyPollMs = 20;

/** Running gateway nodes and stand-ins; `close` stops all of them. */
export class GatewayFleet {
  readonly store: StoreStandin;
  readonly cloud: CloudStandin;
  readonly nodes: NodeProcess[] = [];
  readonly replicas: ReplicaStandin[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "almondcrank-demo-"));
  #version = 0;

  private constructor(store: StoreStandin, cloud: CloudStandin) {
    this.store = store;
    this.cloud = cloud;
  }

  /**
   * Starts the stand-ins and `nodeCount` gateway nodes and waits until these are
   * ready; throws when one isn't within 10 s.
   */
  static async open(nodeCount: number): Promise<GatewayFleet> {
    const fleet = new GatewayFleet(
      await StoreStandin.open(),
      await CloudStandin.open(),
    );
    try {
      await fleet.#openAll(nodeCount);
    } catch (thrown) {
      // When a node fails to start, the others must not keep running.
      await fleet.close();
      throw thrown;
    }
    return fleet;
  }

  /** Callers' addresses of the nodes. */
  get callerAddresses(): readonly string[] {
    return this.nodes.map(({ place }) => place.callers);
  }

  /** Stores the next version of the configuration with these keys. */
  configure(keys: readonly string[]): void {
    this.#version += 1;
    const configuration = createExampleConfiguration(this.#version, { keys });
    this.store.put("config", "main", configuration);
  }

  /** Stores a replica's registration. */
  registerReplica(replica: ReplicaStandin, state: "ready" | "draining"): void {
    const service = replica.id.replace(/-\d+$/, "");
    const { address } = replica;
    const entry = composeReplicaEntry({ service, address, state });
    this.store.put(replicasKind, replica.id, entry);
  }

  /** Finds the replica that runs a request now. */
  findRunningReplica(id: string): ReplicaStandin | undefined {
    return this.replicas.find(({ runs }) =>
      runs.some((run) => run.id === id && !run.hasEnded)
    );
  }

  /** Counts how often a request began to run; a moved run counts once. */
  countRuns(id: string): number {
    return this.replicas.flatMap(({ runs }) => runs)
      .filter((run) => run.id === id && !run.isMoved).length;
  }

  async close(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.kill()));
    for (const replica of this.replicas) replica.close();
    this.store.close();
    this.cloud.close();
    rmSync(this.#folder, { recursive: true });
  }

  async #openAll(nodeCount: number): Promise<void> {
    for (const service of ["models", "booking"]) {
      await this.#addReplica(`${service}-1`, service);
      await this.#addReplica(`${service}-2`, service);
    }
    this.configure([tenantKey]);
    await this.#startNodes(nodeCount);
  }

  async #addReplica(id: string, service: string): Promise<void> {
    const events = service === "models"
      ? { events: streamEventCount, eventMs }
      : {};
    const replica = await ReplicaStandin.open({ id, ...events });
    this.replicas.push(replica);
    this.registerReplica(replica, "ready");
  }

  async #startNodes(nodeCount: number): Promise<void> {
    const ports = await findSharedPorts();
    for (let at = 0; at < nodeCount; at += 1) {
      const place = await createNodePlace(at, ports, {
        storeAddress: this.store.address,
        cloudAddress: this.cloud.address,
      });
      const command = [...listProgramArguments(), "serve", "gateway"];
      this.nodes.push(
        NodeProcess.create({ place, command, folder: this.#folder }),
      );
    }
    const starts = this.nodes.map((node) => node.start());
    // A failure is reported only when no node is still starting.
    await Promise.allSettled(starts);
    await Promise.all(starts);
    for (const { place } of this.nodes) await waitReady(place.readiness);
  }
}

async function waitReady(address: string): Promise<void> {
  const endsAt = performance.now() + readyTimeoutMs;
  while (performance.now() < endsAt) {
    const { statusCode, body } = await request(`http://${address}/readyz`);
    await body.dump();
    if (statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, readyPollMs));
  }
  throw new Error(
    `the node at ${address} is not ready in time; look at its log`,
  );
}

/** Lists the arguments with which the runtime runs this program again. */
function listProgramArguments(): readonly string[] {
  const [, script] = process.argv;
  return isSea() || script === undefined ? [] : [script];
}

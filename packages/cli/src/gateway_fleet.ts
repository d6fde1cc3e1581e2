/**
 * A small system of the routes interface on loopback, for demonstrations: nodes
 * as processes of this very program, stand-ins of the platform and of replicas.
 */

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

/** Events of a whole stream and the time between them. */
export const streamEventCount = 40;
const eventMs = 25;
const readyTimeoutMs = 10_000;
const readyPollMs = 20;

/** One system; `close` ends all it started. */
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

  /** Starts everything and waits until the nodes are ready. */
  static async open(nodes: number): Promise<GatewayFleet> {
    const fleet = new GatewayFleet(
      await StoreStandin.open(),
      await CloudStandin.open(),
    );
    try {
      await fleet.#openAll(nodes);
    } catch (thrown) {
      // A node that does not start must not leave the others running.
      await fleet.close();
      throw thrown;
    }
    return fleet;
  }

  /** Callers' addresses of all nodes. */
  get callerAddresses(): readonly string[] {
    return this.nodes.map(({ place }) => place.callers);
  }

  /** Writes the next configuration with these keys. */
  configure(keys: readonly string[]): void {
    this.#version += 1;
    const configuration = createExampleConfiguration(this.#version, { keys });
    this.store.put("config", "main", configuration);
  }

  /** Writes a replica's registration. */
  registerReplica(replica: ReplicaStandin, state: "ready" | "draining"): void {
    this.store.put("servers", replica.id, {
      service: replica.id.replace(/-\d+$/, ""),
      address: replica.address,
      zone: "muc-a",
      slots: 8,
      state,
      "seq-no": 1,
    });
  }

  /** Replica that runs a request at present. */
  findRunningReplica(id: string): ReplicaStandin | undefined {
    return this.replicas.find(({ runs }) =>
      runs.some((run) => run.id === id && !run.isOver)
    );
  }

  /** Number of times a request began to run; a moved run counts once. */
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

  async #openAll(nodes: number): Promise<void> {
    for (const service of ["models", "booking"]) {
      await this.#addReplica(`${service}-1`, service);
      await this.#addReplica(`${service}-2`, service);
    }
    this.configure([tenantKey]);
    await this.#startNodes(nodes);
  }

  async #addReplica(id: string, service: string): Promise<void> {
    const events = service === "models"
      ? { events: streamEventCount, eventMs }
      : {};
    const replica = await ReplicaStandin.open({ id, ...events });
    this.replicas.push(replica);
    this.registerReplica(replica, "ready");
  }

  async #startNodes(count: number): Promise<void> {
    const ports = await findSharedPorts();
    for (let at = 0; at < count; at += 1) {
      const place = await createNodePlace(at, ports, {
        storeAddress: this.store.address,
        cloudAddress: this.cloud.address,
      });
      const command = [...listOwnProgram(), "serve", "gateway"];
      this.nodes.push(
        NodeProcess.create({ place, command, folder: this.#folder }),
      );
    }
    const starts = this.nodes.map((node) => node.start());
    // All have started or failed before a failure ends the others.
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
  throw new Error(`the node at ${address} is not ready; look at its log`);
}

/** Arguments that make the runtime run this program again. */
function listOwnProgram(): readonly string[] {
  const [, script] = process.argv;
  return isSea() || script === undefined ? [] : [script];
}

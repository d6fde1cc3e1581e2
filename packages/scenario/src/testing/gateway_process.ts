/**
 * One real process of a gateway node, with stand-ins of the platform and replicas,
 * for tests of signals, starts and outputs.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import {
  type RouteAnswer,
  type RouteRequest,
  sendRouteRequest,
} from "@almondcrank/load/route_client.ts";
import { CloudStandin } from "@almondcrank/standin/platform/cloud_standin.ts";
import {
  createExampleConfiguration,
  type ExampleConfigurationOptions,
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import {
  createNodePlace,
  findSharedPorts,
  formatNodeSettings,
  type NodePlace,
} from "@almondcrank/standin/platform/node_settings.ts";
import { ReplicaStandin } from "@almondcrank/standin/platform/replica_standin.ts";
import {
  type StoreFault,
  StoreStandin,
} from "@almondcrank/standin/platform/store_standin.ts";
import { type ProcessMemory, readProcessMemory } from "./process_memory.ts";

const settingsVariable = "ALMONDCRANK_SETTINGS";
const waitMs = 10_000;
const pollMs = 10;

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: string | null;
}

let nextId = 1;

/** A node that is started as a process, and what it speaks with. */
export class GatewayProcess {
  readonly place: NodePlace;
  readonly booking: ReplicaStandin;
  readonly #store: StoreStandin;
  readonly #cloud: CloudStandin;
  readonly #folder = mkdtempSync(join(tmpdir(), "gateway-process-"));
  #child: ChildProcess | undefined;
  output = "";
  #end: ProcessEnd | undefined;

  private constructor(
    parts: Pick<GatewayProcess, "place" | "booking"> & {
      readonly store: StoreStandin;
      readonly cloud: CloudStandin;
    },
  ) {
    this.place = parts.place;
    this.booking = parts.booking;
    this.#store = parts.store;
    this.#cloud = parts.cloud;
  }

  /**
   * Opens the stand-ins; `start` starts the process.
   *
   * @param link Opens a way to an address that the node takes in its place.
   */
  static async open(
    link: (address: string) => Promise<string> = (address) =>
      Promise.resolve(address),
  ): Promise<GatewayProcess> {
    const store = await StoreStandin.open();
    const cloud = await CloudStandin.open();
    const booking = await ReplicaStandin.open({ id: "booking-1" });
    store.put("config", "main", createExampleConfiguration(1, {}));
    store.put(
      replicasKind,
      "booking-1",
      createEntry(await link(booking.address)),
    );
    const place = await createNodePlace(0, await findSharedPorts(), {
      storeAddress: await link(store.address),
      cloudAddress: await link(cloud.address),
    });
    return new GatewayProcess({ place, booking, store, cloud });
  }

  get settingsText(): string {
    return formatNodeSettings(this.place, { isFirstStart: true });
  }

  /** Writes the settings file, by default as the platform does. */
  writeSettings(text: string = this.settingsText): void {
    writeFileSync(join(this.#folder, "settings.json"), text);
  }

  /**
   * Starts the process; does not wait for it.
   *
   * @param descriptors Number of files and sockets that it may have open.
   */
  start(command: readonly string[], descriptors?: number): void {
    const limit = descriptors === undefined ? "" : `ulimit -n ${descriptors}; `;
    const args = ["-c", `${limit}exec "$0" "$@"`, process.execPath, ...command];
    const child = spawn("/bin/sh", args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        ...process.env,
        [settingsVariable]: join(this.#folder, "settings.json"),
      },
    });
    const record = (data: Buffer): void => void (this.output += `${data}`);
    child.stdout.on("data", record);
    child.stderr.on("data", record);
    child.once("exit", (code, signal) => this.#end = { code, signal });
    this.#child = child;
  }

  /** Registers other replicas for bookings in place of the first one. */
  replaceReplicas(addresses: readonly string[]): void {
    this.#store.remove(replicasKind, "booking-1");
    for (const [at, address] of addresses.entries()) {
      this.#store.put(replicasKind, `large-${at}`, createEntry(address));
    }
  }

  /** Writes the second version of the configuration. */
  configure(change: ExampleConfigurationOptions): void {
    this.#store.put("config", "main", createExampleConfiguration(2, change));
  }

  /** Makes the store fail; the result ends that. */
  breakStore(fault: StoreFault | "refuse"): () => void {
    if (fault === "refuse") return this.#store.refuse();
    this.#store.fault = fault;
    return () => void (this.#store.fault = "none");
  }

  /** Closes this end of the process's outputs. */
  closeOutputs(): void {
    this.#child?.stdout?.destroy();
    this.#child?.stderr?.destroy();
  }

  /** Id of the process; 0 before its start. */
  get pid(): number {
    return this.#child?.pid ?? 0;
  }

  get hasEnded(): boolean {
    return this.#end !== undefined;
  }

  /** Reads the memory of the process, in MiB, as the kernel counts it. */
  readMemory(): ProcessMemory {
    return readProcessMemory(this.#child?.pid);
  }

  /** Reads the metrics of the node. */
  async readMetrics(): Promise<string> {
    const response = await fetch(`http://${this.place.control}/metrics`);
    return await response.text();
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Sends a booking of which the answer is awaited for some seconds. */
  book(more: Partial<RouteRequest> = {}): Promise<RouteAnswer> {
    return sendRouteRequest({
      key: tenantKey,
      deadlineMs: 4_000,
      id: `process-${nextId++}`,
      path: "/book/x",
      host: exampleHostname,
      address: this.place.callers,
      ...more,
    });
  }

  /** Waits until the node answers a booking; throws if it ends before. */
  async waitUntilServing(): Promise<void> {
    const endsAt = performance.now() + waitMs;
    while ((await this.book()).status !== 200) {
      if (this.hasEnded || performance.now() > endsAt) {
        throw new Error(`the node does not serve:\n${this.output}`);
      }
      await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
  }

  /** Waits until the output has a text. */
  async waitForOutput(text: string): Promise<void> {
    const endsAt = performance.now() + waitMs;
    while (!this.output.includes(text)) {
      if (this.hasEnded || performance.now() > endsAt) {
        throw new Error(`no "${text}" in the output:\n${this.output}`);
      }
      await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
  }

  async waitForEnd(): Promise<ProcessEnd> {
    if (this.#end === undefined && this.#child !== undefined) {
      await once(this.#child, "exit");
    }
    return this.#end ?? { code: null, signal: null };
  }

  /** Kills the process and closes the stand-ins. */
  async close(): Promise<void> {
    this.signal("SIGKILL");
    await this.waitForEnd();
    this.booking.close();
    this.#store.close();
    this.#cloud.close();
    rmSync(this.#folder, { recursive: true });
  }
}

function createEntry(address: string): unknown {
  return composeReplicaEntry({ service: "booking", address });
}

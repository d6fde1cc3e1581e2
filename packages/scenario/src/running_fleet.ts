/**
 * A fleet of real processes on loopback: one for all stand-ins, one per node.
 */

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { ProgramProcess } from "./program_process.ts";
import {
  computePortCount,
  createAddresses,
  createNodeSettings,
  createReleaseNote,
  createStandinSettings,
  type FleetAddresses,
  type FleetSize,
  type NodeAddresses,
  operatorKey,
} from "./fleet_settings.ts";
import { findFreePorts } from "./free_ports.ts";
import { Relay } from "./relay.ts";

const readyTimeoutMs = 20_000;
const pollMs = 50;
const maxSeeds = 3;

/** Relays on the connections of one node that a scenario can cut. */
interface NodeRelays {
  readonly peers: Relay;
  readonly platform: Relay;
}

/** Response to a control or operators' request, with its parsed body. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** The running processes of a scenario; `close` ends them all. */
export class RunningFleet {
  readonly size: FleetSize;
  readonly addresses: FleetAddresses;
  readonly #folder: string;
  readonly #nodes = new Map<number, ProgramProcess>();
  readonly #relays: readonly NodeRelays[];
  #standins: ProgramProcess | undefined;

  private constructor(options: {
    readonly size: FleetSize;
    readonly addresses: FleetAddresses;
    readonly folder: string;
    readonly relays: readonly NodeRelays[];
  }) {
    this.size = options.size;
    this.addresses = options.addresses;
    this.#folder = options.folder;
    this.#relays = options.relays;
  }

  /**
   * Starts the stand-ins and all nodes, applies the first release note and waits
   * until every node is ready.
   */
  static async open(size: FleetSize, seed: number): Promise<RunningFleet> {
    const ports = await findFreePorts(computePortCount(size));
    const addresses = createAddresses(size, ports);
    const folder = await mkdtemp(join(tmpdir(), "almondcrank-"));
    const relays = await Promise.all(addresses.nodes.map(async (node) => ({
      peers: await Relay.open(node.peers),
      platform: await Relay.open(addresses.objectApi),
    })));
    const fleet = new RunningFleet({ size, addresses, folder, relays });
    try {
      await fleet.#startAll(seed);
    } catch (thrown) {
      await fleet.close();
      throw thrown;
    }
    return fleet;
  }

  /** Numbers of the nodes with a running process, in ascending order. */
  get runningNodes(): readonly number[] {
    return [...this.#nodes.keys()].sort((a, b) => a - b);
  }

  /** Returns the addresses of a node, numbered from 1. */
  findAddresses(node: number): NodeAddresses {
    const found = this.addresses.nodes[node - 1];
    if (found === undefined) throw new Error(`the fleet has no node ${node}`);
    return found;
  }

  /** Returns the process of a node; throws if it is not running. */
  findProcess(node: number): ProgramProcess {
    const program = this.#nodes.get(node);
    if (program === undefined) throw new Error(`node ${node} is not running`);
    return program;
  }

  /** Starts a node and waits until it listens, not until it is ready. */
  async startNode(node: number): Promise<void> {
    const relays = this.#relays[node - 1];
    if (relays === undefined) throw new Error(`the fleet has no node ${node}`);
    const seeds = this.#relays.slice(0, maxSeeds)
      .filter((other) => other !== relays)
      .map((other) => other.peers.address);
    const settings = createNodeSettings(this.size, this.addresses, {
      number: node,
      seeds,
      links: {
        advertisedPeers: relays.peers.address,
        objectApi: relays.platform.address,
      },
    });
    const file = await this.#writeFile(`node-${node}.json`, settings);
    this.#nodes.set(
      node,
      await ProgramProcess.open({
        program: "dist/almondcrank.cjs",
        args: ["serve", "--settings", file],
        readyText: "listening",
      }),
    );
  }

  /** Kills a node's process. */
  async killNode(node: number): Promise<void> {
    const program = this.findProcess(node);
    this.#nodes.delete(node);
    await program.kill();
  }

  /**
   * Sends SIGTERM to a node, which no longer counts as running.
   *
   * @returns Its exit code, null if a signal ended it.
   */
  stopNode(node: number): Promise<number | null> {
    const program = this.findProcess(node);
    this.#nodes.delete(node);
    program.signal("SIGTERM");
    return program.waitForExit();
  }

  /**
   * Cuts a node off from its peers' calls and from the object API, or
   * reconnects it.
   */
  setCut(node: number, cut: boolean): void {
    const relays = this.#relays[node - 1];
    relays?.peers.setCut(cut);
    relays?.platform.setCut(cut);
  }

  /**
   * Sends an operators' request to a node: POST with a body, GET without one.
   */
  async callOperator(
    node: number,
    path: string,
    body?: unknown,
  ): Promise<JsonResponse> {
    return await callJson(
      `http://${this.findAddresses(node).operators}${path}`,
      body,
      {
        authorization: `Bearer ${operatorKey}`,
      },
    );
  }

  /** Sends a control request to a stand-in; throws unless it succeeds. */
  async sendControl(
    part: string,
    path: string,
    body?: unknown,
  ): Promise<JsonResponse> {
    const url = `http://${this.addresses.control}/parts/${part}/control${path}`;
    const response = await callJson(url, body);
    if (response.status >= 300) {
      throw new Error(
        `control request ${path} to ${part} failed: ${
          JSON.stringify(response.body)
        }`,
      );
    }
    return response;
  }

  /** Waits until every running node is ready. */
  async waitUntilReady(): Promise<void> {
    await Promise.all(
      this.runningNodes.map((node) => this.#waitNodeReady(node)),
    );
  }

  /** Formats the logs of all processes for a failure report. */
  formatLogs(): string {
    const logs = [...this.#nodes].map(([node, program]) =>
      `--- node ${node}\n${program.log}`
    );
    return [...logs, `--- standin\n${this.#standins?.log ?? ""}`].join("\n");
  }

  /** Kills every process and removes the settings files. */
  async close(): Promise<void> {
    await Promise.all([...this.#nodes.values()].map((node) => node.kill()));
    await this.#standins?.kill();
    for (const { peers, platform } of this.#relays) {
      peers.dispose();
      platform.dispose();
    }
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #startAll(seed: number): Promise<void> {
    const settings = createStandinSettings(this.size, this.addresses, seed);
    const file = await this.#writeFile("standin.json", settings);
    this.#standins = await ProgramProcess.open({
      program: "dist/standin.cjs",
      args: ["--settings", file],
      readyText: "ready",
    });
    const numbers = this.addresses.nodes.map((_, index) => index + 1);
    await Promise.all(numbers.map((node) => this.startNode(node)));
    const note = createReleaseNote(this.size, this.addresses);
    const response = await this.callOperator(1, "/apply", {
      file: "first.jsonc",
      text: JSON.stringify(note),
      writeId: "scenario-first-note",
    });
    if (response.status !== 200) {
      throw new Error(
        `first release note not applied: ${JSON.stringify(response.body)}`,
      );
    }
    await this.waitUntilReady();
  }

  async #waitNodeReady(node: number): Promise<void> {
    const end = Date.now() + readyTimeoutMs;
    while (Date.now() < end) {
      const status = await this.callOperator(node, "/status")
        .catch(() => undefined);
      const body = status?.body as
        | { readiness?: string; revision?: number }
        | undefined;
      if (body?.readiness === "ready" && (body.revision ?? 0) > 0) return;
      await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
    throw new Error(`node ${node} is not ready after ${readyTimeoutMs} ms`);
  }

  async #writeFile(name: string, value: object): Promise<string> {
    const path = join(this.#folder, name);
    await writeFile(path, JSON.stringify(value, null, 2));
    return path;
  }
}

async function callJson(
  url: string,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  const response = await request(url, {
    method: body === undefined ? "GET" : "POST",
    headers: { ...headers, "content-type": "application/json" },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return { status: response.statusCode, body: await response.body.json() };
}

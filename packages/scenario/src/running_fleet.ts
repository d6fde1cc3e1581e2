/**
 * A fleet of real processes on loopback: stand-ins in one, each node in one.
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
const seedNodes = 3;

/** Links of one node that can be cut. */
interface NodeRelays {
  readonly peers: Relay;
  readonly platform: Relay;
}

/** An answer of a control or operators' call. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Running processes of a scenario. */
export class RunningFleet {
  readonly size: FleetSize;
  readonly addresses: FleetAddresses;
  readonly #folder: string;
  readonly #nodes = new Map<number, ProgramProcess>();
  readonly #links: readonly NodeRelays[];
  #standin: ProgramProcess | undefined;

  private constructor(options: {
    readonly size: FleetSize;
    readonly addresses: FleetAddresses;
    readonly folder: string;
    readonly links: readonly NodeRelays[];
  }) {
    this.size = options.size;
    this.addresses = options.addresses;
    this.#folder = options.folder;
    this.#links = options.links;
  }

  /** Starts the stand-ins and all nodes and applies the first release note. */
  static async open(size: FleetSize, seed: number): Promise<RunningFleet> {
    const ports = await findFreePorts(computePortCount(size));
    const addresses = createAddresses(size, ports);
    const folder = await mkdtemp(join(tmpdir(), "almondcrank-"));
    const links = await Promise.all(addresses.nodes.map(async (node) => ({
      peers: await Relay.open(node.peers),
      platform: await Relay.open(addresses.objectApi),
    })));
    const fleet = new RunningFleet({ size, addresses, folder, links });
    try {
      await fleet.#startAll(seed);
    } catch (thrown) {
      await fleet.close();
      throw thrown;
    }
    return fleet;
  }

  /** Numbers of the nodes whose processes run. */
  get runningNodes(): readonly number[] {
    return [...this.#nodes.keys()].sort((a, b) => a - b);
  }

  /** Addresses of a node, counted from 1. */
  findAddresses(node: number): NodeAddresses {
    const found = this.addresses.nodes[node - 1];
    if (found === undefined) throw new Error(`there is no node ${node}`);
    return found;
  }

  /** Process of a node. */
  findProcess(node: number): ProgramProcess {
    const program = this.#nodes.get(node);
    if (program === undefined) throw new Error(`node ${node} does not run`);
    return program;
  }

  /** Starts a node without waiting until it is ready. */
  async startNode(node: number): Promise<void> {
    const links = this.#links[node - 1];
    if (links === undefined) throw new Error(`there is no node ${node}`);
    const seeds = this.#links.slice(0, seedNodes)
      .filter((other) => other !== links)
      .map((other) => other.peers.address);
    const settings = createNodeSettings(this.size, this.addresses, {
      number: node,
      seeds,
      links: {
        advertisedPeers: links.peers.address,
        objectApi: links.platform.address,
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

  /** Tells a node to stop and forgets it; resolves with its exit code. */
  stopNode(node: number): Promise<number | null> {
    const program = this.findProcess(node);
    this.#nodes.delete(node);
    program.signal("SIGTERM");
    return program.waitForExit();
  }

  /** Cuts a node from its peers' calls and from the object API, or heals it. */
  setCut(node: number, cut: boolean): void {
    const links = this.#links[node - 1];
    links?.peers.setCut(cut);
    links?.platform.setCut(cut);
  }

  /** Sends an operators' command to a node. */
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

  /** Sends a control order to a stand-in. */
  async sendControl(
    part: string,
    path: string,
    body?: unknown,
  ): Promise<JsonResponse> {
    const url = `http://${this.addresses.control}/parts/${part}/control${path}`;
    const answer = await callJson(url, body);
    if (answer.status >= 300) {
      throw new Error(
        `control order ${path} to ${part}: ${JSON.stringify(answer.body)}`,
      );
    }
    return answer;
  }

  /** Waits until every running node is ready. */
  async waitUntilReady(): Promise<void> {
    await Promise.all(
      this.runningNodes.map((node) => this.#waitNodeReady(node)),
    );
  }

  /** Logs of all processes, for a report of a failure. */
  formatLogs(): string {
    const logs = [...this.#nodes].map(([node, program]) =>
      `--- node ${node}\n${program.log}`
    );
    return [...logs, `--- standin\n${this.#standin?.log ?? ""}`].join("\n");
  }

  /** Ends every process and removes the files. */
  async close(): Promise<void> {
    await Promise.all([...this.#nodes.values()].map((node) => node.kill()));
    await this.#standin?.kill();
    for (const { peers, platform } of this.#links) {
      peers.dispose();
      platform.dispose();
    }
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #startAll(seed: number): Promise<void> {
    const settings = createStandinSettings(this.size, this.addresses, seed);
    const file = await this.#writeFile("standin.json", settings);
    this.#standin = await ProgramProcess.open({
      program: "dist/standin.cjs",
      args: ["--settings", file],
      readyText: "ready",
    });
    const numbers = this.addresses.nodes.map((_, index) => index + 1);
    await Promise.all(numbers.map((node) => this.startNode(node)));
    const note = createReleaseNote(this.size, this.addresses);
    const answer = await this.callOperator(1, "/apply", {
      file: "first.jsonc",
      text: JSON.stringify(note),
      writeId: "scenario-first-note",
    });
    if (answer.status !== 200) {
      throw new Error(`first note: ${JSON.stringify(answer.body)}`);
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
  const answer = await request(url, {
    method: body === undefined ? "GET" : "POST",
    headers: { ...headers, "content-type": "application/json" },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return { status: answer.statusCode, body: await answer.body.json() };
}

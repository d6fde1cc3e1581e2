/**
 * The demo's fleet: stand-ins and three nodes on loopback in one process.
 */

import { SystemClock } from "@almondcrank/common/clock.ts";
import { type Disposable } from "@almondcrank/common/disposables.ts";
import { computeKeyHash } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { RequestMix } from "@almondcrank/load/request_mix.ts";
import { Node } from "@almondcrank/node/node.ts";
import { parseNodeSettings } from "@almondcrank/node/settings.ts";
import { StandinSet } from "@almondcrank/standin/standin_set.ts";
import { request } from "undici";

const freePort = "127.0.0.1:0";
const operatorKey = "demo-operator-key";
const zones = ["muc-1", "muc-2"] as const;
const engineCount = 4;
const nodeCount = 3;
const model = "pruef-14b";
const readyTimeoutMs = 10_000;
const pollMs = 20;

/** The nodes and stand-ins of the demo; `dispose` stops them. */
export class DemoFleet implements Disposable {
  readonly standins: StandinSet;
  readonly nodes: readonly Node[];

  private constructor(standins: StandinSet, nodes: readonly Node[]) {
    this.standins = standins;
    this.nodes = nodes;
  }

  /**
   * Starts the stand-ins and nodes and applies the first release note.
   *
   * @throws When the note is refused or a node doesn't apply it within 10 s.
   */
  static async open(mix: RequestMix, log: Log): Promise<DemoFleet> {
    const clock = SystemClock.create();
    const standins = await StandinSet.open(createStandinSettings(), { clock });
    const nodes: Node[] = [];
    for (let number = 1; number <= nodeCount; number++) {
      const settings = createNodeSettings(number, standins, nodes);
      nodes.push(await Node.open({ settings, log }));
    }
    const fleet = new DemoFleet(standins, nodes);
    await fleet.#applyReleaseNote(mix);
    return fleet;
  }

  /** Callers' address of the node at `index`, from 0; wraps around. */
  findCallerAddress(index: number): string {
    return this.#findNode(index).addresses.callers;
  }

  /** Name of the endpoint that serves a stream now, if any. */
  async findStreamEndpoint(streamId: string): Promise<string | undefined> {
    const answers = await Promise.all(this.nodes.map(async (node) => {
      const answer = await request(
        `http://${node.addresses.operators}/streams`,
        { headers: { authorization: `Bearer ${operatorKey}` } },
      );
      return await answer.body.json() as {
        streams: readonly { id: string; endpoint?: string }[];
      };
    }));
    return answers.flatMap((answer) => answer.streams)
      .find((stream) => stream.id === streamId)?.endpoint;
  }

  dispose(): void {
    for (const node of this.nodes) node.dispose();
    this.standins.dispose();
  }

  #findNode(index: number): Node {
    const node = this.nodes[index % this.nodes.length];
    if (node === undefined) throw new Error("the demo has no nodes");
    return node;
  }

  async #applyReleaseNote(mix: RequestMix): Promise<void> {
    const { operators } = this.#findNode(0).addresses;
    const answer = await request(`http://${operators}/apply`, {
      method: "POST",
      headers: { authorization: `Bearer ${operatorKey}` },
      body: JSON.stringify({
        file: "demo.jsonc",
        text: JSON.stringify(createReleaseNote(mix, this.standins)),
        writeId: "demo-first-note",
      }),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) throw new Error(`note refused: ${text}`);
    const { revision } = JSON.parse(text) as { revision: number };
    await Promise.all(this.nodes.map((node) => waitInForce(node, revision)));
  }
}

async function waitInForce(node: Node, revision: number): Promise<void> {
  const end = performance.now() + readyTimeoutMs;
  while (node.revision < revision) {
    if (performance.now() > end) throw new Error("a node is not ready in time");
    await new Promise((resolve) => setTimeout(resolve, pollMs));
  }
}

function findZone(index: number): string {
  return zones[index % zones.length] ?? zones[0];
}

function createStandinSettings(): Parameters<typeof StandinSet.open>[0] {
  return {
    seed: 1,
    objectApi: { address: freePort },
    hostList: { address: freePort },
    cloudApi: { address: freePort },
    weightStore: { address: freePort },
    engines: Array.from({ length: engineCount }, (_, index) => ({
      name: `engine-${index + 1}`,
      address: freePort,
      service: "assistant",
      zone: findZone(index),
      machineClass: "gpu-l",
      models: [{ model, version: "1", adapters: [] }],
    })),
    plainServices: [{
      name: "booking-1",
      address: freePort,
      service: "booking",
      zone: findZone(0),
      market: "on_demand",
    }],
  };
}

function createNodeSettings(
  number: number,
  standins: StandinSet,
  openNodes: readonly Node[],
): Parameters<typeof Node.open>[0]["settings"] {
  const text = JSON.stringify({
    node: `node-${number}`,
    zone: findZone(number),
    region: "bavaria",
    listen: { callers: freePort, peers: freePort, operators: freePort },
    peers: openNodes.map((node) => node.addresses.peers),
    peerKey: "demo-peer-key-0123456789",
    operatorKey,
    platform: {
      objectApi: standins.objectApi?.address,
      hostList: standins.hostList?.address,
      cloudApi: standins.cloudApi?.address,
      weightStore: standins.weightStore?.address,
    },
  });
  return parseNodeSettings("demo", text).unsafeCoerce();
}

function createReleaseNote(mix: RequestMix, standins: StandinSet): object {
  const endpoint = (name: string, index: number, service: string): object => ({
    name,
    service,
    address: standins.findPart(name)?.address,
    host: name,
    zone: findZone(index),
    machineClass: "gpu-l",
    market: service === "booking" ? "on_demand" : "reclaimable",
    checksFencing: true,
  });
  return {
    add: {
      teams: mix.teams.map(({ name, key }, priority) => ({
        name,
        keyHash: computeKeyHash(key),
        priority,
        share: 1,
      })),
      models: [{ name: model, version: "1", weightBytes: 16_000_000_000 }],
      services: [
        {
          kind: "model",
          name: "assistant",
          model,
          adapters: [],
          target: { firstTokenMs: 1_600, betweenTokensMs: 32 },
          timeoutMs: 30_000,
          maxOutputTokens: 512,
        },
        {
          kind: "plain",
          name: "booking",
          idempotentMethods: ["GET", "HEAD"],
          timeoutMs: 5_000,
        },
      ],
      endpoints: [
        ...Array.from(
          { length: engineCount },
          (_, index) => endpoint(`engine-${index + 1}`, index, "assistant"),
        ),
        endpoint("booking-1", 0, "booking"),
      ],
    },
  };
}

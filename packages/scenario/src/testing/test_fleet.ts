/**
 * A small fleet on loopback in the test's own process: stand-ins and nodes.
 */

import { SystemClock } from "@almondcrank/common/clock.ts";
import { type Disposable } from "@almondcrank/common/disposables.ts";
import { computeKeyHash } from "@almondcrank/common/hashing.ts";
import { createSilentLog, type Log } from "@almondcrank/common/logs.ts";
import { Node } from "@almondcrank/node/node.ts";
import { parseNodeSettings } from "@almondcrank/node/settings.ts";
import { EngineStandin } from "@almondcrank/standin/engine_standin.ts";
import { PlainServiceStandin } from "@almondcrank/standin/plain_standin.ts";
import { StandinSet } from "@almondcrank/standin/standin_set.ts";
import { request } from "undici";

const ephemeralAddress = "127.0.0.1:0";
const zone = "muc-1";
const readyTimeoutMs = 10_000;
const pollMs = 10;

/** Bearer key of the operators. */
export const operatorKey = "operator-key-0123456789";
/** Bearer key of the fleet's only team, `desk`. */
export const teamKey = "team-key-0123456789";
/** Model of the service `assistant`. */
export const testModel = "pruef-14b";

/** Options of a test's fleet. */
export interface TestFleetOptions {
  /** Number of nodes, 1 by default. */
  readonly nodes?: number;
  /** Number of engines, 1 by default. */
  readonly engines?: number;
  /** Limits in the nodes' settings that differ from the defaults. */
  readonly limits?: Readonly<Record<string, number>>;
  readonly log?: Log;
  /** Settings of the engines that differ from the stand-in's defaults. */
  readonly engine?: Readonly<Record<string, number>>;
}

/** A running fleet: nodes, engines and one booking service. */
export class TestFleet implements Disposable {
  readonly standins: StandinSet;
  readonly nodes: readonly Node[];

  private constructor(standins: StandinSet, nodes: readonly Node[]) {
    this.standins = standins;
    this.nodes = nodes;
  }

  /**
   * Starts everything; resolves once the first release note is in force at every
   * node and the first node serves.
   */
  static async open(options: TestFleetOptions = {}): Promise<TestFleet> {
    const standins = await StandinSet.open(
      createStandinSettings(options),
      { clock: SystemClock.create() },
    );
    const nodes: Node[] = [];
    const fleet = new TestFleet(standins, nodes);
    try {
      for (let number = 1; number <= (options.nodes ?? 1); number++) {
        const text = createSettingsText(number, fleet, options);
        const settings = parseNodeSettings("test", text).unsafeCoerce();
        const log = options.log ?? createSilentLog();
        nodes.push(await Node.open({ settings, log }));
      }
      await fleet.#applyFirstNote();
      return fleet;
    } catch (thrown) {
      fleet.dispose();
      throw thrown;
    }
  }

  /** Address of the first node's listener for callers. */
  get callers(): string {
    return this.#findFirst().addresses.callers;
  }

  /** Address of the first node's listener for operators. */
  get operators(): string {
    return this.#findFirst().addresses.operators;
  }

  /** The fleet's first engine. */
  get engine(): EngineStandin {
    const [engine] = this.engines;
    if (engine === undefined) throw new Error("no engine-1");
    return engine;
  }

  /** All engines. */
  get engines(): readonly EngineStandin[] {
    return this.standins.parts.filter((part) => part instanceof EngineStandin);
  }

  /** The fleet's booking service. */
  get booking(): PlainServiceStandin {
    const part = this.standins.findPart("booking-1");
    if (!(part instanceof PlainServiceStandin)) throw new Error("no booking-1");
    return part;
  }

  dispose(): void {
    for (const node of this.nodes) node.dispose();
    this.standins.dispose();
  }

  #findFirst(): Node {
    const node = this.nodes[0];
    if (node === undefined) throw new Error("the fleet has no nodes");
    return node;
  }

  async #applyFirstNote(): Promise<void> {
    const answer = await request(`http://${this.operators}/apply`, {
      method: "POST",
      headers: { authorization: `Bearer ${operatorKey}` },
      body: JSON.stringify({
        file: "first.jsonc",
        text: JSON.stringify(createFirstNote(
          this.standins,
          this.engines.map(({ name }) => name),
        )),
        writeId: "first-note",
      }),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) throw new Error(`note refused: ${text}`);
    const { revision } = JSON.parse(text) as { revision: number };
    await waitUntil(() =>
      this.nodes.every((node) => node.revision >= revision)
    );
    await waitUntil(async () => await this.#isServing());
  }

  async #isServing(): Promise<boolean> {
    const answer = await request(`http://${this.operators}/status`, {
      headers: { authorization: `Bearer ${operatorKey}` },
    });
    const status = await answer.body.json() as {
      readiness: string;
      endpoints: readonly { running?: number }[];
    };
    return status.readiness === "ready" &&
      status.endpoints.length === this.engines.length + 1 &&
      status.endpoints.every(({ running }) => running !== undefined);
  }
}

/** Waits until a check holds; rejects after 10 s. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + readyTimeoutMs;
  while (!(await check())) {
    if (performance.now() > deadline) throw new Error("check timed out");
    await new Promise((resolve) => setTimeout(resolve, pollMs));
  }
}

function listEngineNames({ engines = 1 }: TestFleetOptions): string[] {
  return Array.from({ length: engines }, (_, i) => `engine-${i + 1}`);
}

function createStandinSettings(
  options: TestFleetOptions,
): Parameters<typeof StandinSet.open>[0] {
  return {
    seed: 1,
    objectApi: { address: ephemeralAddress },
    hostList: { address: ephemeralAddress },
    cloudApi: { address: ephemeralAddress },
    weightStore: { address: ephemeralAddress },
    engines: listEngineNames(options).map((name) => ({
      name,
      address: ephemeralAddress,
      service: "assistant",
      zone,
      machineClass: "gpu-l",
      models: [{ model: testModel, version: "1", adapters: ["formal"] }],
      ...options.engine,
    })),
    plainServices: [{
      name: "booking-1",
      address: ephemeralAddress,
      service: "booking",
      zone,
      market: "on_demand",
    }],
  };
}

function createSettingsText(
  number: number,
  { standins, nodes }: TestFleet,
  options: TestFleetOptions,
): string {
  return JSON.stringify({
    node: `node-${number}`,
    zone,
    listen: {
      callers: ephemeralAddress,
      peers: ephemeralAddress,
      operators: ephemeralAddress,
    },
    peers: nodes.map((node) => node.addresses.peers),
    peerKey: "peer-key-0123456789",
    operatorKey,
    platform: {
      objectApi: standins.objectApi?.address,
      hostList: standins.hostList?.address,
      cloudApi: standins.cloudApi?.address,
      weightStore: standins.weightStore?.address,
    },
    limits: options.limits ?? {},
  });
}

function createFirstNote(
  standins: StandinSet,
  engines: readonly string[],
): object {
  const endpoint = (name: string, service: string): object => ({
    name,
    service,
    address: standins.findPart(name)?.address,
    host: name,
    zone,
    machineClass: "gpu-l",
    market: "on_demand",
    checksFencing: true,
  });
  const keyHash = computeKeyHash(teamKey);
  return {
    add: {
      teams: [{ name: "desk", keyHash, priority: 0, share: 1 }],
      models: [{ name: testModel, version: "1", weightBytes: 16_000_000_000 }],
      adapters: [{ name: "formal", version: "1", model: testModel }],
      services: [
        {
          kind: "model",
          name: "assistant",
          model: testModel,
          adapters: ["formal"],
          target: { firstTokenMs: 1_600, betweenTokensMs: 100 },
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
        ...engines.map((name) => endpoint(name, "assistant")),
        endpoint("booking-1", "booking"),
      ],
    },
  };
}

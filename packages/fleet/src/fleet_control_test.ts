import { Right } from "purify-ts";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { Configuration } from "@almondcrank/common/configuration.ts";
import { Emitter } from "@almondcrank/common/emitter.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import type {
  Membership,
  NodeIdentity,
} from "@almondcrank/membership/membership.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import { FleetControl } from "./fleet_control.ts";
import { MemoryCloud } from "./testing/memory_cloud.ts";
import { MemoryEngine } from "./testing/memory_engine.ts";
import {
  createEndpoint,
  createFirstConfiguration,
} from "./testing/release_fixtures.ts";

/** Nodes that run their control work against one object store. */
class Nodes {
  readonly clock = ManualClock.create();
  readonly store = MemoryObjectStore.create(this.clock);
  readonly cloud = MemoryCloud.create(this.clock);
  readonly engines = new Map<string, MemoryEngine>();
  readonly dead = new Set<string>();
  readonly controls = new Map<string, FleetControl>();
  readonly #identities: readonly NodeIdentity[];
  readonly #hasher: Hasher;
  readonly #configuration: Configuration;

  private constructor(
    hasher: Hasher,
    { zones, nodesPerZone }: {
      readonly zones: number;
      readonly nodesPerZone: number;
    },
  ) {
    this.#hasher = hasher;
    const zoneNames = Array.from({ length: zones }, (_, i) => `zone-${i}`);
    this.#identities = zoneNames.flatMap((zone) =>
      Array.from({ length: nodesPerZone }, (_, i) => ({
        node: `${zone}-node-${i}`,
        incarnation: "1",
        zone,
        region: "r",
        peerAddress: "127.0.0.1:1",
      }))
    );
    const endpoints = zoneNames.map((zone) =>
      createEndpoint(`engine-${zone}`, { zone, host: `host-${zone}` })
    );
    this.#configuration = {
      ...createFirstConfiguration(),
      endpoints,
      revision: 1,
    };
  }

  static async open(zones: number, nodesPerZone: number): Promise<Nodes> {
    const nodes = new Nodes(await openHasher(), { zones, nodesPerZone });
    nodes.#identities.forEach((self, i) => nodes.#start(self, i));
    return nodes;
  }

  #start(self: NodeIdentity, seed: number): void {
    const { clock, store, cloud } = this;
    const membership: Membership = {
      self,
      list: () =>
        this.#identities
          .filter((other) => other !== self && !this.dead.has(other.node))
          .map((identity) => ({ identity, state: "alive", revision: 1 })),
      onChange: Emitter.create<never>().event,
      onNodeReport: Emitter.create<never>().event,
    };
    const control = FleetControl.create({
      store,
      cloud,
      weightStore: {
        readRate: () =>
          Promise.resolve(Right({ bytesPerSecond: 1, activeLoads: 0 })),
      },
      configuration: { current: () => this.#configuration },
      membership,
      engines: ({ name }) => this.find(name),
      loads: () => new Map(),
      capacity: undefined,
      clock,
      random: Random.create(seed),
      hasher: this.#hasher,
      metrics: Metrics.create(),
      log: createSilentLog(),
    });
    this.controls.set(self.node, control);
  }

  find(name: string): MemoryEngine {
    const engine = this.engines.get(name) ?? MemoryEngine.create(name);
    this.engines.set(name, engine);
    return engine;
  }

  kill(node: string): void {
    this.dead.add(node);
    this.controls.get(node)?.dispose();
  }

  listHeldShards(): string[] {
    return [...this.controls]
      .filter(([node]) => !this.dead.has(node))
      .flatMap(([, control]) => control.listHeldShards()).sort();
  }

  dispose(): void {
    for (const control of this.controls.values()) control.dispose();
  }
}

test("each data centre has one lease holder, which sends orders to its engines", async () => {
  const nodes = await Nodes.open(3, 3);
  await nodes.clock.advance(15_000);
  assert.equal(nodes.listHeldShards(), [
    "zone/zone-0",
    "zone/zone-1",
    "zone/zone-2",
  ]);
  assert.is(nodes.engines.size, 3);
  for (const engine of nodes.engines.values()) {
    assert.is(engine.orders.length, 1);
  }
  nodes.dispose();
});

test("the successor of a killed holder has a higher fencing token", async () => {
  const nodes = await Nodes.open(1, 3);
  await nodes.clock.advance(15_000);
  const [holder] = [...nodes.controls]
    .filter(([, control]) => control.listHeldShards().length > 0);
  nodes.kill(holder?.[0] ?? "");
  await nodes.clock.advance(20_000);
  assert.equal(nodes.listHeldShards(), ["zone/zone-0"]);
  assert.is(nodes.find("engine-zone-0").state.fencing, 2);
  nodes.dispose();
});

test("nodes of other data centres take over the shard of one without nodes", async () => {
  const nodes = await Nodes.open(2, 3);
  await nodes.clock.advance(15_000);
  for (const node of [0, 1, 2]) nodes.kill(`zone-0-node-${node}`);
  await nodes.clock.advance(20_000);
  assert.equal(nodes.listHeldShards(), ["zone/zone-0", "zone/zone-1"]);
  nodes.dispose();
});

test("the shard of a node that stops is taken over within one renewal interval", async () => {
  const nodes = await Nodes.open(1, 3);
  await nodes.clock.advance(15_000);
  const [holder] = [...nodes.controls]
    .filter(([, control]) => control.listHeldShards().length > 0);
  const stopping = holder?.[1].stop();
  nodes.dead.add(holder?.[0] ?? "");
  await nodes.clock.advance(4_000);
  await stopping;
  assert.equal(nodes.listHeldShards(), ["zone/zone-0"]);
  nodes.dispose();
});

test("calls to the object API do not grow with the number of nodes", async () => {
  const rates: number[] = [];
  for (const nodesPerZone of [3, 24]) {
    const nodes = await Nodes.open(2, nodesPerZone);
    await nodes.clock.advance(15_000);
    const before = nodes.store.calls;
    await nodes.clock.advance(60_000);
    rates.push((nodes.store.calls - before) / 60);
    nodes.dispose();
  }
  const [few = 0, many = 0] = rates;
  assert.ok(few > 0);
  assert.ok(many <= few * 1.1, `${few} and ${many} calls a second`);
});

test.run();

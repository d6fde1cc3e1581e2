import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  type Configuration,
  emptyConfiguration,
} from "@almondcrank/common/configuration.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";
import { ConfigurationReader } from "@almondcrank/infrastructure/configuration_reader.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import { Lease } from "./lease.ts";
import { MemoryCloud } from "./testing/memory_cloud.ts";
import { NoticeWatch } from "./notice_watch.ts";
import { createEndpoint, parseNote } from "./testing/release_fixtures.ts";
import { ReleaseWriter } from "./release_writer.ts";
import { Autoscaler } from "./autoscaler.ts";
import { DemandHistory } from "./service_demand.ts";

const zones = ["muc-1", "muc-2", "nue-1", "nue-2"];

/** A cloud and a store with one service, followed by replacers. */
class Fleet {
  readonly clock = ManualClock.create();
  readonly store = MemoryObjectStore.create(this.clock);
  readonly cloud = MemoryCloud.create(this.clock);
  readonly reader = ConfigurationReader.create(this.store);
  configuration: Configuration = emptyConfiguration;
  demand = 6;

  private constructor() {
    this.cloud.prices = zones.flatMap((zone) => [
      {
        zone,
        machineClass: "gpu-a",
        market: "reclaimable",
        milliPerHour: 300,
      },
      { zone, machineClass: "gpu-a", market: "on_demand", milliPerHour: 1_000 },
    ]);
  }

  static async open(): Promise<Fleet> {
    const fleet = new Fleet();
    await fleet.apply(0, {
      add: {
        models: [{ name: "m", version: "1", weightBytes: 1 }],
        services: [{
          kind: "model",
          name: "assistant",
          model: "m",
          target: { firstTokenMs: 1_600, betweenTokensMs: 32 },
        }],
      },
    });
    return fleet;
  }

  async apply(base: number, note: unknown): Promise<void> {
    const { store, clock } = this;
    const writer = ReleaseWriter.create({
      store,
      clock,
      random: Random.create(1),
      metrics: Metrics.create(),
      log: createSilentLog(),
    });
    const order = { note: parseNote(note), base, writeId: `w${base}` };
    (await writer.apply(order)).unsafeCoerce();
    await this.update();
  }

  /** Takes in the configuration in force. */
  async update(): Promise<void> {
    this.configuration = (await this.reader.read()).unsafeCoerce();
  }

  /** Starts a replacer that holds the lease until the test drops it. */
  async start(holder: string): Promise<{ replacer: Autoscaler; lease: Lease }> {
    const { store, clock, cloud } = this;
    const lease = Lease.create({
      store,
      clock,
      shard: "capacity",
      holder,
      durationMs: 10_000_000,
    });
    await lease.acquire();
    const replacer = Autoscaler.create({
      cloud,
      store,
      lease,
      configuration: { current: () => this.configuration },
      policy: {
        targetUtilization: 0.75,
        protectedShare: 1,
        survivalUtilization: 0.75,
        classCapacity: new Map([["gpu-a", 1]]),
      },
      listDemand: () =>
        this.configuration.services.map(({ name }) => ({
          service: name,
          demand: this.demand,
          peakDemand: this.demand,
          slotsPerEngine: 1,
        })),
      isLeaving: () => false,
      clock,
      random: Random.create(holder.charCodeAt(0)),
      metrics: Metrics.create(),
      log: createSilentLog(),
    });
    return { replacer, lease };
  }

  /** Lets time pass, with the configuration following the store. */
  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 5_000) {
      await this.clock.advance(5_000);
      await this.update();
    }
  }

  count(market: "reclaimable" | "on_demand"): number {
    return this.cloud.instances
      .filter((instance) =>
        instance.market === market && instance.state !== "leaving"
      ).length;
  }
}

test("hosts are rented, spread and recorded as endpoints", async () => {
  const fleet = await Fleet.open();
  const { replacer } = await fleet.start("a");
  await fleet.run(60_000);
  const { endpoints } = fleet.configuration;
  assert.is(endpoints.length, fleet.count("reclaimable"));
  for (const zone of zones) {
    assert.ok(endpoints.filter((one) => one.zone !== zone).length >= 8);
  }
  assert.match(endpoints[0]?.name ?? "", /^rented-/);
  replacer.dispose();
});

test("a request whose answer was lost does not rent twice", async () => {
  const plain = await Fleet.open();
  const first = await plain.start("a");
  await plain.run(60_000);
  first.replacer.dispose();
  const fleet = await Fleet.open();
  const random = Random.create(5);
  fleet.cloud.isAnswerLost = () => random.next() < 0.5;
  const { replacer } = await fleet.start("a");
  await fleet.run(60_000);
  assert.is(fleet.cloud.instances.length, plain.cloud.instances.length);
  replacer.dispose();
});

test("a reclaimed data centre with refused replacements is bridged on demand", async () => {
  const fleet = await Fleet.open();
  const { replacer } = await fleet.start("a");
  await fleet.run(60_000);
  fleet.cloud.isRefused = ({ market }) => market === "reclaimable";
  fleet.demand = 8;
  fleet.cloud.announceReclaim("muc-1", 5_000);
  fleet.cloud.announceReclaim("muc-2", 5_000);
  await fleet.run(5_000);
  fleet.cloud.removeLeaving();
  await fleet.run(60_000);
  const running = fleet.count("reclaimable") + fleet.count("on_demand");
  assert.ok(fleet.count("on_demand") > 0);
  assert.ok(running >= 8 / 0.75, `${running} hosts`);
  fleet.cloud.isRefused = () => false;
  await fleet.run(1_200_000);
  assert.is(fleet.count("on_demand"), 0);
  assert.ok(fleet.count("reclaimable") >= 14);
  replacer.dispose();
});

test("a successor of a holder killed in the middle rents nothing twice", async () => {
  const fleet = await Fleet.open();
  let granted = 0;
  const { replacer, lease } = await fleet.start("a");
  fleet.cloud.isAnswerLost = () => {
    granted += 1;
    if (granted < 5) return false;
    replacer.dispose();
    lease.markSuperseded(0);
    return true;
  };
  await fleet.run(20_000);
  assert.is(fleet.cloud.instances.length, 5);
  fleet.cloud.isAnswerLost = () => false;
  const key = "fleet/leases/capacity";
  const object = (await fleet.store.read(key)).unsafeCoerce();
  await fleet.store.remove(key, object?.version ?? 0);
  const successor = await fleet.start("b");
  await fleet.run(60_000);
  assert.is(fleet.cloud.instances.length, 11);
  assert.is(fleet.configuration.endpoints.length, 11);
  successor.replacer.dispose();
});

test("hosts leave the configuration before they go back", async () => {
  const fleet = await Fleet.open();
  const { replacer } = await fleet.start("a");
  await fleet.run(60_000);
  const { revision } = fleet.configuration;
  await fleet.apply(revision, { withdraw: { services: ["assistant"] } });
  await fleet.run(30_000);
  assert.equal(fleet.configuration.endpoints, []);
  assert.equal(fleet.cloud.returned, [], "work in progress is drained first");
  await fleet.run(60_000);
  assert.is(fleet.cloud.returned.length, 11);
  replacer.dispose();
});

test("an outage of the cloud API changes nothing", async () => {
  const fleet = await Fleet.open();
  const { replacer } = await fleet.start("a");
  await fleet.run(60_000);
  const before = fleet.configuration.endpoints;
  fleet.cloud.isUnavailable = true;
  await fleet.run(120_000);
  assert.equal(fleet.configuration.endpoints, before);
  replacer.dispose();
});

test("notices reach listeners once, from the cloud API or a peer", async () => {
  const fleet = await Fleet.open();
  const { replacer } = await fleet.start("a");
  await fleet.run(60_000);
  const { clock, cloud } = fleet;
  const hasher = await openHasher();
  const watch = NoticeWatch.create({
    cloud,
    configuration: { current: () => fleet.configuration },
    clock,
    random: Random.create(1),
    hasher,
    metrics: Metrics.create(),
    log: createSilentLog(),
    node: "node-1",
    zone: "muc-1",
    listZoneNodes: () => ["node-1"],
  });
  const heard: string[] = [];
  watch.onLeaving(({ endpoint }) => heard.push(endpoint));
  const first = fleet.configuration.endpoints.find(({ zone }) =>
    zone === "muc-1"
  );
  const name = first?.name ?? "";
  watch.recordPeerNotice({ endpoint: name, remainingMs: 5_000 });
  cloud.announceReclaim("muc-1", 5_000);
  await clock.advance(11_000);
  const expected = fleet.configuration.endpoints
    .filter(({ zone }) => zone === "muc-1").map((one) => one.name);
  assert.equal([...heard].sort(), [...expected].sort());
  assert.is(watch.isLeaving({ host: first?.host ?? "" }), true);
  assert.is(watch.list().length, expected.length);
  watch.dispose();
  replacer.dispose();
});

test("demand keeps its recent peak and skips silent services", async () => {
  const clock = ManualClock.create();
  const history = DemandHistory.create(clock);
  const fleet = await Fleet.open();
  const first = history.recordLoads(fleet.configuration, new Map());
  assert.is(first[0]?.demand, 1, "a service without engines gets its first");
  const endpoints = [createEndpoint("e1"), createEndpoint("e2")];
  const configuration = { ...fleet.configuration, endpoints };
  assert.equal(history.recordLoads(configuration, new Map()), []);
  const load = (running: number): EndpointLoad => ({
    endpoint: "e1",
    ageMs: 0,
    queued: 1,
    running,
    slots: 16,
    queuedTokens: 0,
    prefillTokensPerSecond: 0,
    betweenTokensMs: 0,
    reachable: true,
  });
  history.recordLoads(configuration, new Map([["e1", load(9)]]));
  await clock.advance(60_000);
  const later = history.recordLoads(configuration, new Map([["e1", load(1)]]));
  assert.equal(later, [{
    service: "assistant",
    demand: 2,
    peakDemand: 10,
    slotsPerEngine: 16,
  }]);
});

test.run();

import { Left, Right } from "purify-ts";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type {
  Configuration,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import type { WeightStore } from "@almondcrank/infrastructure/weight_store.ts";
import { Lease } from "./lease.ts";
import { MemoryEngine } from "./testing/memory_engine.ts";
import { OrderSender } from "./order_sender.ts";
import { Reconciler } from "./reconciler.ts";
import {
  createEndpoint,
  createFirstConfiguration,
} from "./testing/release_fixtures.ts";
import { chooseLoads } from "./weight_loads.ts";

/** Shard with in-memory engines. */
class Shard {
  readonly clock = ManualClock.create();
  readonly metrics = Metrics.create();
  readonly engines = new Map<string, MemoryEngine>();
  readonly leaving = new Set<string>();
  readonly lease: Lease;
  readonly reconciler: Reconciler;
  configuration: Configuration;
  isWeightStoreDown = false;

  private constructor(
    endpoints: readonly Endpoint[],
    chooseOutcome: () => "pass",
  ) {
    const { clock, metrics } = this;
    this.configuration = {
      ...createFirstConfiguration(),
      endpoints,
      revision: 1,
    };
    const store = MemoryObjectStore.create(clock).createClient(chooseOutcome);
    const holder = "a";
    const durationMs = 1_000_000;
    this.lease = Lease.create({
      store,
      clock,
      shard: "muc-1",
      holder,
      durationMs,
    });
    const weightStore: WeightStore = {
      readRate: () => Promise.resolve(this.#readRate()),
    };
    this.reconciler = Reconciler.create({
      zone: "muc-1",
      configuration: { current: () => this.configuration },
      engines: ({ name }) => this.find(name),
      lease: this.lease,
      sender: OrderSender.create({
        lease: this.lease,
        clock,
        metrics,
        holder,
      }),
      weightStore,
      isLeaving: ({ name }) => this.leaving.has(name),
      clock,
      random: Random.create(1),
      metrics,
      log: createSilentLog(),
    });
  }

  static async open(endpoints: readonly Endpoint[]): Promise<Shard> {
    const shard = new Shard(endpoints, () => "pass");
    await shard.lease.acquire();
    return shard;
  }

  find(name: string): MemoryEngine {
    const engine = this.engines.get(name) ?? MemoryEngine.create(name);
    this.engines.set(name, engine);
    return engine;
  }

  countLoading(): number {
    return [...this.engines.values()]
      .filter(({ state }) => state.loading.length > 0).length;
  }

  #readRate(): ReturnType<WeightStore["readRate"]> extends Promise<infer T> ? T
    : never {
    if (this.isWeightStoreDown) {
      const reason = "injected fault";
      const service = "weight_store";
      return Left(
        PlatformError.create({ kind: "unavailable", service, reason }),
      );
    }
    const activeLoads = this.countLoading();
    return Right({ bytesPerSecond: 1_000_000, activeLoads });
  }
}

function createEndpoints(count: number, fields: Partial<Endpoint> = {}) {
  return Array.from(
    { length: count },
    (_, i) => createEndpoint(`engine-${i}`, fields),
  );
}

test("a few engines load at a time until all are in their desired state", async () => {
  const shard = await Shard.open(createEndpoints(30));
  let maxLoading = 0;
  for (let second = 0; second < 120; second++) {
    await shard.clock.advance(1_000);
    maxLoading = Math.max(maxLoading, shard.countLoading());
    if (second % 10 === 9) {
      for (const engine of shard.engines.values()) engine.finishLoading();
    }
  }
  assert.equal(shard.reconciler.readiness, { ready: 30, all: 30 });
  assert.is(maxLoading, 8);
  for (const engine of shard.engines.values()) {
    assert.is(engine.orders.length, 1, "an accepted order is not repeated");
  }
  shard.reconciler.dispose();
});

test("one load at a time runs while the weight store's rate is unknown", async () => {
  const shard = await Shard.open(createEndpoints(5));
  shard.isWeightStoreDown = true;
  await shard.clock.advance(20_000);
  assert.is(shard.countLoading(), 1);
  shard.reconciler.dispose();
});

test("no order is sent without the lease", async () => {
  const shard = await Shard.open(createEndpoints(3));
  shard.lease.markSuperseded(1);
  await shard.clock.advance(20_000);
  assert.is(shard.engines.size, 0);
  shard.reconciler.dispose();
});

test("withdrawn engines and engines on leaving hosts are drained", async () => {
  const shard = await Shard.open(createEndpoints(3));
  await shard.clock.advance(5_000);
  for (const engine of shard.engines.values()) engine.finishLoading();
  await shard.clock.advance(10_000);
  const [, ...rest] = shard.configuration.endpoints;
  shard.configuration = { ...shard.configuration, endpoints: rest };
  shard.leaving.add("engine-1");
  await shard.clock.advance(2_000);
  const roles = [0, 1, 2].map((i) => shard.find(`engine-${i}`).state.role);
  assert.equal(roles, ["drain", "drain", "serve"]);
  const endpoints = createEndpoints(3);
  shard.configuration = { ...shard.configuration, endpoints };
  await shard.clock.advance(10_000);
  assert.is(shard.find("engine-0").state.role, "serve");
  assert.is(shard.reconciler.readiness.all, 3);
  shard.reconciler.dispose();
});

test("a new model version is ordered, and drift is corrected", async () => {
  const shard = await Shard.open(createEndpoints(1));
  const engine = shard.find("engine-0");
  await shard.clock.advance(3_000);
  engine.finishLoading();
  await shard.clock.advance(10_000);
  const models = shard.configuration.models
    .map((model) => ({ ...model, version: "2" }));
  shard.configuration = { ...shard.configuration, models };
  await shard.clock.advance(3_000);
  engine.finishLoading();
  assert.is(engine.state.models[0]?.version, "2");
  engine.state = { ...engine.state, role: "drain" };
  await shard.clock.advance(150_000);
  assert.is(engine.state.role, "serve");
  shard.reconciler.dispose();
});

test("an unreachable engine is visited with backoff", async () => {
  const shard = await Shard.open(createEndpoints(1));
  const engine = shard.find("engine-0");
  engine.isReachable = false;
  await shard.clock.advance(300_000);
  assert.ok(engine.reads >= 7 && engine.reads <= 12, `${engine.reads} reads`);
  engine.isReachable = true;
  await shard.clock.advance(70_000);
  assert.is(engine.orders.length, 1);
  shard.reconciler.dispose();
});

test("the rate of visits stays limited when every engine differs", async () => {
  const shard = await Shard.open(createEndpoints(344));
  await shard.clock.advance(60_000);
  const reads = [...shard.engines.values()]
    .reduce((sum, engine) => sum + engine.reads, 0);
  assert.ok(reads <= 610, `${reads} reads in 60 s`);
  shard.reconciler.dispose();
});

test("loads start first for the service with the smallest ready share", () => {
  const waiting = [
    { endpoint: "a1", service: "a", bytes: 10 },
    { endpoint: "b1", service: "b", bytes: 10 },
    { endpoint: "b2", service: "b", bytes: 5 },
    { endpoint: "b3", service: "b", bytes: 10 },
  ];
  const readiness = new Map([
    ["a", { ready: 2, all: 4 }],
    ["b", { ready: 0, all: 3 }],
  ]);
  assert.equal(chooseLoads({ waiting, readiness, slots: 3 }), [
    "b2",
    "b1",
    "a1",
  ]);
  assert.equal(chooseLoads({ waiting, readiness, slots: 0 }), []);
});

test.run();

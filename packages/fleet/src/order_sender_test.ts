import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { Clock } from "@almondcrank/common/clock.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  Engine,
  EngineState,
  Order,
} from "@almondcrank/endpoint/engine.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { Lease } from "./lease.ts";
import { LeaseRenewer } from "./lease_renewer.ts";
import { OrderSender } from "./order_sender.ts";
import { createEndpoint } from "./testing/release_fixtures.ts";

const orderTimeoutMs = 5_000;

type Answer = Promise<Either<EndpointError, EngineState>>;

/** An engine's state and every order that took effect. */
class OrderLog {
  readonly checksFencing: boolean;
  readonly effects: Order[] = [];
  state: EngineState = { fencing: 0, role: "serve", models: [], loading: [] };

  private constructor(checksFencing: boolean) {
    this.checksFencing = checksFencing;
  }

  static create(checksFencing: boolean): OrderLog {
    return new OrderLog(checksFencing);
  }

  apply(order: Order): Either<EndpointError, EngineState> {
    const known = this.state.fencing;
    if (this.checksFencing && order.fencing < known) {
      return Left(EndpointError.create({
        kind: "stale_fencing",
        endpoint: "e",
        sent: order.fencing,
        known,
      }));
    }
    this.effects.push(order);
    const { role, models } = order;
    const fencing = Math.max(known, order.fencing);
    this.state = { fencing, role, models, loading: [] };
    return Right(this.state);
  }
}

/** Engine client whose orders take a while to arrive, like a network's. */
function createEngine(
  log: OrderLog,
  run: <T>(effect: () => T) => Promise<T>,
): Engine {
  const unused = () => {
    throw new Error("not used here");
  };
  return {
    name: "e",
    generate: unused,
    readLoad: unused,
    readCacheEvents: unused,
    exportCache: unused,
    importCache: unused,
    sendOrder: (order): Answer => run(() => log.apply(order)),
    readState: (): Answer => run(() => Right(log.state)),
  };
}

/** One process that can be frozen: nothing of it runs until it wakes. */
class FrozenProcess {
  readonly #clock: ManualClock;
  readonly #random: Random;
  #wakesAt = 0;
  freezes = 0;

  private constructor(clock: ManualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  static create(clock: ManualClock, random: Random): FrozenProcess {
    return new FrozenProcess(clock, random);
  }

  /** Clock of the process: time runs on, but nobody wakes while frozen. */
  get clock(): Clock {
    return {
      now: () => this.#clock.now(),
      wallTime: () => this.#clock.wallTime(),
      sleep: async (ms, signal) => {
        await this.#clock.sleep(ms, signal);
        await this.step();
      },
    };
  }

  /** A step of the process; it may freeze here for up to 40 s. */
  async step(): Promise<void> {
    if (this.#random.next() < 0.03) {
      this.freezes += 1;
      this.#wakesAt = this.#clock.now() + this.#random.nextInt(40_000);
    }
    while (this.#clock.now() < this.#wakesAt) {
      await this.#clock.sleep(this.#wakesAt - this.#clock.now());
    }
  }

  /** Store client with delays, lost answers and cuts of up to 30 s. */
  createStore(store: MemoryObjectStore): ObjectStore {
    let cutUntil = 0;
    const client = store.createClient(async () => {
      await this.#clock.sleep(this.#random.nextInt(500));
      const draw = this.#random.next();
      if (draw > 0.9) cutUntil = this.#clock.now() + draw * 30_000;
      if (this.#clock.now() < cutUntil) return "unavailable";
      if (draw < 0.05) return "lost_before";
      return draw < 0.1 ? "lost_after" : "pass";
    });
    const delayed = Object.create(client) as ObjectStore;
    delayed.read = (key) => this.#thaw(client.read(key));
    delayed.write = (key, value, condition) =>
      this.#thaw(client.write(key, value, condition));
    return delayed;
  }

  /** Runs an effect elsewhere after a delay, answering when thawed. */
  async runRemote<T>(longestMs: number, effect: () => T): Promise<T> {
    const isSlow = this.#random.next() < 0.3;
    await this.#clock.sleep(isSlow ? longestMs : this.#random.nextInt(50));
    return this.#thaw(Promise.resolve(effect()));
  }

  async #thaw<T>(promise: Promise<T>): Promise<T> {
    const value = await promise;
    await this.step();
    return value;
  }
}

/** Runs one process: keeps trying for the lease and orders while it holds it. */
async function runProcess(
  index: number,
  { process, store, logs, hasher, metrics }: {
    readonly process: FrozenProcess;
    readonly store: MemoryObjectStore;
    readonly logs: readonly OrderLog[];
    readonly hasher: Hasher;
    readonly metrics: Metrics;
  },
): Promise<void> {
  const { clock } = process;
  const node = `node-${index}`;
  const lease = Lease.create({
    store: process.createStore(store),
    clock,
    shard: "muc-1",
    holder: node,
    durationMs: 10_000,
  });
  LeaseRenewer.create({
    lease,
    clock,
    random: Random.create(index),
    hasher,
    metrics,
    log: createSilentLog(),
    node,
    listNodes: () => ["node-0", "node-1", "node-2"],
  });
  const sender = OrderSender.create({
    lease,
    clock,
    metrics,
    holder: node,
    orderTimeoutMs,
  });
  for (let round = 0;; round++) {
    await clock.sleep(500);
    logs.forEach((log, i) => {
      const { checksFencing } = log;
      // A refusing engine may get orders late without bound.
      const longestMs = checksFencing ? 60_000 : orderTimeoutMs - 500;
      const engine = createEngine(
        log,
        (effect) => process.runRemote(longestMs, effect),
      );
      const endpoint = createEndpoint(`e${i}`, { checksFencing });
      const version = `${node}-${round}`;
      const models = [{ model: "m", version, adapters: [] }];
      void sender.send({ engine, endpoint }, { role: "serve", models });
    });
  }
}

test("no order of an old holder takes effect after its successor's first", async () => {
  const hasher = await openHasher();
  let freezes = 0;
  let handovers = 0;
  let effects = 0;
  await fc.assert(
    fc.asyncProperty(fc.integer(), async (seed) => {
      const clock = ManualClock.create();
      const store = MemoryObjectStore.create(clock);
      const random = Random.create(seed);
      const metrics = Metrics.create();
      const logs = [OrderLog.create(true), OrderLog.create(false)];
      const processes = [0, 1, 2].map(() =>
        FrozenProcess.create(clock, Random.create(random.nextInt(1 << 30)))
      );
      processes.forEach((process, index) =>
        void runProcess(index, { process, store, logs, hasher, metrics })
      );
      await clock.advance(180_000);
      for (const log of logs) {
        const fencings = log.effects.map(({ fencing }) => fencing);
        const sorted = [...fencings].sort((a, b) => a - b);
        assert.equal(fencings, sorted, `checks ${log.checksFencing}`);
        handovers += new Set(fencings).size;
        effects += fencings.length;
      }
      for (const process of processes) freezes += process.freezes;
    }),
    { numRuns: 200, seed: 20_261_203, endOnFailure: true },
  );
  assert.ok(freezes >= 1_000, `${freezes} freezes`);
  assert.ok(handovers >= 800, `${handovers} holders ordered`);
  assert.ok(effects >= 4_000, `${effects} effects`);
});

test("a new holder reads back first where fencing is not checked", async () => {
  const clock = ManualClock.create();
  const lease = Lease.create({
    store: MemoryObjectStore.create(clock),
    clock,
    shard: "muc-1",
    holder: "a",
    durationMs: 60_000,
  });
  await lease.acquire();
  const log = OrderLog.create(false);
  let reads = 0;
  const engine: Engine = {
    ...createEngine(log, (effect) => Promise.resolve(effect())),
    readState: () => {
      reads += 1;
      return Promise.resolve(Right(log.state));
    },
  };
  const metrics = Metrics.create();
  const sender = OrderSender.create({ lease, clock, metrics, holder: "a" });
  const endpoint = createEndpoint("e", { checksFencing: false });
  const desired = { role: "drain", models: [] } as const;
  const early = await sender.send({ engine, endpoint }, desired);
  assert.is(early.swap().unsafeCoerce().kind, "waiting_out");
  await clock.advance(orderTimeoutMs);
  assert.is((await sender.send({ engine, endpoint }, desired)).isRight(), true);
  await sender.send({ engine, endpoint }, desired);
  assert.is(reads, 1);
  assert.is(log.effects.length, 2);
});

test("a refused order drops the lease", async () => {
  const clock = ManualClock.create();
  const lease = Lease.create({
    store: MemoryObjectStore.create(clock),
    clock,
    shard: "muc-1",
    holder: "a",
    durationMs: 60_000,
  });
  await lease.acquire();
  const log = OrderLog.create(true);
  log.state = { ...log.state, fencing: 9 };
  const engine = createEngine(log, (effect) => Promise.resolve(effect()));
  const metrics = Metrics.create();
  const sender = OrderSender.create({ lease, clock, metrics, holder: "a" });
  const endpoint = createEndpoint("e");
  const desired = { role: "serve", models: [] } as const;
  const refused = await sender.send({ engine, endpoint }, desired);
  assert.match(refused.swap().unsafeCoerce().message, "fencing number 9");
  assert.is(lease.checkValid().isLeft(), true);
  await lease.acquire();
  assert.is(lease.checkValid().isLeft(), true, "the old number stays dropped");
  await clock.advance(61_000);
  await lease.acquire();
  assert.is(lease.checkValid().orDefault(0), 10);
});

test.run();

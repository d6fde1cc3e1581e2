import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { type Clock, SystemClock } from "@almondcrank/common/clock.ts";
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
import { HttpEngine } from "@almondcrank/endpoint/http_engine.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { Lease } from "./lease.ts";
import { LeaseRenewer } from "./lease_renewer.ts";
import { OrderSender } from "./order_sender.ts";
import { createEndpoint } from "./testing/release_fixtures.ts";

const orderTimeoutMs = 5_000;

type Answer = Promise<Either<EndpointError, EngineState>>;

/** State of an engine and the orders that took effect. */
class OrderRecorder {
  readonly checksFencing: boolean;
  readonly effects: Order[] = [];
  state: EngineState = { fencing: 0, role: "serve", models: [], loading: [] };

  private constructor(checksFencing: boolean) {
    this.checksFencing = checksFencing;
  }

  static create(checksFencing: boolean): OrderRecorder {
    return new OrderRecorder(checksFencing);
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

/** Creates an engine client whose calls `run` delays as a network would. */
function createEngine(
  recorder: OrderRecorder,
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
    sendOrder: (order): Answer => run(() => recorder.apply(order)),
    readState: (): Answer => run(() => Right(recorder.state)),
  };
}

/** Process that freezes at random: none of its code runs until it wakes. */
class FreezableProcess {
  readonly #clock: ManualClock;
  readonly #random: Random;
  #frozenUntil = 0;
  freezes = 0;

  private constructor(clock: ManualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  static create(clock: ManualClock, random: Random): FreezableProcess {
    return new FreezableProcess(clock, random);
  }

  /**
   * Clock of the process: time goes on while it is frozen, but no sleep ends.
   */
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

  /** Runs one step of the process, which may freeze for up to 40 s. */
  async step(): Promise<void> {
    if (this.#random.next() < 0.03) {
      this.freezes += 1;
      this.#frozenUntil = this.#clock.now() + this.#random.nextInt(40_000);
    }
    while (this.#clock.now() < this.#frozenUntil) {
      await this.#clock.sleep(this.#frozenUntil - this.#clock.now());
    }
  }

  /**
   * Creates a store client with delays, lost answers and outages of up to 30 s.
   */
  createStore(store: MemoryObjectStore): ObjectStore {
    let unavailableUntil = 0;
    const client = store.createClient(async () => {
      await this.#clock.sleep(this.#random.nextInt(500));
      const draw = this.#random.next();
      if (draw > 0.9) unavailableUntil = this.#clock.now() + draw * 30_000;
      if (this.#clock.now() < unavailableUntil) return "unavailable";
      if (draw < 0.05) return "lost_before";
      return draw < 0.1 ? "lost_after" : "pass";
    });
    const delayed = Object.create(client) as ObjectStore;
    delayed.read = (key) => this.#receive(client.read(key));
    delayed.write = (key, value, condition) =>
      this.#receive(client.write(key, value, condition));
    return delayed;
  }

  /**
   * Runs an effect outside the process after a delay; a frozen process gets the
   * answer once it wakes.
   */
  async runRemote<T>(longestMs: number, effect: () => T): Promise<T> {
    const isSlow = this.#random.next() < 0.3;
    await this.#clock.sleep(isSlow ? longestMs : this.#random.nextInt(50));
    return this.#receive(Promise.resolve(effect()));
  }

  async #receive<T>(promise: Promise<T>): Promise<T> {
    const value = await promise;
    await this.step();
    return value;
  }
}

/** Runs one process, which sends orders while it holds the lease. */
async function runProcess(
  index: number,
  { process, store, recorders, hasher, metrics }: {
    readonly process: FreezableProcess;
    readonly store: MemoryObjectStore;
    readonly recorders: readonly OrderRecorder[];
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
    recorders.forEach((recorder, i) => {
      const { checksFencing } = recorder;
      // An engine that checks fencing tokens may receive orders arbitrarily
      // late.
      const longestMs = checksFencing ? 60_000 : orderTimeoutMs - 500;
      const engine = createEngine(
        recorder,
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
  let holderCount = 0;
  let effects = 0;
  await fc.assert(
    fc.asyncProperty(fc.integer(), async (seed) => {
      const clock = ManualClock.create();
      const store = MemoryObjectStore.create(clock);
      const random = Random.create(seed);
      const metrics = Metrics.create();
      const recorders = [
        OrderRecorder.create(true),
        OrderRecorder.create(false),
      ];
      const processes = [0, 1, 2].map(() =>
        FreezableProcess.create(clock, Random.create(random.nextInt(1 << 30)))
      );
      processes.forEach((process, index) =>
        void runProcess(index, { process, store, recorders, hasher, metrics })
      );
      await clock.advance(180_000);
      for (const recorder of recorders) {
        const fencings = recorder.effects.map(({ fencing }) => fencing);
        const sorted = [...fencings].sort((a, b) => a - b);
        assert.equal(
          fencings,
          sorted,
          `checksFencing: ${recorder.checksFencing}`,
        );
        holderCount += new Set(fencings).size;
        effects += fencings.length;
      }
      for (const process of processes) freezes += process.freezes;
    }),
    { numRuns: 200, seed: 20_261_203, endOnFailure: true },
  );
  assert.ok(freezes >= 1_000, `${freezes} freezes`);
  assert.ok(holderCount >= 800, `${holderCount} holders sent orders`);
  assert.ok(effects >= 4_000, `${effects} effects`);
});

test("a new holder waits and reads the state first if the engine does not check fencing tokens", async () => {
  const clock = ManualClock.create();
  const lease = Lease.create({
    store: MemoryObjectStore.create(clock),
    clock,
    shard: "muc-1",
    holder: "a",
    durationMs: 60_000,
  });
  await lease.acquire();
  const recorder = OrderRecorder.create(false);
  let reads = 0;
  const engine: Engine = {
    ...createEngine(recorder, (effect) => Promise.resolve(effect())),
    readState: () => {
      reads += 1;
      return Promise.resolve(Right(recorder.state));
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
  assert.is(recorder.effects.length, 2);
});

test("an order whose lease lapses while its connection is made is not sent", async () => {
  const clock = ManualClock.create();
  let pauseMs = 0;
  // Time goes on without firing timers, as in a process that was paused.
  const paused: Clock = {
    now: () => clock.now() + pauseMs,
    wallTime: () => clock.wallTime(),
    sleep: (ms, signal) => clock.sleep(ms, signal),
  };
  const lease = Lease.create({
    store: MemoryObjectStore.create(clock),
    clock: paused,
    shard: "muc-1",
    holder: "a",
    durationMs: 60_000,
  });
  await lease.acquire();
  let received = 0;
  const server = createServer((_, response) => {
    received += 1;
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const engine = HttpEngine.create({
    endpoint: { name: "e", address },
    clock: SystemClock.create(),
  });
  const metrics = Metrics.create();
  const sender = OrderSender.create({
    lease,
    clock: paused,
    metrics,
    holder: "a",
  });
  const endpoint = createEndpoint("e");
  const sent = sender.send({ engine, endpoint }, { role: "serve", models: [] });
  pauseMs = 60_000;
  const error = (await sent).swap().unsafeCoerce();
  engine.dispose();
  server.close();
  assert.is(received, 0);
  assert.is(error.kind, "endpoint");
});

test("an order refused for a newer fencing token gives up the lease", async () => {
  const clock = ManualClock.create();
  const lease = Lease.create({
    store: MemoryObjectStore.create(clock),
    clock,
    shard: "muc-1",
    holder: "a",
    durationMs: 60_000,
  });
  await lease.acquire();
  const recorder = OrderRecorder.create(true);
  recorder.state = { ...recorder.state, fencing: 9 };
  const engine = createEngine(recorder, (effect) => Promise.resolve(effect()));
  const metrics = Metrics.create();
  const sender = OrderSender.create({ lease, clock, metrics, holder: "a" });
  const endpoint = createEndpoint("e");
  const desired = { role: "serve", models: [] } as const;
  const refused = await sender.send({ engine, endpoint }, desired);
  assert.match(refused.swap().unsafeCoerce().message, "fencing token 9");
  assert.is(lease.checkValid().isLeft(), true);
  await lease.acquire();
  assert.is(
    lease.checkValid().isLeft(),
    true,
    "the old token is not used again",
  );
  await clock.advance(61_000);
  await lease.acquire();
  assert.is(lease.checkValid().orDefault(0), 10);
});

test.run();

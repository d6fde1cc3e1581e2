import { SystemClock } from "@almondcrank/common/clock.ts";
import { DisposableStore } from "@almondcrank/common/disposables.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import type {
  GenerateEvent,
  GenerateRequest,
} from "@almondcrank/endpoint/engine.ts";
import { HttpEngine } from "@almondcrank/endpoint/http_engine.ts";
import { HttpPlainEndpoint } from "@almondcrank/endpoint/http_plain_endpoint.ts";
import { HttpCloudApi } from "@almondcrank/infrastructure/http_cloud_api.ts";
import { HttpHostList } from "@almondcrank/infrastructure/http_host_list.ts";
import { HttpObjectStore } from "@almondcrank/infrastructure/http_object_store.ts";
import { HttpWeightStore } from "@almondcrank/infrastructure/http_weight_store.ts";
import type { Either } from "purify-ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EngineStandin } from "./engine_standin.ts";
import { computeExpectedTokens } from "./expected_tokens.ts";
import { waitUntil } from "./standin_fixture.ts";
import { StandinSet } from "./standin_set.ts";

const address = "127.0.0.1:0";
const clock = SystemClock.create();
/** Clock of the stand-ins, advanced by the tests. */
const standinClock = ManualClock.create();
const random = Random.create(1);
const metrics = Metrics.create();
const log = createSilentLog();
const models = [{ model: "m", version: "1", adapters: [] }];
const place = { zone: "muc-1", machineClass: "gpu-l" };
const offer = {
  ...place,
  market: "reclaimable",
  milliPerHour: 4,
  hosts: 3,
} as const;
const store = DisposableStore.create();
let set: StandinSet;

test.before(async () => {
  const engine = { address, models, decodeBaseMs: 2 };
  set = store.register(
    await StandinSet.open({
      objectApi: { address },
      hostList: { address, lagMs: 0 },
      weightStore: { address },
      cloudApi: {
        address,
        startDelayMs: 0,
        offers: [offer],
        services: { assistant: { kind: "engine" } },
      },
      engines: [{ ...engine, ...place, name: "e1" }, { ...engine, name: "e2" }],
      plainServices: [{ name: "b1", address, serviceMs: 0 }],
    }, { clock: standinClock }),
  );
});

test.after(() => store.dispose());

function createClientOptions(address: string | undefined) {
  return { address: address!, clock, random, metrics, log };
}

function createEngineClient(name: string): HttpEngine {
  const endpoint = { name, address: set.findPart(name)!.address };
  return store.register(HttpEngine.create({ endpoint, clock }));
}

function requireRight<E extends Error, T>(result: Either<E, T>): T {
  return result.caseOf({
    Left: (error) => {
      throw error;
    },
    Right: (value) => value,
  });
}

const request: GenerateRequest = {
  id: "g1",
  model: "m",
  prompt: "the brake on the left wears unevenly",
  tokensSoFar: [],
  maxTokens: 8,
  priority: 0,
  remainingMs: 1_000,
};

test("the object store's client reads, writes, watches and removes", async () => {
  const client = HttpObjectStore.create(
    createClientOptions(set.objectApi?.address),
  );
  store.register(client);
  const written = requireRight(
    await client.write("a/b c", { n: 1 }, { kind: "absent" }),
  );
  assert.equal(written, { kind: "written", version: 1 });
  assert.equal(requireRight(await client.read("a/b c"))?.value, { n: 1 });
  const lost = requireRight(await client.write("a/b c", 2, { kind: "absent" }));
  assert.is(lost.kind, "conflict");
  assert.is(requireRight(await client.list("a/")).objects.length, 1);
  const watched = requireRight(await client.watch("a/", 0, 0));
  assert.is(watched.kind === "changes" && watched.batch.changes.length, 1);
  assert.is(requireRight(await client.watch("a/", 99, 0)).kind, "expired");
  assert.is(requireRight(await client.remove("a/b c", 1)).kind, "written");
  set.objectApi!.faults.apply({ loseAnswers: "next" });
  const unknown = await client.write("c", 1, { kind: "absent" });
  unknown.ifRight(() => assert.unreachable());
  unknown.ifLeft((error) => assert.is(error.kind, "outcome_unknown"));
  assert.is(requireRight(await client.read("c"))?.value, 1);
});

test("the clients of cloud API and host list follow a host from grant to return", async () => {
  const cloud = HttpCloudApi.create(createClientOptions(set.cloudApi?.address));
  const hosts = HttpHostList.create(createClientOptions(set.hostList?.address));
  store.register(cloud);
  store.register(hosts);
  const wanted = {
    ...place,
    token: "t1",
    service: "assistant",
    market: "reclaimable",
  } as const;
  const outcome = requireRight(await cloud.requestInstance(wanted));
  assert.is(outcome.kind, "granted");
  const elsewhere = { ...wanted, token: "t2", zone: "nue-1" };
  assert.is(
    requireRight(await cloud.requestInstance(elsewhere)).kind,
    "refused",
  );
  assert.is(requireRight(await cloud.listPrices())[0]?.milliPerHour, 4);
  const waiting = cloud.waitNotices(0, 5_000);
  set.cloudApi!.reclaim({ host: "muc-1-h1", noticeMs: 60_000 });
  assert.is(requireRight(await waiting).notices[0]?.host, "muc-1-h1");
  const listed = requireRight(await hosts.list()).hosts.map((host) =>
    host.state
  );
  assert.equal(listed, ["live", "leaving"]);
  assert.ok((await cloud.returnInstance("muc-1-h1")).isRight());
  assert.is(requireRight(await cloud.listInstances()).length, 1);
});

test("the weight store's client reads the rate", async () => {
  const client = HttpWeightStore.create(
    createClientOptions(set.weightStore?.address),
  );
  store.register(client);
  assert.is(requireRight(await client.readRate()).activeLoads, 0);
});

/** Advances the stand-ins' clock until a call has settled. */
async function advanceUntilSettled<T>(call: Promise<T>): Promise<T> {
  let hasSettled = false;
  void call.finally(() => hasSettled = true).catch(() => {});
  while (!hasSettled) await standinClock.advance(10);
  return await call;
}

/** Reads a whole stream; with `stopsEarly`, aborts it after the first event. */
async function readStream(
  client: HttpEngine,
  request: GenerateRequest,
  stopsEarly = false,
): Promise<readonly GenerateEvent[]> {
  const caller = new AbortController();
  const events: GenerateEvent[] = [];
  for await (const event of client.generate(request, caller.signal)) {
    events.push(requireRight(event));
    if (!stopsEarly) continue;
    caller.abort();
    break;
  }
  return events;
}

function readTexts(events: readonly GenerateEvent[]): readonly string[] {
  return events.flatMap((event) => event.kind === "token" ? [event.text] : []);
}

test("the engine's client streams, and resumes from an imported cache", async () => {
  const [from, to] = [createEngineClient("e1"), createEngineClient("e2")];
  const engine = set.findPart("e1") as EngineStandin;
  const { tokens } = computeExpectedTokens(await openHasher(), request);
  const stream = readStream(from, request);
  await waitUntil(() => engine.load.running === 1);
  // Under 1 ms for the input, then 2.5 ms per token.
  await standinClock.advance(6);
  const exported = requireRight(await from.exportCache("g1"));
  assert.is(exported.tokens, 7 + 3);
  assert.equal(readTexts(await advanceUntilSettled(stream)), tokens);
  const { handle } = exported;
  const source = { importId: "i1", from: engine.address, handle };
  assert.is(
    requireRight(await advanceUntilSettled(to.importCache(source))),
    10,
  );
  const resume = { id: "g2", tokensSoFar: tokens.slice(0, 3), importId: "i1" };
  const rest = await advanceUntilSettled(
    readStream(to, { ...request, ...resume }),
  );
  assert.equal(readTexts(rest), tokens.slice(3));
  const end = rest.at(-1);
  assert.is(end?.kind === "end" && end.usage.computedTokens, 1);
});

test("the engine's client cancels, and reads load and cache events", async () => {
  const client = createEngineClient("e2");
  const engine = set.findPart("e2") as EngineStandin;
  const stopped = readStream(client, { ...request, id: "g3" }, true);
  await waitUntil(() => engine.load.running === 1);
  // Enough for the first token; only a cancellation can end the request.
  await standinClock.advance(2);
  assert.is((await stopped).length, 1);
  await waitUntil(() => engine.load.running === 0);
  assert.is(engine.records.at(-1)?.outcome, "cancelled");
  assert.is(requireRight(await client.readLoad()).slots, 8);
  assert.equal(requireRight(await client.readCacheEvents(0)).events, []);
});

test("the engine's client reports a refused order and declined work", async () => {
  const client = createEngineClient("e1");
  const order = { fencing: 2, holder: "n1", role: "drain", models } as const;
  const isAllowed = (): boolean => true;
  assert.is(
    requireRight(await client.sendOrder(order, isAllowed)).role,
    "drain",
  );
  const old = await client.sendOrder({ ...order, fencing: 1 }, isAllowed);
  old.ifRight(() => assert.unreachable());
  old.ifLeft((error) => assert.is(error.kind, "stale_fencing"));
  assert.is(requireRight(await client.readState()).fencing, 2);
  for await (
    const event of client.generate(request, new AbortController().signal)
  ) {
    event.ifRight(() => assert.unreachable());
    event.ifLeft((error) =>
      assert.equal([error.kind, error.run], ["declined", "not_run"])
    );
  }
});

test("the plain service's client books once for each call", async () => {
  const { address } = set.findPart("b1")!;
  const client = HttpPlainEndpoint.create({ name: "b1", address, clock });
  store.register(client);
  const answer = requireRight(
    await client.call({
      method: "POST",
      path: "/bookings",
      contentType: "application/json",
      body: new TextEncoder().encode('{"slot":"s1"}'),
      idempotencyKey: "k1",
      priority: 0,
      remainingMs: 5_000,
    }, new AbortController().signal),
  );
  assert.is(answer.status, 201);
  assert.is(requireRight(await client.readLoad()).queued, 0);
});

test.run();

/**
 * Measures the cost of idempotency keys: time and platform calls per call, memory
 * per key.
 *
 * Routers run in one process with in-memory endpoints and object API, so the times
 * contain no network. A forwarded call is encoded as JSON, as between nodes.
 *
 * Usage: node --expose-gc --import tsx packages/bench/src/key_path.ts
 */

import process from "node:process";
import { Right } from "purify-ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { emptyConfiguration } from "@almondcrank/common/configuration.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import type { KeyPeers } from "@almondcrank/routing/keyed_calls/key_peers.ts";
import {
  defaultKeyLimits,
  KeyRecords,
} from "@almondcrank/routing/keyed_calls/key_records.ts";
import { noLoadReports } from "@almondcrank/routing/choice/plain_chooser.ts";
import { EndpointRetries } from "@almondcrank/routing/repeats/endpoint_retries.ts";
import { NodePlainRouter } from "@almondcrank/routing/routers/node_plain_router.ts";
import { createEndpoint } from "./simulated_endpoint.ts";

const calls = 5_000;
const warmUpCalls = 1_000;
const answerBytes = 200;
const recordCount = 50_000;
const claimCallsPerSecond = 1e9;

const team = { name: "counter", keyHash: "", priority: 1, share: 1 };
const service = {
  kind: "plain",
  name: "booking",
  idempotentMethods: ["GET"],
  timeoutMs: 5_000,
} as const;
const body = new TextEncoder().encode('{"bay":3,"plate":"M-AB 123"}');
const answer = {
  status: 201,
  contentType: "application/json",
  body: new Uint8Array(answerBytes),
};

const clock = SystemClock.create();
const hasher = await openHasher();
const store = MemoryObjectStore.create(clock);
const routers = new Map<string, NodePlainRouter>();
const metrics = Metrics.create();

/** Creates peers that forward calls to the other routers of the process. */
function createPeers(): KeyPeers {
  return {
    list: () => [],
    forward: async (owner, call) => {
      const sent = JSON.parse(JSON.stringify(call));
      const outcome = await routers.get(owner.node)!.handleForwarded(sent);
      return Right(JSON.parse(JSON.stringify(outcome)));
    },
    handOver: () => Promise.resolve(Right(undefined)),
  };
}

function createRouter(node: string): NodePlainRouter {
  const configuration = {
    ...emptyConfiguration,
    teams: [team],
    services: [service],
    endpoints: ["a", "b", "c", "d"].map((name) =>
      createEndpoint(name, service.name)
    ),
  };
  return NodePlainRouter.create({
    configuration: { current: () => configuration },
    endpoints: ({ name }) => ({
      name,
      call: () => Promise.resolve(Right(answer)),
      readLoad: () =>
        Promise.resolve(Right({ ageMs: 0, running: 0, queued: 0 })),
    }),
    loads: noLoadReports,
    clock,
    random: Random.create(1),
    hasher,
    metrics,
    log: createSilentLog(),
    identity: { node, incarnation: "i1" },
    sharedKey: "shared",
    peers: createPeers(),
    claims: store,
    limiter: {
      admit: () => Right({ release: () => {} }),
      check: () => Right(undefined),
    },
    retryBudget: EndpointRetries.create({ clock, metrics }),
    keyLimits: { maxKeys: 1e6, maxTeamFraction: 1 },
    claimCallsPerSecond,
  });
}

/** Runs calls one after the other; prints the mean time and platform calls. */
async function runCalls(
  name: string,
  nextKey: () => string | undefined,
  node: string,
): Promise<void> {
  const router = routers.get(node)!;
  const { signal } = new AbortController();
  let started = 0;
  let platformCalls = 0;
  for (let done = -warmUpCalls; done < calls; done++) {
    if (done === 0) {
      started = clock.now();
      platformCalls = metrics.readCounterTotal("claim_calls_total");
    }
    const result = await router.call({
      team,
      service,
      method: "POST",
      path: "/slots",
      contentType: "application/json",
      body,
      key: nextKey(),
      deadline: clock.now() + service.timeoutMs,
    }, signal);
    if (result.isLeft()) throw result.extract();
  }
  const micros = (clock.now() - started) * 1_000 / calls;
  const writes =
    (metrics.readCounterTotal("claim_calls_total") - platformCalls) / calls;
  console.log(
    `${name}: ${micros.toFixed(0)} us a call, ${writes} platform calls a call`,
  );
}

/** Prints the heap that a key needs with an answer of `bytes` bytes (0: none). */
function runRecords(name: string, bytes: number): void {
  const limits = {
    ...defaultKeyLimits,
    maxTeamFraction: 1,
    maxAnswerBytes: Infinity,
  };
  const records = KeyRecords.create({ clock, metrics, limits });
  globalThis.gc?.();
  const before = process.memoryUsage();
  for (let index = 0; index < recordCount; index++) {
    const id = `key-number-${index.toString().padStart(5, "0")}`;
    const fingerprint = `${id}-${id}`.slice(0, 32);
    records.add({ id, team: team.name, fingerprint });
    const kept = { ...answer, body: new Uint8Array(bytes) };
    records.setOutcome(
      id,
      bytes === 0 ? { kind: "dropped" } : { kind: "answered", answer: kept },
    );
  }
  globalThis.gc?.();
  const after = process.memoryUsage();
  const used = after.heapUsed + after.external - before.heapUsed -
    before.external;
  console.log(
    `${name}: ${
      (used / recordCount).toFixed(0)
    } bytes a key over ${records.size} keys`,
  );
}

for (const node of ["n1", "n2"]) routers.set(node, createRouter(node));
const issue = (): string => routers.get("n1")!.issueKey(team).unsafeCoerce();
let nextOrder = 0;
await runCalls("no key", () => undefined, "n1");
await runCalls("issued key at its owner", issue, "n1");
await runCalls("issued key forwarded", issue, "n2");
await runCalls("caller's key, first call", () => `order-${nextOrder++}`, "n1");
nextOrder = 0;
await runCalls(
  "caller's key, repeat at the owner",
  () => `order-${nextOrder++}`,
  "n1",
);
nextOrder = 0;
await runCalls(
  "caller's key, repeat elsewhere",
  () => `order-${nextOrder++}`,
  "n2",
);
runRecords("key without answer", 0);
runRecords(`key with an answer of ${answerBytes} bytes`, answerBytes);

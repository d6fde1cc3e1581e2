import type { IncomingMessage, ServerResponse } from "node:http";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { HttpServer, sendJson } from "@almondcrank/common/http_server.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { Backoff } from "./backoff.ts";
import { Breaker } from "./breaker.ts";
import { HttpCloudApi } from "./http_cloud_api.ts";
import { HttpObjectStore } from "./http_object_store.ts";
import {
  platformCallsCounter,
  type PlatformClientOptions,
} from "./platform_client.ts";

type Answer = (request: IncomingMessage, response: ServerResponse) => void;

interface FakePlatform {
  readonly server: HttpServer;
  readonly options: PlatformClientOptions;
  /** Methods and paths of the calls received. */
  readonly calls: string[];
}

async function openFakePlatform(answer: Answer): Promise<FakePlatform> {
  const calls: string[] = [];
  const server = await HttpServer.open({
    address: "127.0.0.1:0",
    routes: [{
      method: "ALL",
      path: "/*",
      handle: ({ request, response }) => {
        calls.push(`${request.method} ${request.url}`);
        answer(request, response);
      },
    }],
  });
  const options = {
    address: server.address,
    clock: SystemClock.create(),
    random: Random.create(1),
    metrics: Metrics.create(),
    log: createSilentLog(),
    deadlineMs: 200,
  };
  return { server, options, calls };
}

async function runWithStore(
  answer: Answer,
  run: (store: HttpObjectStore, platform: FakePlatform) => Promise<void>,
): Promise<void> {
  const platform = await openFakePlatform(answer);
  const store = HttpObjectStore.create(platform.options);
  try {
    await run(store, platform);
  } finally {
    store.dispose();
    platform.server.dispose();
  }
}

const absent = { kind: "absent" } as const;

test("keys are one encoded path segment and conditions are headers", async () => {
  let condition: unknown;
  await runWithStore((request, response) => {
    condition = request.headers["if-match"];
    sendJson(response, 200, { version: 8 });
  }, async (store, { calls }) => {
    const written = await store.write("config/head", { a: 1 }, {
      kind: "version",
      version: 7,
    });
    assert.equal(written.extract(), { kind: "written", version: 8 });
    assert.is(condition, "7");
    assert.equal(calls, ["PUT /objects/config%2Fhead"]);
  });
});

test("a conflict carries the stored object", async () => {
  const current = { key: "k", version: 3, value: [1] };
  await runWithStore(
    (_, response) => sendJson(response, 409, { current }),
    async (store) => {
      const outcome = (await store.write("k", 1, absent)).extract();
      assert.equal(outcome, { kind: "conflict", current });
    },
  );
});

test("a write cut after sending is unknown, a read is unavailable", async () => {
  await runWithStore(
    (request) => request.socket.destroy(),
    async (store, { calls, options }) => {
      const written = await store.write("k", 1, absent);
      const read = await store.read("k");
      assert.is(written.swap().unsafeCoerce().kind, "outcome_unknown");
      assert.is(read.swap().unsafeCoerce().kind, "unavailable");
      assert.is(calls.length, 2, "nothing is repeated");
      const labels = { service: "object_api", outcome: "outcome_unknown" };
      assert.is(options.metrics.readCounter(platformCallsCounter, labels), 1);
    },
  );
});

test("a write without an answer ends at its deadline as unknown", async () => {
  await runWithStore(() => {}, async (store) => {
    const written = await store.write("k", 1, absent);
    assert.is(written.swap().unsafeCoerce().kind, "outcome_unknown");
  });
});

test("a write that never connected is unavailable", async () => {
  const platform = await openFakePlatform(() => {});
  platform.server.dispose();
  const store = HttpObjectStore.create(platform.options);
  const written = await store.write("k", 1, absent);
  assert.is(written.swap().unsafeCoerce().kind, "unavailable");
  store.dispose();
});

test("answers outside the protocol are reported, for writes as unknown", async () => {
  await runWithStore(
    (_, response) => sendJson(response, 200, { nonsense: true }),
    async (store) => {
      const read = await store.list("p");
      const written = await store.write("k", 1, absent);
      assert.is(read.swap().unsafeCoerce().kind, "bad_answer");
      assert.is(written.swap().unsafeCoerce().kind, "outcome_unknown");
    },
  );
});

test("a rate limit stops calls for the stated time", async () => {
  await runWithStore(
    (_, response) => sendJson(response, 429, {}, { "retry-after-ms": "60000" }),
    async (store, { calls }) => {
      await store.read("k");
      const second = await store.read("k");
      assert.is(second.swap().unsafeCoerce().kind, "rate_limited");
      assert.is(calls.length, 1);
    },
  );
});

test("an outage opens the breaker", async () => {
  await runWithStore(
    (_, response) => sendJson(response, 503, {}),
    async (store, { calls }) => {
      let last = "";
      for (let i = 0; i < 20; i++) {
        last = (await store.read("k")).swap().unsafeCoerce().kind;
      }
      assert.is(last, "breaker_open");
      assert.is(calls.length, 5);
    },
  );
});

test("a lost watch history is told apart from a failure", async () => {
  await runWithStore(
    (_, response) => sendJson(response, 410, {}),
    async (store) => {
      const outcome = (await store.watch("p", 0, 10)).extract();
      assert.equal(outcome, { kind: "expired" });
    },
  );
});

test("a refused host and a host already gone are outcomes", async () => {
  const platform = await openFakePlatform((request, response) =>
    request.method === "POST"
      ? sendJson(response, 409, { reason: "no capacity" })
      : sendJson(response, 404, {})
  );
  const cloud = HttpCloudApi.create(platform.options);
  const request = {
    token: "t",
    service: "s",
    zone: "z",
    machineClass: "c",
    market: "reclaimable",
  } as const;
  const outcome = (await cloud.requestInstance(request)).extract();
  assert.equal(outcome, { kind: "refused", reason: "no capacity" });
  assert.is((await cloud.returnInstance("h")).isRight(), true);
  cloud.dispose();
  platform.server.dispose();
});

test("an open breaker passes one probe a pause, with growing pauses", async () => {
  const clock = ManualClock.create();
  const breaker = Breaker.create(clock, Random.create(1));
  const sentAt: number[] = [];
  for (let ms = 0; ms < 60_000; ms += 10) {
    if (breaker.check().kind === "pass") {
      sentAt.push(ms);
      breaker.recordFailure();
    }
    await clock.advance(10);
  }
  assert.ok(sentAt.length >= 5 + 60_000 / 5_500, `${sentAt.length} sent`);
  assert.ok(sentAt.length <= 5 + 60_000 / 2_500 + 5, `${sentAt.length} sent`);
  breaker.recordSuccess();
  assert.is(breaker.check().kind, "pass");
});

test("pauses never fall below the ordinary interval", () => {
  const backoff = Backoff.create(Random.create(1), {
    initialMs: 100,
    maxMs: 1_000,
  });
  const pauses = Array.from({ length: 20 }, () => backoff.computePause());
  assert.ok(pauses.every((pause) => pause >= 100 && pause <= 1_000));
  assert.ok((pauses.at(-1) ?? 0) >= 500);
  backoff.reset();
  assert.is(backoff.computePause(), 100);
});

test.run();

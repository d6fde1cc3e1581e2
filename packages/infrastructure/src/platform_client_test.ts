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

type Responder = (request: IncomingMessage, response: ServerResponse) => void;

interface FakePlatform {
  readonly server: HttpServer;
  readonly options: PlatformClientOptions;
  /** Methods and paths of the calls received. */
  readonly calls: string[];
}

async function openFakePlatform(respond: Responder): Promise<FakePlatform> {
  const calls: string[] = [];
  const server = await HttpServer.open({
    address: "127.0.0.1:0",
    routes: [{
      method: "ALL",
      path: "/*",
      handle: ({ request, response }) => {
        calls.push(`${request.method} ${request.url}`);
        respond(request, response);
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
  respond: Responder,
  run: (store: HttpObjectStore, platform: FakePlatform) => Promise<void>,
): Promise<void> {
  const platform = await openFakePlatform(respond);
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

test("a connection cut after sending makes a write unknown and a read unavailable", async () => {
  await runWithStore(
    (request) => request.socket.destroy(),
    async (store, { calls, options }) => {
      const written = await store.write("k", 1, absent);
      const read = await store.read("k");
      assert.is(written.swap().unsafeCoerce().kind, "outcome_unknown");
      assert.is(read.swap().unsafeCoerce().kind, "unavailable");
      assert.is(calls.length, 2, "no call is retried");
      const labels = { service: "object_api", outcome: "outcome_unknown" };
      assert.is(options.metrics.readCounter(platformCallsCounter, labels), 1);
    },
  );
});

test("a write without an answer fails at its deadline as unknown", async () => {
  await runWithStore(() => {}, async (store) => {
    const written = await store.write("k", 1, absent);
    assert.is(written.swap().unsafeCoerce().kind, "outcome_unknown");
  });
});

test("a write whose connection is refused is unavailable", async () => {
  const platform = await openFakePlatform(() => {});
  platform.server.dispose();
  const store = HttpObjectStore.create(platform.options);
  const written = await store.write("k", 1, absent);
  assert.is(written.swap().unsafeCoerce().kind, "unavailable");
  store.dispose();
});

test("an answer outside the protocol is bad_answer for reads and unknown for writes", async () => {
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

test("a discarded watch history is an outcome, not a failure", async () => {
  await runWithStore(
    (_, response) => sendJson(response, 410, {}),
    async (store) => {
      const outcome = (await store.watch("p", 0, 10)).extract();
      assert.equal(outcome, { kind: "expired" });
    },
  );
});

test("a refused host and the return of a host that no longer exists are outcomes", async () => {
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

test("no host is rented or returned once its caller may no longer do so", async () => {
  let received = 0;
  const platform = await openFakePlatform((_, response) => {
    received += 1;
    sendJson(response, 404, {});
  });
  const cloud = HttpCloudApi.create(platform.options);
  const request = {
    token: "t",
    service: "s",
    zone: "z",
    machineClass: "c",
    market: "reclaimable",
  } as const;
  const rented = await cloud.requestInstance(request, () => false);
  const returned = await cloud.returnInstance("h", () => false);
  cloud.dispose();
  platform.server.dispose();
  assert.is(received, 0);
  assert.is(rented.isLeft(), true);
  assert.is(returned.isLeft(), true);
});

test("an open breaker passes one probe per pause, with growing pauses", async () => {
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

test("pauses are never shorter than the regular interval", () => {
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

test("a read on a connection that was closed meanwhile is sent once more", async () => {
  let isCut = false;
  await runWithStore((request, response) => {
    if (isCut) {
      isCut = false;
      request.socket.destroy();
      return;
    }
    sendJson(response, 200, { key: "k", version: 1, value: 0 });
  }, async (store, platform) => {
    assert.ok((await store.read("k")).isRight());
    isCut = true;
    assert.ok((await store.read("k")).isRight());
    assert.is(platform.calls.length, 3);
    isCut = true;
    const written = await store.write("k", 1, { kind: "version", version: 1 });
    assert.is(written.swap().unsafeCoerce().kind, "outcome_unknown");
    assert.is(platform.calls.length, 4, "a write is sent once");
  });
});

test("reads of a service that goes on failing are sent once", async () => {
  await runWithStore(
    (request) => void request.socket.destroy(),
    async (store, platform) => {
      await store.read("k");
      await store.read("k");
      assert.is(platform.calls.length, 3);
    },
  );
});

test("an answer of an earlier era counts as lost, and versions order eras", async () => {
  let era = 1;
  await runWithStore((_request, response) => {
    response.setHeader("object-api-era", String(era));
    sendJson(response, 200, { key: "k", version: 9, value: 0 });
  }, async (store) => {
    const before = (await store.read("k")).unsafeCoerce();
    era = 2;
    const after = (await store.read("k")).unsafeCoerce();
    assert.is(store.era, 2);
    assert.ok((after?.version ?? 0) > (before?.version ?? 0));
    era = 1;
    assert.ok((await store.read("k")).isLeft());
    const watch = await store.watch("k", before?.version ?? 0, 0);
    assert.is(watch.unsafeCoerce().kind, "expired");
  });
});

test.run();

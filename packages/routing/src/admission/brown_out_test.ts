import * as assert from "uvu/assert";
import { test } from "uvu";
import { type Either, Left, Right } from "purify-ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import { HedgeDelay } from "../repeats/hedge_delay.ts";
import { PlainAttempts } from "../repeats/plain_attempts.ts";
import { noLoadReports, PlainChooser } from "../choice/plain_chooser.ts";
import { EndpointRetries } from "../repeats/endpoint_retries.ts";
import { createCallCrashes } from "../testing/call_setup.ts";

const names = ["a", "b", "c", "d"];
const normalServiceMs = 20;
const maxOutstanding = 8;
const requestsPerSecond = 200;
const timeoutMs = 1_000;
const requestCount = 3_000;

const service = {
  kind: "plain",
  name: "status",
  idempotentMethods: ["GET"],
  timeoutMs,
} as const;

/** Sends requests; after a third of them all endpoints are 10 times slower. */
async function runBrownOut(fraction: number) {
  const clock = ManualClock.create();
  const metrics = Metrics.create();
  const random = Random.create(3);
  const outstanding = new Map<string, number>();
  let sends = 0;
  let slowdown = 1;
  const call = async (
    endpoint: string,
    signal: AbortSignal,
  ): Promise<Either<EndpointError, PlainAnswer>> => {
    sends++;
    const inFlight = outstanding.get(endpoint) ?? 0;
    if (inFlight >= maxOutstanding) {
      const reason = "full";
      return Left(EndpointError.create({ kind: "declined", endpoint, reason }));
    }
    outstanding.set(endpoint, inFlight + 1);
    await clock.sleep(
      random.nextExponential(normalServiceMs * slowdown),
      signal,
    );
    outstanding.set(endpoint, (outstanding.get(endpoint) ?? 1) - 1);
    return Right({
      status: 200,
      contentType: undefined,
      body: new Uint8Array(),
    });
  };
  const attempts = PlainAttempts.create({
    clock,
    metrics,
    budget: EndpointRetries.create({ clock, metrics, fraction }),
    endpoints: ({ name }) => ({
      name,
      call: (_call, signal) => call(name, signal),
      readLoad: () =>
        Promise.resolve(Right({ ageMs: 0, running: 0, queued: 0 })),
    }),
  });
  const chooser = PlainChooser.create({ clock, random, loads: noLoadReports });
  const hedge = HedgeDelay.create(clock);
  const endpoints = names.map((name) => ({
    name,
    service: "status",
    address: "127.0.0.1:1",
    host: name,
    zone: "z",
    machineClass: "m",
    market: "on_demand" as const,
    checksFencing: false,
  }));
  const pending: Promise<unknown>[] = [];
  for (let sent = 0; sent < requestCount; sent++) {
    if (sent === requestCount / 3) slowdown = 10;
    await clock.advance(random.nextExponential(1_000 / requestsPerSecond));
    const request = {
      team: { name: "t", keyHash: "", priority: 1, share: 1 },
      service,
      method: "GET",
      path: "/",
      contentType: undefined,
      body: new Uint8Array(),
      key: undefined,
      deadline: clock.now() + timeoutMs,
    };
    const { signal } = new AbortController();
    pending.push(
      attempts.run({
        request,
        endpoints,
        chooser,
        hedge,
        crashes: createCallCrashes(clock),
        signal,
      }),
    );
  }
  await clock.advance(10 * timeoutMs);
  await Promise.all(pending);
  return { sendsPerRequest: sends / requestCount, metrics };
}

test("a brownout causes at most 1.1 sends per request", async () => {
  const { sendsPerRequest, metrics } = await runBrownOut(0.1);
  console.log(`    ${sendsPerRequest.toFixed(3)} sends per request`);
  assert.ok(sendsPerRequest <= 1.1, `${sendsPerRequest}`);
  assert.ok(metrics.readCounter("retries_total", { reason: "declined" }) > 0);
  assert.ok(metrics.readCounter("retries_total", { reason: "hedge" }) > 0);
  assert.ok(metrics.readCounterTotal("retries_denied_total") > 0);
});

test("without a retry budget the same brownout causes more than 1.3 sends", async () => {
  const { sendsPerRequest } = await runBrownOut(10);
  assert.ok(sendsPerRequest > 1.3, `${sendsPerRequest}`);
});

test.run();

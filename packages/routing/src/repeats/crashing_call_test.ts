/**
 * Load pattern: one call under which each endpoint crashes comes again and again,
 * beside sound ones that run on the same endpoints.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Buffer } from "node:buffer";
import { type Either, Left, Right } from "purify-ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  PlainAnswer,
  PlainCall,
} from "@almondcrank/endpoint/plain_service.ts";
import { noLoadReports } from "../choice/plain_chooser.ts";
import { NodePlainRouter } from "../routers/node_plain_router.ts";
import { FakeObjectStore } from "../testing/fake_object_store.ts";
import { createConfiguration, createEndpoint } from "../testing/model_setup.ts";
import { EndpointRetries } from "./endpoint_retries.ts";

const hasher = await openHasher();
const team = { name: "counter", keyHash: "", priority: 1, share: 1 };
const service = {
  kind: "plain" as const,
  name: "status",
  idempotentMethods: ["GET"],
  timeoutMs: 2_000,
};
const endpointCount = 6;
const crashAfterMs = 40;
const restartMs = 400;
const serviceMs = 60;
const badIntervalMs = 160;
const soundIntervalMs = 40;
const durationMs = 20_000;
const maxLateSends = 3;
const badBody = "crash";

type Result = Either<EndpointError, PlainAnswer>;

/** Endpoints that crash under one body, and what happened to them. */
class CrashingEndpoints {
  readonly #clock: ManualClock;
  /** Time until which an endpoint is down. */
  readonly #downUntil = new Map<string, number>();
  /** Times of the crashes. */
  readonly crashes: number[] = [];
  /** Times at which the bad call reached an endpoint. */
  readonly badSends: number[] = [];

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  async call(endpoint: string, { body }: PlainCall): Promise<Result> {
    const clock = this.#clock;
    const startedAt = clock.now();
    const isDown = () => clock.now() < (this.#downUntil.get(endpoint) ?? 0);
    if (isDown()) {
      const reason = "down";
      return Left(
        EndpointError.create({ kind: "unreachable", endpoint, reason }),
      );
    }
    const isBad = Buffer.from(body).toString() === badBody;
    if (isBad) this.badSends.push(startedAt);
    await clock.sleep(isBad ? crashAfterMs : serviceMs);
    if (isBad && !isDown()) {
      this.crashes.push(clock.now());
      this.#downUntil.set(endpoint, clock.now() + restartMs);
    }
    if (!isDown()) {
      return Right({ status: 200, contentType: undefined, body });
    }
    const reason = "reset";
    return Left(
      EndpointError.create({ kind: "connection_lost", endpoint, reason }),
    );
  }
}

function createRouter(
  clock: ManualClock,
  endpoints: CrashingEndpoints,
): NodePlainRouter {
  const metrics = Metrics.create();
  const configuration = {
    ...createConfiguration(
      Array.from(
        { length: endpointCount },
        (_, at) => ({ ...createEndpoint(`e${at}`, "z"), service: "status" }),
      ),
    ),
    services: [service],
  };
  return NodePlainRouter.create({
    configuration: { current: () => configuration },
    endpoints: ({ name }) => ({
      name,
      call: (call) => endpoints.call(name, call),
      readLoad: () =>
        Promise.resolve(Right({ ageMs: 0, running: 0, queued: 0 })),
    }),
    loads: noLoadReports,
    clock,
    random: Random.create(3),
    hasher,
    metrics,
    log: createSilentLog(),
    identity: { node: "n", incarnation: "1" },
    sharedKey: "k",
    peers: {
      list: () => [],
      forward: () => Promise.reject(new Error("there are no peers")),
      handOver: () => Promise.reject(new Error("there are no peers")),
    },
    claims: new FakeObjectStore(clock),
    limiter: {
      check: () => Right(undefined),
      admit: () => Right({ release: () => {} }),
    },
    retryBudget: EndpointRetries.create({ clock, metrics }),
  });
}

for (const method of ["GET", "POST"]) {
  test(`a call that crashes endpoints reaches no more of them when it comes again (${method})`, async () => {
    const clock = ManualClock.create();
    const endpoints = new CrashingEndpoints(clock);
    const router = createRouter(clock, endpoints);
    const call = (body: string) =>
      router.call({
        team,
        service,
        method,
        path: "/x",
        contentType: undefined,
        body: Buffer.from(body),
        key: undefined,
        deadline: clock.now() + service.timeoutMs,
      }, new AbortController().signal);
    const bad: ReturnType<typeof call>[] = [];
    const sound: ReturnType<typeof call>[] = [];
    for (let at = 0; at < durationMs; at += soundIntervalMs) {
      if (at % badIntervalMs === 0) bad.push(call(badBody));
      const answer = call(`sound ${at}`);
      if (at > durationMs / 4) sound.push(answer);
      await clock.advance(soundIntervalMs);
    }
    await clock.advance(service.timeoutMs);
    const third = endpoints.crashes[2] ?? Infinity;
    const late = endpoints.badSends.filter((at) => at > third).length;
    assert.ok(late <= maxLateSends, `${late} late`);
    const refusals = (await Promise.all(bad))
      .filter((result) =>
        result.isLeft() && /crashed/.test(`${result.extract()}`)
      );
    assert.ok(refusals.length > bad.length / 2, `${refusals.length} refused`);
    const answered = (await Promise.all(sound))
      .filter((result) => result.isRight()).length;
    const counts = `${answered} of ${sound.length} answered`;
    assert.ok(answered >= 0.95 * sound.length, counts);
  });
}

test.run();

import * as assert from "uvu/assert";
import { test } from "uvu";
import { Left, Right } from "purify-ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import type {
  Endpoint,
  PlainService,
} from "@almondcrank/common/configuration.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  PlainAnswer,
  PlainCall,
} from "@almondcrank/endpoint/plain_service.ts";
import { PlainAttempts } from "./plain_attempts.ts";
import { noLoadReports, PlainChooser } from "../choice/plain_chooser.ts";
import type { PlainRequest } from "../routers/plain_router.ts";
import { HedgeDelay } from "./hedge_delay.ts";
import { EndpointRetries } from "./endpoint_retries.ts";
import { createCallCrashes } from "../testing/call_setup.ts";

const service: PlainService = {
  kind: "plain",
  name: "booking",
  idempotentMethods: ["GET"],
  timeoutMs: 5_000,
};
const team = { name: "counter", keyHash: "", priority: 1, share: 1 };
const answer: PlainAnswer = {
  status: 200,
  contentType: undefined,
  body: new Uint8Array(),
};
type Reaction =
  | "answer"
  | "unreachable"
  | "declined"
  | "lost"
  | "late"
  /** Answers after a second. */
  | "slow"
  /** Answers with status 500. */
  | "error"
  /** Answers with status 500 after a second. */
  | "slow_error";

const slowMs = 1_000;

/** Creates attempts over endpoints that consume one common list of reactions. */
function createSetup(reactions: Reaction[], hedges = false) {
  const clock = ManualClock.create();
  const metrics = Metrics.create();
  const sent: string[] = [];
  const react = async (endpoint: string, call: PlainCall) => {
    sent.push(endpoint);
    switch (reactions.shift() ?? "answer") {
      case "answer":
        return Right(answer);
      case "slow":
        await clock.sleep(slowMs);
        return Right(answer);
      case "slow_error":
        await clock.sleep(slowMs);
        return Right({ ...answer, status: 500 });
      case "error":
        return Right({ ...answer, status: 500 });
      case "unreachable":
        return Left(
          EndpointError.create({ kind: "unreachable", endpoint, reason: "" }),
        );
      case "declined":
        return Left(
          EndpointError.create({ kind: "declined", endpoint, reason: "" }),
        );
      case "lost":
        return Left(
          EndpointError.create({
            kind: "connection_lost",
            endpoint,
            reason: "",
          }),
        );
      case "late": {
        const timeoutMs = call.remainingMs;
        await clock.sleep(timeoutMs);
        return Left(
          EndpointError.create({ kind: "timeout", endpoint, timeoutMs }),
        );
      }
    }
  };
  const attempts = PlainAttempts.create({
    clock,
    metrics,
    budget: EndpointRetries.create({ clock, metrics }),
    endpoints: ({ name }) => ({
      name,
      call: (call) => react(name, call),
      readLoad: () =>
        Promise.resolve(Right({ ageMs: 0, running: 0, queued: 0 })),
    }),
  });
  const chooser = PlainChooser.create({
    clock,
    random: Random.create(1),
    loads: noLoadReports,
  });
  const hedge = hedges ? createHedgeDelay(clock) : undefined;
  const run = (method: string) =>
    attempts.run({
      request: createRequest(method),
      endpoints: ["a", "b", "c"].map(createEndpoint),
      chooser,
      hedge,
      crashes: createCallCrashes(clock),
      signal: new AbortController().signal,
    });
  return { clock, metrics, sent, run };
}

/** Creates a delay that has seen calls of 10 ms only. */
function createHedgeDelay(clock: ManualClock): HedgeDelay {
  const hedge = HedgeDelay.create(clock);
  for (let call = 0; call < 100; call++) hedge.record(10);
  return hedge;
}

function createRequest(method: string): PlainRequest {
  return {
    team,
    service,
    method,
    path: "/slots",
    contentType: undefined,
    body: new Uint8Array(),
    key: undefined,
    deadline: 5_000,
  };
}

function createEndpoint(name: string): Endpoint {
  return {
    name,
    service: "booking",
    address: "127.0.0.1:1",
    host: name,
    zone: "muc-1",
    machineClass: "small",
    market: "on_demand",
    checksFencing: false,
  };
}

test("a call that did not run is retried on another endpoint", async () => {
  for (const reaction of ["unreachable", "declined"] as const) {
    const setup = createSetup([reaction]);
    assert.ok((await setup.run("POST")).isRight());
    assert.is(new Set(setup.sent).size, 2);
  }
});

test("a call that may have run is not sent again", async () => {
  const setup = createSetup(["lost"]);
  const refusal = (await setup.run("POST")).swap().unsafeCoerce();
  assert.is(refusal.kind, "outcome_unknown");
  assert.is(refusal.run, "unknown");
  assert.is(setup.sent.length, 1);
});

test("an idempotent call that may have run is sent again", async () => {
  const setup = createSetup(["lost"]);
  assert.ok((await setup.run("GET")).isRight());
  assert.is(setup.sent.length, 2);
});

test("an idempotent call that fails on all endpoints may have run", async () => {
  const setup = createSetup(["lost", "unreachable", "declined"]);
  const refusal = (await setup.run("GET")).swap().unsafeCoerce();
  assert.is(refusal.kind, "endpoint_failed");
  assert.is(refusal.run, "unknown");
});

test("a call that every endpoint declined did not run", async () => {
  const setup = createSetup(["declined", "unreachable", "declined"]);
  const refusal = (await setup.run("POST")).swap().unsafeCoerce();
  assert.is(refusal.run, "not_run");
  assert.is(setup.sent.length, 3);
});

test("nothing is sent after the deadline", async () => {
  const setup = createSetup(["late"]);
  const pending = setup.run("GET");
  await setup.clock.advance(5_000);
  const refusal = (await pending).swap().unsafeCoerce();
  assert.is(refusal.kind, "deadline");
  assert.is(refusal.run, "unknown");
  assert.is(setup.sent.length, 1);
});

test("retries stop when the budget is spent", async () => {
  const setup = createSetup(Array<Reaction>(400).fill("declined"));
  for (let i = 0; i < 100; i++) await setup.run("POST");
  // Three endpoints start with two tokens; ten first sends add one.
  assert.ok(setup.sent.length <= 100 + 6 + 10, `${setup.sent.length} sends`);
  assert.ok(setup.metrics.readCounterTotal("retries_denied_total") > 0);
});

/** Sends a hedged call; reads the status of its answer after `afterMs`. */
async function readHedgedStatus(
  reactions: Reaction[],
  afterMs: number,
): Promise<number> {
  const setup = createSetup(reactions, true);
  const pending = setup.run("GET");
  await setup.clock.advance(afterMs);
  assert.is(setup.sent.length, 2);
  return (await pending).unsafeCoerce().status;
}

test("the first answer to a hedged call counts", async () => {
  assert.is(await readHedgedStatus(["slow", "answer"], 50), 200);
});

// The running attempt was ended for an answer that only said that the other
// endpoint had failed.
test("a hedged call is not answered by a server error while its other attempt runs", async () => {
  assert.is(await readHedgedStatus(["slow", "error"], 2_000), 200);
  assert.is(await readHedgedStatus(["slow_error", "slow"], 2_000), 200);
});

test("a hedged call that gets only server errors is answered with one", async () => {
  assert.is(await readHedgedStatus(["slow_error", "error"], 2_000), 500);
  assert.is(await readHedgedStatus(["late", "error"], 5_000), 500);
});

test("idempotent calls that end each endpoint stay within the budget", async () => {
  const setup = createSetup(Array<Reaction>(400).fill("lost"));
  for (let i = 0; i < 100; i++) await setup.run("GET");
  assert.ok(setup.sent.length <= 100 + 6 + 10, `${setup.sent.length} sends`);
});

test.run();

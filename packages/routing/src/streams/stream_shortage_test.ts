import * as assert from "uvu/assert";
import { test } from "uvu";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import { type FakeEngine, formatToken } from "../testing/fake_engine.ts";
import {
  createRequest,
  type ModelSetup,
  type ModelSetupOptions,
  openModelSetup,
  type Reading,
  startReading,
} from "../testing/model_setup.ts";

/** A stream of 20 tokens that has begun on `busy`. */
interface BegunStream {
  readonly setup: ModelSetup;
  readonly busy: FakeEngine;
  readonly others: readonly FakeEngine[];
  readonly reading: Reading;
}

async function openBegunStream(
  options: ModelSetupOptions = {},
): Promise<BegunStream> {
  const setup = await openModelSetup(options);
  const opened = await setup.router.open(createRequest(setup.clock));
  const reading = startReading(opened.unsafeCoerce());
  await setup.clock.advance(55);
  const engines = [...setup.engines.values()];
  const busy = engines.find((engine) => engine.running > 0);
  if (busy === undefined) throw new Error("no engine has the stream");
  const others = engines.filter((engine) => engine !== busy);
  return { setup, busy, others, reading };
}

function checkAnswer({ setup, reading }: BegunStream): void {
  const { prompt } = createRequest(setup.clock);
  const whole = Array.from({ length: 20 }, (_, i) => formatToken(prompt, i));
  assert.equal(reading.texts, whole);
  assert.is(reading.outcome, "stop");
  setup.router.dispose();
}

function setDeclines(engines: readonly FakeEngine[], declines: boolean): void {
  for (const engine of engines) engine.behaviour.declines = declines;
}

/** Marks an endpoint as unreachable for the longest backoff, 15 s. */
function markUnreachable({ loads }: ModelSetup, endpoint: string): void {
  const reason = "refused";
  for (let failures = 0; failures < 6; failures++) {
    loads.recordFailure(
      EndpointError.create({ kind: "unreachable", endpoint, reason }),
    );
  }
}

test("a begun stream waits for retry budget when its next replica declines", async () => {
  const stream = await openBegunStream();
  const { setup, busy, others } = stream;
  setDeclines(others, true);
  setup.budget.retries = 0;
  busy.kill();
  await setup.clock.advance(3_000);
  const sent = others.flatMap((other) => other.requests);
  assert.is(sent.length, 1);
  assert.is(stream.reading.outcome, undefined);
  setDeclines(others, false);
  setup.budget.retries = 1;
  await setup.clock.advance(5_000);
  checkAnswer(stream);
});

test("a begun stream waits for retry budget when its migration target declines", async () => {
  const stream = await openBegunStream();
  const { setup, busy, others } = stream;
  for (const { behaviour } of setup.engines.values()) {
    behaviour.betweenTokensMs = 100;
  }
  setDeclines(others, true);
  setup.budget.retries = 0;
  setup.loads.markLeaving(busy.name, 500);
  await setup.clock.advance(500);
  busy.kill();
  await setup.clock.advance(1_000);
  setDeclines(others, false);
  setup.budget.retries = 1;
  await setup.clock.advance(10_000);
  checkAnswer(stream);
});

test("a begun stream waits until its deadline for a replica", async () => {
  const stream = await openBegunStream({ replicas: 2 });
  const { setup, busy, others } = stream;
  for (const { name } of others) markUnreachable(setup, name);
  busy.kill();
  await setup.clock.advance(25_000);
  checkAnswer(stream);
});

test("a begun stream that has waited long goes on soon after a replica is usable", async () => {
  const { setup, busy, others, reading } = await openBegunStream({
    replicas: 2,
  });
  for (const { name } of others) markUnreachable(setup, name);
  busy.kill();
  await setup.clock.advance(15_000);
  assert.is(reading.texts.length, 5);
  await setup.clock.advance(900);
  assert.ok(reading.texts.length > 5, "the stream still waits");
  setup.router.dispose();
});

test("a begun stream for which no replica is found ends at its deadline", async () => {
  const { setup, busy, reading } = await openBegunStream();
  for (const { name } of setup.engines.values()) setup.loads.markDrained(name);
  busy.kill();
  await setup.clock.advance(28_000);
  assert.is(reading.outcome, undefined);
  await setup.clock.advance(2_000);
  assert.is(reading.outcome, "deadline/ran");
  assert.is(setup.router.running, 0);
  setup.router.dispose();
});

test("migrations do not use up the attempts of a stream", async () => {
  const stream = await openBegunStream({ limits: { maxAttempts: 2 } });
  const { setup, busy } = stream;
  for (const { behaviour } of setup.engines.values()) {
    behaviour.betweenTokensMs = 100;
  }
  setup.loads.markLeaving(busy.name, 300);
  await setup.clock.advance(300);
  assert.is(busy.running, 0);
  const target = [...setup.engines.values()].find((e) => e.running > 0);
  target?.kill();
  await setup.clock.advance(10_000);
  checkAnswer(stream);
});

test("declines do not use up the attempts of a begun stream", async () => {
  const stream = await openBegunStream();
  const { setup, busy, others } = stream;
  setDeclines(others, true);
  busy.kill();
  await setup.clock.advance(3_000);
  const sent = others.flatMap((other) => other.requests);
  assert.ok(sent.length <= 10, `${sent.length} sends`);
  setDeclines(others, false);
  await setup.clock.advance(5_000);
  checkAnswer(stream);
});

test("refused connections do not use up the attempts of a begun stream", async () => {
  const stream = await openBegunStream();
  const { setup, busy, others } = stream;
  for (const { name } of others) setup.loads.markDrained(name);
  busy.kill();
  await setup.clock.advance(29_000);
  assert.is(stream.reading.outcome, undefined);
  assert.ok(busy.requests.length <= 12, `${busy.requests.length} sends`);
  setup.router.dispose();
});

test("a request that has no token yet is refused right after its last search", async () => {
  const setup = await openModelSetup();
  const opened = await setup.router.open(createRequest(setup.clock));
  const reading = startReading(opened.unsafeCoerce());
  await setup.clock.advance(5);
  for (const engine of setup.engines.values()) {
    setup.loads.markDrained(engine.name);
    engine.kill();
  }
  // Six backoffs, of 50 ms to 1.6 s.
  await setup.clock.advance(3_100);
  assert.is(reading.outcome, undefined);
  await setup.clock.advance(100);
  assert.is(reading.outcome, "endpoint_failed/unknown");
  setup.router.dispose();
});

test("a request that has no token yet is refused when the retry budget is spent", async () => {
  const setup = await openModelSetup();
  setDeclines([...setup.engines.values()], true);
  setup.budget.retries = 0;
  const opened = await setup.router.open(createRequest(setup.clock));
  const reading = startReading(opened.unsafeCoerce());
  await setup.clock.advance(10);
  assert.is(reading.outcome, "endpoint_failed/not_run");
  setup.router.dispose();
});

test.run();

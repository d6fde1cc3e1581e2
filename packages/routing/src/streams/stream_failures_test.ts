import * as assert from "uvu/assert";
import { test } from "uvu";
import type { ModelStream } from "../routers/model_router.ts";
import { type FakeEngine, formatToken } from "../testing/fake_engine.ts";
import {
  createRequest,
  type ModelSetup,
  openModelSetup,
  startReading,
} from "../testing/model_setup.ts";

const request = createRequest;

async function open(setup: ModelSetup, maxTokens = 100): Promise<ModelStream> {
  const opened = await setup.router.open(request(setup.clock, { maxTokens }));
  return opened.unsafeCoerce();
}

/** Finds the engine that runs the only request. */
function findBusy(setup: ModelSetup): FakeEngine {
  const busy = [...setup.engines.values()].filter((e) => e.running > 0);
  assert.is(busy.length, 1);
  return busy[0] as FakeEngine;
}

function expectTokens(setup: ModelSetup, count: number): string[] {
  const { prompt } = request(setup.clock);
  return Array.from({ length: count }, (_, i) => formatToken(prompt, i));
}

/** Opens a stream, applies `fault` to its engine, checks the complete answer. */
async function checkCompleteAnswer(
  fault: (engine: FakeEngine, setup: ModelSetup) => void,
  afterMs: number,
): Promise<ModelSetup> {
  const setup = await openModelSetup();
  const reading = startReading(await open(setup));
  await setup.clock.advance(afterMs);
  fault(findBusy(setup), setup);
  await setup.clock.advance(20_000);
  assert.equal(reading.texts, expectTokens(setup, 20));
  assert.is(reading.outcome, "stop");
  setup.router.dispose();
  return setup;
}

test("an answer without faults is sent once", async () => {
  const { engines, metrics } = await checkCompleteAnswer(() => {}, 5);
  const sent = [...engines.values()].flatMap((engine) => engine.requests);
  assert.is(sent.length, 1);
  assert.is(
    metrics.readCounter("streams_finished_total", { reason: "stop" }),
    1,
  );
});

test("a replica killed before the first byte", async () => {
  const { metrics } = await checkCompleteAnswer((engine) => engine.kill(), 5);
  const reason = "connection_lost";
  assert.is(metrics.readCounter("stream_retries_total", { reason }), 1);
});

test("a replica killed mid-stream is resumed after its last token", async () => {
  const { engines, metrics } = await checkCompleteAnswer(
    (engine) => engine.kill(),
    95,
  );
  const resumed = [...engines.values()].flatMap((engine) => engine.requests)
    .find((sent) => sent.tokensSoFar.length > 0);
  assert.is(resumed?.tokensSoFar.length, 9);
  assert.is(
    metrics.readCounter("stream_resumes_total", { reason: "connection_lost" }),
    1,
  );
  assert.ok(metrics.readCounterTotal("tokens_recomputed_total") > 0);
});

test("a replica killed after the last token but before the end event", async () => {
  await checkCompleteAnswer((engine) => engine.kill(), 205);
});

test("a replica killed before the end event of a full-length answer", async () => {
  const setup = await openModelSetup();
  const reading = startReading(await open(setup, 5));
  await setup.clock.advance(55);
  findBusy(setup).kill();
  await setup.clock.advance(1_000);
  assert.equal(reading, { texts: expectTokens(setup, 5), outcome: "length" });
  const sent = [...setup.engines.values()].flatMap((e) => e.requests);
  assert.is(sent.length, 1);
  setup.router.dispose();
});

test("a connection that is cut mid-stream", async () => {
  await checkCompleteAnswer((engine) => engine.behaviour.cutAt = 12, 50);
});

test("two replicas killed one after the other", async () => {
  const setup = await openModelSetup();
  const reading = startReading(await open(setup));
  for (const afterMs of [55, 55]) {
    await setup.clock.advance(afterMs);
    findBusy(setup).kill();
  }
  await setup.clock.advance(5_000);
  assert.equal(reading.texts, expectTokens(setup, 20));
  setup.router.dispose();
});

test("a frozen replica that wakes late adds no tokens", async () => {
  const setup = await checkCompleteAnswer((engine) => {
    engine.behaviour.freezeAt = 7;
    engine.behaviour.ignoresAbort = true;
  }, 50);
  const frozen = [...setup.engines.values()]
    .find((engine) => engine.behaviour.freezeAt === 7);
  assert.is(frozen?.aborted.length, 1);
  const stream = await open(setup);
  const reading = startReading(stream);
  frozen?.wake();
  await setup.clock.advance(20_000);
  assert.equal(reading.texts, expectTokens(setup, 20));
});

test("a late token with the expected index is dropped", async () => {
  const setup = await openModelSetup();
  const reading = startReading(await open(setup));
  await setup.clock.advance(55);
  const frozen = findBusy(setup);
  frozen.behaviour.freezeAt = 5;
  frozen.behaviour.ignoresAbort = true;
  for (let ms = 0; ms < 3_000 && frozen.aborted.length === 0; ms++) {
    await setup.clock.advance(1);
  }
  frozen.wake();
  await setup.clock.advance(5_000);
  assert.equal(reading.texts, expectTokens(setup, 20));
  const sent = [...setup.engines.values()].flatMap((e) => e.requests);
  assert.is(sent.length, 2);
  setup.router.dispose();
});

test("without retry budget a frozen replica is waited for until the deadline", async () => {
  const setup = await openModelSetup();
  setup.budget.retries = 0;
  const reading = startReading(await open(setup));
  await setup.clock.advance(55);
  findBusy(setup).behaviour.freezeAt = 5;
  await setup.clock.advance(29_900);
  assert.is(reading.outcome, undefined);
  await setup.clock.advance(100);
  assert.is(reading.outcome, "deadline/ran");
  setup.router.dispose();
});

test("a replica frozen before the first token", async () => {
  const { metrics } = await checkCompleteAnswer((engine) => {
    engine.behaviour.freezeAt = 0;
  }, 5);
  assert.is(
    metrics.readCounter("stream_retries_total", { reason: "timeout" }),
    1,
  );
});

test("a token out of order fails the attempt, not the answer", async () => {
  const { metrics } = await checkCompleteAnswer((engine) => {
    engine.behaviour.indexOffset = 1;
  }, 50);
  assert.is(
    metrics.readCounter("stream_resumes_total", { reason: "bad_answer" }),
    1,
  );
});

test("retries after declines stay within the retry budget", async () => {
  const setup = await openModelSetup();
  for (const engine of setup.engines.values()) engine.behaviour.declines = true;
  setup.budget.retries = 1;
  const reading = startReading(await open(setup));
  await setup.clock.advance(5_000);
  assert.is(reading.outcome, "endpoint_failed/not_run");
  const sent = [...setup.engines.values()].flatMap((e) => e.requests);
  assert.is(sent.length, 2);
  setup.router.dispose();
});

test("the deadline ends a stream at once and cancels its generation", async () => {
  const setup = await openModelSetup();
  const opened = await setup.router.open(
    request(setup.clock, { deadline: 5_000, maxTokens: 20 }),
  );
  const reading = startReading(opened.unsafeCoerce());
  for (const engine of setup.engines.values()) {
    engine.behaviour.betweenTokensMs = 900;
  }
  await setup.clock.advance(4_990);
  assert.is(reading.outcome, undefined);
  const busy = findBusy(setup);
  await setup.clock.advance(10);
  assert.is(reading.outcome, "deadline/ran");
  assert.is(busy.aborted.length, 1);
  setup.router.dispose();
});

test("without retry budget a brown-out causes no further sends", async () => {
  const setup = await openModelSetup({ replicas: 8 });
  setup.budget.retries = 0;
  for (const engine of setup.engines.values()) {
    engine.behaviour.betweenTokensMs = 250;
    engine.behaviour.firstTokenMs = 9_000;
  }
  const readings = [];
  for (let i = 0; i < 20; i++) readings.push(startReading(await open(setup)));
  await setup.clock.advance(25_000);
  assert.ok(readings.every((reading) => reading.outcome === "stop"));
  const sent = [...setup.engines.values()].flatMap((e) => e.requests);
  assert.is(sent.length, 20);
  setup.router.dispose();
});

test("a caller that reads slowly applies backpressure to the engine", async () => {
  const limits = { maxUnreadTokens: 8 };
  const setup = await openModelSetup({ limits });
  const stream = await open(setup);
  const abort = new AbortController();
  const events = stream.read(0, abort.signal)[Symbol.asyncIterator]();
  const first = events.next();
  await setup.clock.advance(2_000);
  assert.is((await first).value.index, 0);
  const run = [...setup.engines.values()].find((e) => e.running > 0);
  assert.ok(run !== undefined, "the engine waits for the caller");
  assert.is(setup.router.running, 1);
  const texts = [];
  for (let i = 1; i < 20; i++) {
    const next = events.next();
    await setup.clock.advance(100);
    texts.push((await next).value.text);
  }
  assert.equal(texts, expectTokens(setup, 20).slice(1));
  abort.abort();
  setup.router.dispose();
});

test("a disconnected caller can reconnect within the grace period", async () => {
  const setup = await openModelSetup();
  const abort = new AbortController();
  const stream = await open(setup);
  const before = startReading(stream, 0, abort.signal);
  await setup.clock.advance(55);
  abort.abort();
  await setup.clock.advance(5_000);
  const { team } = request(setup.clock);
  const found = (await setup.router.find(stream.id, team)).unsafeCoerce();
  const after = startReading(found, before.texts.length);
  await setup.clock.advance(1_000);
  assert.equal(
    [...before.texts, ...after.texts],
    expectTokens(setup, 20),
  );
  setup.router.dispose();
});

// A stream that ended while its caller was away was forgotten before the grace.
test("a disconnected caller can read a stream that has ended within the grace period", async () => {
  const setup = await openModelSetup();
  const abort = new AbortController();
  const stream = await open(setup);
  const before = startReading(stream, 0, abort.signal);
  await setup.clock.advance(55);
  abort.abort();
  await setup.clock.advance(14_900);
  const { team } = request(setup.clock);
  const found = (await setup.router.find(stream.id, team)).unsafeCoerce();
  const after = startReading(found, before.texts.length);
  await setup.clock.advance(10);
  assert.equal([...before.texts, ...after.texts], expectTokens(setup, 20));
  assert.is(after.outcome, "stop");
  setup.router.dispose();
});

test("a stream whose caller does not reconnect is cancelled on the engine", async () => {
  const setup = await openModelSetup({ limits: { reconnectGraceMs: 60 } });
  const abort = new AbortController();
  startReading(await open(setup), 0, abort.signal);
  await setup.clock.advance(55);
  const busy = findBusy(setup);
  abort.abort();
  await setup.clock.advance(100);
  assert.is(busy.aborted.length, 1);
  assert.is(busy.running, 0);
  assert.is(
    setup.metrics.readCounter("streams_cancelled_total", {
      reason: "abandoned",
    }),
    1,
  );
  setup.router.dispose();
});

test("a team cannot read another team's stream", async () => {
  const setup = await openModelSetup();
  const stream = await open(setup);
  const { team } = request(setup.clock);
  const other = { ...team, name: "other" };
  const refused = await setup.router.find(stream.id, other);
  assert.is(refused.swap().unsafeCoerce().kind, "stream_lost");
  setup.router.dispose();
});

test.run();

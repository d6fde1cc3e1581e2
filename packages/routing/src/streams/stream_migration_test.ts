import * as assert from "uvu/assert";
import { test } from "uvu";
import { type FakeEngine, formatToken } from "../testing/fake_engine.ts";
import {
  createRequest,
  type ModelSetup,
  openModelSetup,
  type Reading,
  startReading,
} from "../testing/model_setup.ts";

interface ReclaimedStream {
  readonly setup: ModelSetup;
  readonly from: FakeEngine;
  readonly reading: Reading;
}

/** Starts an answer of 100 tokens in a second and announces a reclaim. */
async function startReclaim(
  noticeMs: number,
  prepare: (engine: FakeEngine) => void = () => {},
): Promise<ReclaimedStream> {
  const setup = await openModelSetup();
  for (const engine of setup.engines.values()) {
    engine.behaviour.outputTokens = 100;
    prepare(engine);
  }
  const opened = await setup.router.open(createRequest(setup.clock));
  const reading = startReading(opened.unsafeCoerce());
  await setup.clock.advance(205);
  const from = [...setup.engines.values()].find((e) => e.running > 0);
  if (from === undefined) throw new Error("no engine has the stream");
  setup.loads.markLeaving(from.name, noticeMs);
  return { setup, from, reading };
}

function checkCompleteAnswer({ setup, reading }: ReclaimedStream): void {
  const { prompt } = createRequest(setup.clock);
  const whole = Array.from({ length: 100 }, (_, i) => formatToken(prompt, i));
  assert.equal(reading.texts, whole);
  assert.is(reading.outcome, "length");
  setup.router.dispose();
}

function readMigrations({ setup }: ReclaimedStream, reason: string): number {
  return setup.metrics.readCounter("stream_migrations_total", { reason });
}

test("an answer that fits the notice stays", async () => {
  const moved = await startReclaim(6_000);
  await moved.setup.clock.advance(5_000);
  checkCompleteAnswer(moved);
  assert.is(readMigrations(moved, "fits_notice"), 1);
  assert.is(moved.from.exported.length, 0);
});

test("a longer answer moves with its cache and nothing is recomputed", async () => {
  const moved = await startReclaim(500);
  await moved.setup.clock.advance(499);
  assert.is(moved.from.running, 0);
  moved.from.kill();
  await moved.setup.clock.advance(5_000);
  checkCompleteAnswer(moved);
  assert.is(readMigrations(moved, "cache"), 1);
  assert.is(moved.setup.metrics.readCounterTotal("tokens_recomputed_total"), 0);
  const resumed = [...moved.setup.engines.values()]
    .flatMap((engine) => engine.requests)
    .filter((request) => request.importId !== undefined);
  assert.is(resumed.length, 1);
});

test("a failing export falls back to prefill within the notice", async () => {
  const moved = await startReclaim(500, (engine) => {
    engine.behaviour.exports = "fails";
  });
  await moved.setup.clock.advance(499);
  assert.is(moved.from.running, 0);
  moved.from.kill();
  await moved.setup.clock.advance(5_000);
  checkCompleteAnswer(moved);
  assert.is(readMigrations(moved, "prefill"), 1);
  assert.ok(
    moved.setup.metrics.readCounterTotal("tokens_recomputed_total") > 10,
  );
});

test("an export that hangs is given up within the notice", async () => {
  const moved = await startReclaim(500, (engine) => {
    engine.behaviour.exports = "hangs";
  });
  await moved.setup.clock.advance(499);
  assert.is(moved.from.running, 0);
  await moved.setup.clock.advance(5_000);
  checkCompleteAnswer(moved);
  assert.is(readMigrations(moved, "prefill"), 1);
});

test("a replica that crashes during the export", async () => {
  const moved = await startReclaim(5_00, (engine) => {
    engine.behaviour.exports = "hangs";
  });
  await moved.setup.clock.advance(50);
  moved.from.kill();
  await moved.setup.clock.advance(5_000);
  checkCompleteAnswer(moved);
  const reason = "connection_lost";
  assert.is(
    moved.setup.metrics.readCounter("stream_resumes_total", { reason }),
    1,
  );
});

test("a second reclaim wave takes the migration target", async () => {
  const moved = await startReclaim(500);
  await moved.setup.clock.advance(100);
  const second = [...moved.setup.engines.values()].find((e) => e.running > 0);
  if (second === undefined) throw new Error("the stream is lost");
  moved.setup.loads.markLeaving(second.name, 400);
  await moved.setup.clock.advance(390);
  assert.is(second.running, 0);
  second.kill();
  await moved.setup.clock.advance(5_000);
  checkCompleteAnswer(moved);
});

test("a reclaim of all but one replica, a possible migration target included", async () => {
  const moved = await startReclaim(500, (engine) => {
    engine.behaviour.exports = "hangs";
  });
  const others = [...moved.setup.engines.values()]
    .filter((engine) => engine !== moved.from);
  moved.setup.loads.markLeaving(others[0]?.name ?? "", 500);
  await moved.setup.clock.advance(499);
  moved.from.kill();
  others[0]?.kill();
  await moved.setup.clock.advance(5_000);
  checkCompleteAnswer(moved);
  assert.is(others[0]?.requests.length, 0);
});

// The attempt was ended before its target had accepted the stream.
test("a stream whose migration targets decline goes on at the leaving replica", async () => {
  const moved = await startReclaim(1_000);
  const others = [...moved.setup.engines.values()]
    .filter((engine) => engine !== moved.from);
  for (const other of others) other.behaviour.declines = true;
  await moved.setup.clock.advance(300);
  assert.ok(moved.reading.texts.length > 40, `${moved.reading.texts.length}`);
  assert.is(moved.from.aborted.length, 0);
  for (const other of others) other.behaviour.declines = false;
  await moved.setup.clock.advance(650);
  assert.is(moved.from.running, 0);
  moved.from.kill();
  await moved.setup.clock.advance(5_000);
  checkCompleteAnswer(moved);
});

test("a stream whose migration targets all decline ends at the leaving replica", async () => {
  const moved = await startReclaim(1_000);
  moved.setup.budget.retries = 0;
  for (const engine of moved.setup.engines.values()) {
    engine.behaviour.declines = true;
  }
  await moved.setup.clock.advance(1_000);
  const sent = [...moved.setup.engines.values()].flatMap((e) => e.requests);
  assert.is(sent.length, 2);
  checkCompleteAnswer(moved);
});

test("new requests avoid a leaving replica at once", async () => {
  const moved = await startReclaim(60_000);
  const before = moved.from.requests.length;
  // The two other replicas have 16 slots together.
  for (let i = 0; i < 16; i++) {
    const opened = await moved.setup.router.open(
      createRequest(moved.setup.clock),
    );
    startReading(opened.unsafeCoerce());
  }
  await moved.setup.clock.advance(5_000);
  assert.is(moved.from.requests.length, before);
  checkCompleteAnswer(moved);
});

test.run();

import * as assert from "uvu/assert";
import { test } from "uvu";
import { Random } from "@almondcrank/common/random.ts";
import { type FakeEngine, formatToken } from "../testing/fake_engine.ts";
import {
  createRequest,
  type ModelSetup,
  type ModelSetupOptions,
  openModelSetup,
  type Reading,
  startReading,
} from "../testing/model_setup.ts";

/** A stream of 20 tokens whose replica fell silent after the twelfth. */
interface SilentStream {
  readonly setup: ModelSetup;
  readonly silent: FakeEngine;
  readonly others: readonly FakeEngine[];
  readonly reading: Reading;
  readonly cancel: () => void;
}

const silentFrom = 12;
const betweenTokensMs = 200;
/** Time at which the replica has sent its last token before the silence. */
const silentAtMs = 2_300;

async function openSilentStream(
  options: ModelSetupOptions = {},
  maxTokens = 100,
): Promise<SilentStream> {
  const setup = await openModelSetup(options);
  for (const engine of setup.engines.values()) {
    engine.behaviour.betweenTokensMs = betweenTokensMs;
  }
  const opened = await setup.router.open(
    createRequest(setup.clock, { maxTokens }),
  );
  const stream = opened.unsafeCoerce();
  const reading = startReading(stream);
  await setup.clock.advance(silentAtMs);
  const engines = [...setup.engines.values()];
  const silent = engines.find((engine) => engine.running > 0);
  if (silent === undefined) throw new Error("no engine has the stream");
  silent.behaviour.freezeAt = silentFrom;
  const others = engines.filter((engine) => engine !== silent);
  const cancel = (): void => stream.cancel();
  return { setup, silent, others, reading, cancel };
}

/** Lets the replica be silent for 1.5 s, and checks that it ends the answer. */
async function checkEndsInPlace(stream: SilentStream): Promise<void> {
  const { setup, silent } = stream;
  await setup.clock.advance(1_500);
  silent.wake();
  await setup.clock.advance(10_000);
  checkAnswer(stream);
  assert.is(silent.requests.length, 1);
  assert.is(silent.aborted.length, 0);
  assert.is(setup.metrics.readCounterTotal("tokens_recomputed_total"), 0);
  setup.router.dispose();
}

function checkAnswer({ setup, reading }: SilentStream): void {
  const { prompt } = createRequest(setup.clock);
  const whole = Array.from({ length: 20 }, (_, i) => formatToken(prompt, i));
  assert.equal(reading.texts, whole);
  assert.is(reading.outcome, "stop");
}

function sumRunning(setup: ModelSetup): number {
  return [...setup.engines.values()]
    .reduce((sum, { running }) => sum + running, 0);
}

test("a silent replica keeps its stream while all others decline it", async () => {
  const stream = await openSilentStream();
  for (const other of stream.others) other.behaviour.declines = true;
  await checkEndsInPlace(stream);
});

test("a silent replica keeps its stream when the retry budget allows one decline", async () => {
  const stream = await openSilentStream();
  for (const other of stream.others) other.behaviour.declines = true;
  stream.setup.budget.retries = 1;
  await checkEndsInPlace(stream);
});

test("a silent replica keeps its stream while no other replica is usable", async () => {
  const stream = await openSilentStream();
  for (const { name } of stream.others) {
    stream.setup.loads.markLeaving(name, 60_000);
  }
  await checkEndsInPlace(stream);
});

test("a silent replica keeps its stream when no attempt is left", async () => {
  await checkEndsInPlace(
    await openSilentStream({ limits: { maxAttempts: 1 } }),
  );
});

test("a silent replica that goes on before its replacement keeps its stream", async () => {
  const stream = await openSilentStream();
  for (const other of stream.others) other.behaviour.firstTokenMs = 2_000;
  const { setup, silent, others } = stream;
  await setup.clock.advance(1_500);
  silent.wake();
  await setup.clock.advance(10);
  const aborted = others.flatMap((other) => other.aborted);
  assert.is(aborted.length, 1);
  await setup.clock.advance(10_000);
  checkAnswer(stream);
  assert.is(silent.requests.length, 1);
  assert.is(silent.aborted.length, 0);
  setup.router.dispose();
});

test("a replica that dies while its replacement starts is not replaced twice", async () => {
  const stream = await openSilentStream();
  const { setup, silent, others } = stream;
  for (const other of others) other.behaviour.firstTokenMs = 900;
  await setup.clock.advance(1_200);
  silent.kill();
  await setup.clock.advance(5_000);
  checkAnswer(stream);
  const sent = others.flatMap((other) => other.requests);
  assert.is(sent.length, 1);
  assert.is(sent[0]?.tokensSoFar.length, silentFrom);
  setup.router.dispose();
});

test("a replacement that is silent as well is replaced elsewhere", async () => {
  const stream = await openSilentStream();
  const { setup, others } = stream;
  for (const other of others) other.behaviour.freezeAt = silentFrom;
  await setup.clock.advance(1_200);
  const last = others.find(({ running }) => running === 0);
  if (last === undefined) throw new Error("both engines have the stream");
  last.behaviour.freezeAt = undefined;
  await setup.clock.advance(10_000);
  checkAnswer(stream);
  const sent = [...setup.engines.values()].map((e) => e.requests.length);
  assert.equal(sent, [1, 1, 1]);
  setup.router.dispose();
});

test("a replica that is silent after the last token has ended its answer", async () => {
  const { setup, reading } = await openSilentStream({}, silentFrom);
  await setup.clock.advance(1_500);
  assert.is(reading.outcome, "length");
  const sent = [...setup.engines.values()].flatMap((e) => e.requests);
  assert.is(sent.length, 1);
  setup.router.dispose();
});

test("a caller that cancels ends a silent attempt and its replacement", async () => {
  const { setup, others, silent, cancel } = await openSilentStream();
  for (const other of others) other.behaviour.firstTokenMs = 5_000;
  await setup.clock.advance(1_200);
  cancel();
  silent.wake();
  await setup.clock.advance(6_000);
  assert.is(sumRunning(setup), 0);
  setup.router.dispose();
});

test("the deadline ends a silent attempt and its replacement", async () => {
  const { setup, others, silent, reading } = await openSilentStream();
  for (const other of others) other.behaviour.firstTokenMs = 40_000;
  await setup.clock.advance(30_000 - silentAtMs);
  assert.is(reading.outcome, "deadline/ran");
  silent.wake();
  await setup.clock.advance(40_000);
  assert.is(sumRunning(setup), 0);
  setup.router.dispose();
});

/** Announces the reclaim of an engine's host, and ends it after the notice. */
async function reclaim(setup: ModelSetup, engine: FakeEngine): Promise<void> {
  const noticeMs = 600;
  setup.loads.markLeaving(engine.name, noticeMs);
  await setup.clock.sleep(noticeMs);
  engine.kill();
}

/** Lets engines be silent, decline, lose a connection or recover at random. */
async function applyRandomFaults(
  setup: ModelSetup,
  random: Random,
): Promise<void> {
  const engines = [...setup.engines.values()];
  const leavingAt = random.nextInt(12);
  for (let step = 0; step < 12; step++) {
    if (step === leavingAt) void reclaim(setup, random.choose(engines));
    const { behaviour } = random.choose(engines);
    behaviour.declines = random.nextInt(3) === 0;
    behaviour.firstTokenMs = 10 + random.nextInt(1_500);
    behaviour.cutAt = random.nextInt(4) === 0 ? random.nextInt(20) : undefined;
    behaviour.freezeAt = random.nextInt(2) === 0
      ? random.nextInt(20)
      : undefined;
    await setup.clock.advance(random.nextInt(900));
    random.choose(engines).wake();
  }
  for (const engine of engines) {
    engine.behaviour.declines = false;
    engine.behaviour.cutAt = undefined;
    engine.wake();
  }
}

test("an answer has each token once whatever replicas are silent, decline or leave", async () => {
  for (let seed = 1; seed <= 60; seed++) {
    const setup = await openModelSetup({ seed, limits: { maxAttempts: 50 } });
    const opened = await setup.router.open(createRequest(setup.clock));
    const reading = startReading(opened.unsafeCoerce());
    await applyRandomFaults(setup, Random.create(seed));
    await setup.clock.advance(15_000);
    const { prompt } = createRequest(setup.clock);
    const whole = Array.from({ length: 20 }, (_, i) => formatToken(prompt, i));
    assert.equal(reading.texts, whole, `seed ${seed}`);
    assert.is(reading.outcome, "stop", `seed ${seed}`);
    assert.is(sumRunning(setup), 0, `seed ${seed}`);
    setup.router.dispose();
  }
});

test.run();

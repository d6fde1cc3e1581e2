/**
 * Crashes of attempts that are held, silent or beside another one, and streams that
 * wait when one of their parts enters the quarantine.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { computePromptParts } from "./prompt_parts.ts";
import { settledTokens } from "./attempt_evidence.ts";
import { quarantineCrashes } from "../quarantine/part_evidence.ts";
import type { FakeEngine } from "../testing/fake_engine.ts";
import {
  createRequest,
  type ModelSetup,
  type ModelSetupOptions,
  openModelSetup,
  type Reading,
  startReading,
} from "../testing/model_setup.ts";
import { TestPeers } from "../testing/test_peers.ts";

const betweenTokensMs = 100;
/** Time at which a stream has a few tokens. */
const begunMs = 355;

/** A stream that runs on `busy`. */
interface OpenStream {
  readonly setup: ModelSetup;
  readonly busy: FakeEngine;
  readonly others: readonly FakeEngine[];
  readonly reading: Reading;
  readonly parts: readonly string[];
}

async function openStream(
  options: ModelSetupOptions = {},
  runMs = begunMs,
): Promise<OpenStream> {
  const setup = await openModelSetup(options);
  for (const { behaviour } of setup.engines.values()) {
    behaviour.betweenTokensMs = betweenTokensMs;
  }
  const request = createRequest(setup.clock);
  const opened = await setup.router.open(request);
  const reading = startReading(opened.unsafeCoerce());
  await setup.clock.advance(runMs);
  const engines = [...setup.engines.values()];
  const busy = engines.find((engine) => engine.running > 0);
  if (busy === undefined) throw new Error("no engine has the stream");
  const others = engines.filter((engine) => engine !== busy);
  const { prompt, service: { model } } = request;
  const parts = computePromptParts(await openHasher(), { model, prompt });
  return { setup, busy, others, reading, parts };
}

/** Records crashes of other requests, after which the parts are quarantined. */
function recordOtherCrashes({ setup, parts }: OpenStream): void {
  for (let index = 0; index < quarantineCrashes; index++) {
    setup.quarantine.recordCrash(parts, `other${index}@1`, setup.clock.now());
  }
}

/** Names of the endpoints under whose crashes the parts of the stream are known. */
function listCrashed({ setup }: OpenStream): readonly string[] {
  const [told] = setup.quarantine.listTold(setup.clock.now());
  const crashes = told?.crashes ?? [];
  return crashes.map(([incarnation]) => incarnation.split("@")[0] ?? "");
}

function countRequests({ busy, others }: OpenStream): number {
  return [busy, ...others].flatMap(({ requests }) => requests).length;
}

function checkEnded(stream: OpenStream): void {
  const { setup, reading } = stream;
  assert.is(reading.outcome, "endpoint_failed/ran");
  const reason = { reason: "quarantined" };
  assert.is(setup.metrics.readCounter("retries_refused_total", reason), 1);
  setup.router.dispose();
}

test("a begun answer that waits for a replica ends when its part is found", async () => {
  const stream = await openStream();
  const { setup, busy, others } = stream;
  for (const engine of others) setup.loads.markLeaving(engine.name, 60_000);
  busy.kill();
  await setup.clock.advance(2_000);
  assert.is(stream.reading.outcome, undefined);
  const requests = countRequests(stream);
  recordOtherCrashes(stream);
  await setup.clock.advance(1);
  assert.is(countRequests(stream), requests);
  checkEnded(stream);
});

test("a begun answer that waits for retry budget ends when its part is found", async () => {
  const stream = await openStream();
  const { setup, busy, others } = stream;
  for (const engine of others) engine.behaviour.declines = true;
  setup.budget.retries = 0;
  busy.kill();
  await setup.clock.advance(2_000);
  assert.is(stream.reading.outcome, undefined);
  const requests = countRequests(stream);
  recordOtherCrashes(stream);
  await setup.clock.advance(1);
  assert.is(countRequests(stream), requests);
  checkEnded(stream);
});

test("an answer of enough tokens waits on when its part is found", async () => {
  const runMs = betweenTokensMs * (settledTokens + 1);
  const stream = await openStream({}, runMs);
  const { setup, busy, others } = stream;
  for (const engine of others) engine.behaviour.declines = true;
  setup.budget.retries = 0;
  busy.kill();
  await setup.clock.advance(1_000);
  recordOtherCrashes(stream);
  for (const engine of others) engine.behaviour.declines = false;
  setup.budget.retries = 1;
  await setup.clock.advance(5_000);
  assert.is(stream.reading.outcome, "stop");
  setup.router.dispose();
});

test("a silent replica is not replaced once the part is found", async () => {
  const stream = await openStream();
  const { setup, busy } = stream;
  busy.behaviour.freezeAt = stream.reading.texts.length;
  recordOtherCrashes(stream);
  await setup.clock.advance(8_000);
  assert.is(countRequests(stream), 1);
  busy.wake();
  await setup.clock.advance(10_000);
  assert.is(stream.reading.outcome, "stop");
  setup.router.dispose();
});

test("the crashes of a silent replica and of its replacement are recorded", async () => {
  const stream = await openStream();
  const { setup, busy, others } = stream;
  for (const { behaviour } of others) behaviour.freezeAt = 0;
  busy.behaviour.freezeAt = stream.reading.texts.length;
  await setup.clock.advance(2_500);
  const replacement = others.find(({ running }) => running > 0);
  assert.ok(replacement !== undefined);
  replacement?.kill();
  await setup.clock.advance(1);
  assert.equal(listCrashed(stream), [replacement?.name]);
  busy.kill();
  await setup.clock.advance(1);
  assert.ok(listCrashed(stream).includes(busy.name));
  setup.router.dispose();
});

test("the crash of a replica is recorded while its attempt is held for a migration", async () => {
  const stream = await openStream();
  const { setup, busy, others } = stream;
  for (const { behaviour } of others) behaviour.firstTokenMs = 1_000;
  busy.behaviour.freezeAt = stream.reading.texts.length;
  setup.loads.markLeaving(busy.name, 500);
  await setup.clock.advance(100);
  assert.is(countRequests(stream), 2);
  busy.kill();
  await setup.clock.advance(1);
  assert.equal(listCrashed(stream), [busy.name]);
  setup.router.dispose();
});

test("the crash of a replica is recorded while its stream is offered to a peer", async () => {
  const peers = TestPeers.create();
  const stream = await openStream({ peers: peers.createChannel("n1") });
  const { setup, busy } = stream;
  const successor = await openModelSetup({ nodeName: "n2", shared: setup });
  peers.add("n2", successor.router);
  peers.slow.add("n2");
  peers.clock = setup.clock;
  busy.behaviour.freezeAt = stream.reading.texts.length;
  const drained = setup.router.drain(100);
  await setup.clock.advance(200);
  busy.kill();
  await setup.clock.advance(1);
  assert.equal(listCrashed(stream), [busy.name]);
  await setup.clock.advance(2_000);
  await drained;
  setup.router.dispose();
  successor.router.dispose();
});

test("a stream is not ended by its part while a peer takes it", async () => {
  const peers = TestPeers.create();
  const stream = await openStream({ peers: peers.createChannel("n1") });
  const { setup, busy, others } = stream;
  const successor = await openModelSetup({ nodeName: "n2", shared: setup });
  peers.add("n2", successor.router);
  peers.slow.add("n2");
  peers.clock = setup.clock;
  for (const engine of others) setup.loads.markLeaving(engine.name, 60_000);
  busy.kill();
  await setup.clock.advance(1_000);
  const drained = setup.router.drain(100);
  await setup.clock.advance(200);
  recordOtherCrashes(stream);
  await setup.clock.advance(2_000);
  await drained;
  assert.is(setup.metrics.readCounterTotal("streams_failed_total"), 0);
  const taken = { result: "taken" };
  assert.is(setup.metrics.readCounter("stream_hand_overs_total", taken), 1);
  setup.router.dispose();
  successor.router.dispose();
});

test.run();

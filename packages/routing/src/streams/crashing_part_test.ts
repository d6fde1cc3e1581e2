/**
 * Requests with one message that crashes each replica that begins to write an
 * answer on it, at several nodes.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import type { Either } from "purify-ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { computePromptParts } from "./prompt_parts.ts";
import type { FakeEngine } from "../testing/fake_engine.ts";
import {
  createRequest,
  type ModelSetup,
  openModelSetup,
  type Reading,
  startReading,
  testTeam,
} from "../testing/model_setup.ts";
import { TestPeers } from "../testing/test_peers.ts";
import type { ModelStream } from "../routers/model_router.ts";
import type { Refusal } from "../admission/refusal.ts";

/** Crashes after which nodes in touch stop sending such requests. */
const countedCrashes = 5;
/** Requests after which fewer crashes count as well. */
const maxFirstRequests = 100;
/** Such requests that may still be sent after that. */
const maxFurtherSends = 3;
/** Time in which nodes learn of each other's crashes. */
const contactMs = 2_000;
const exchangeMs = 500;
const nodeCount = 4;
const replicas = 12;
/** Each test of a run of requests is repeated with other random draws. */
const seeds = 10;

const crashing = "read the attached table of tolls";
const common = "you answer drivers of the depot";

interface Nodes {
  readonly setups: readonly ModelSetup[];
  readonly engines: readonly FakeEngine[];
  exchangedAt: number;
}

async function openNodes(seed = 0): Promise<Nodes> {
  const peers = TestPeers.create();
  const setups: ModelSetup[] = [];
  for (let i = 0; i < nodeCount; i++) {
    const shared = setups[0];
    const setup = await openModelSetup({
      nodeName: `n${i}`,
      seed: nodeCount * seed + i + 1,
      replicas,
      peers: peers.createChannel(`n${i}`),
      ...(shared === undefined ? {} : { shared }),
    });
    setups.push(setup);
    peers.add(`n${i}`, setup.router);
  }
  const engines = [...pickNode(setups, 0).engines.values()];
  for (const engine of engines) engine.behaviour.crashesOn = crashing;
  return { setups, engines, exchangedAt: 0 };
}

function pickNode(setups: readonly ModelSetup[], index: number): ModelSetup {
  const setup = setups[index % setups.length];
  if (setup === undefined) throw new Error("there are no nodes");
  return setup;
}

async function advance(nodes: Nodes, ms: number): Promise<void> {
  const { clock } = pickNode(nodes.setups, 0);
  const end = clock.now() + ms;
  while (clock.now() < end) {
    await clock.advance(Math.min(exchangeMs, end - clock.now()));
    if (clock.now() < nodes.exchangedAt + exchangeMs) continue;
    nodes.exchangedAt = clock.now();
    exchangeParts(nodes, clock.now());
  }
}

/** Lets each node exchange what it knows with one other node. */
function exchangeParts({ setups }: Nodes, now: number): void {
  for (const [index, { quarantine }] of setups.entries()) {
    const offset = 1 + Math.floor(now / exchangeMs) % (setups.length - 1);
    const peer = pickNode(setups, index + offset).quarantine;
    const told = quarantine.listTold(now);
    quarantine.learn(peer.listTold(now), now);
    peer.learn(told, now);
  }
}

function dispose({ setups }: Nodes): void {
  for (const { router } of setups) router.dispose();
}

/** Formats a conversation as the chat protocol does. */
function formatPrompt(...messages: readonly string[]): string {
  return [...messages, "<assistant>"].join("\n");
}

/** Formats the `index`th conversation with the message that crashes replicas. */
function formatCrashing(index: number): string {
  return formatPrompt(
    `<system> ${common}`,
    `<user> ${index} ${"word ".repeat(index % 20)}`,
    `<user> ${crashing}`,
    `<user> question ${index}`,
  );
}

/** Formats a conversation with the other messages of the `index`th one. */
function formatSound(index: number): string {
  return formatPrompt(
    `<system> ${common}`,
    `<user> ${index} ${"word ".repeat(index % 20)}`,
    `<user> sound ${index}`,
  );
}

function open(
  { setups }: Nodes,
  index: number,
  prompt: string,
): Promise<Either<Refusal, ModelStream>> {
  const { clock, router } = pickNode(setups, index);
  return router.open(createRequest(clock, { prompt }));
}

/** Opens a stream that is not refused, and reads it. */
async function startStream(
  nodes: Nodes,
  index: number,
  prompt: string,
): Promise<Reading> {
  const opened = await open(nodes, index, prompt);
  return opened.caseOf<Reading>({
    Left: (refusal) => ({ texts: [], outcome: refusal.kind }),
    Right: (stream) => startReading(stream),
  });
}

function countCrashes({ engines }: Nodes): number {
  return engines.reduce((sum, { crashes }) => sum + crashes.length, 0);
}

function countSends({ engines }: Nodes): number {
  return engines.flatMap(({ received }) => received)
    .filter(({ prompt }) => prompt.includes(crashing)).length;
}

/**
 * Sends both kinds of requests by turns until enough replicas have crashed, or
 * clearly no more will.
 */
async function crashReplicas(nodes: Nodes): Promise<number> {
  let index = 0;
  while (countCrashes(nodes) < countedCrashes && index < maxFirstRequests) {
    await startStream(nodes, index, formatCrashing(index));
    await startStream(nodes, index + 1, formatSound(index));
    await advance(nodes, 250);
    index++;
  }
  assert.ok(countCrashes(nodes) > 0);
  return index;
}

test("requests with a part that crashes replicas stop at every node", async () => {
  for (let seed = 0; seed < seeds; seed++) {
    const nodes = await openNodes(seed);
    const first = await crashReplicas(nodes);
    await advance(nodes, contactMs);
    const before = countSends(nodes);
    for (let index = first; index < first + 100; index++) {
      await startStream(nodes, index, formatCrashing(index));
      await advance(nodes, 250);
    }
    const further = countSends(nodes) - before;
    assert.ok(further <= maxFurtherSends, `sent ${further} times more`);
    dispose(nodes);
  }
});

test("one stream does not crash replica after replica by its retries", async () => {
  const nodes = await openNodes();
  const reading = await startStream(nodes, 0, formatCrashing(0));
  await advance(nodes, 30_000);
  assert.ok(reading.outcome !== undefined);
  const sends = countSends(nodes);
  assert.ok(sends <= countedCrashes, `${sends} replicas received it`);
  dispose(nodes);
});

test("a request that its caller repeats stops at every node", async () => {
  for (let seed = 0; seed < seeds; seed++) {
    const nodes = await openNodes(seed);
    const prompt = formatPrompt(`<system> ${common}`, `<user> ${crashing}`);
    const readings: Reading[] = [];
    for (let index = 0; index < 100; index++) {
      await startStream(nodes, index, prompt);
      const sound = await startStream(nodes, index + 1, formatSound(index));
      if (index >= 50) readings.push(sound);
      await advance(nodes, 250);
    }
    await advance(nodes, 5_000);
    const sends = countSends(nodes);
    assert.ok(sends <= countedCrashes + maxFurtherSends, `${sends} sends`);
    const whole = readings.filter(({ outcome }) => outcome === "stop").length;
    assert.is(whole, readings.length, "answers without a fault");
    dispose(nodes);
  }
});

test("one stream doesn't crash replica after replica by its own message", async () => {
  const nodes = await openNodes();
  const reading = await startStream(
    nodes,
    0,
    formatPrompt(`<user> ${crashing}`),
  );
  await advance(nodes, 30_000);
  assert.is(reading.outcome, "endpoint_failed/unknown");
  const sends = countSends(nodes);
  assert.ok(sends <= countedCrashes, `${sends} replicas received it`);
  dispose(nodes);
});

test("sound requests with the other parts are answered meanwhile", async () => {
  for (let seed = 0; seed < seeds; seed++) {
    const nodes = await openNodes(seed);
    const first = await crashReplicas(nodes);
    await advance(nodes, 2 * contactMs);
    const readings: Reading[] = [];
    const before = countCrashes(nodes);
    for (let index = first; index < first + 60; index++) {
      await startStream(nodes, index, formatCrashing(index));
      readings.push(await startStream(nodes, index + 1, formatSound(index)));
      await advance(nodes, 250);
    }
    await advance(nodes, 5_000);
    const whole = readings.filter(({ outcome }) => outcome === "stop").length;
    assert.is(whole, readings.length, "answers without a fault");
    assert.ok(countCrashes(nodes) - before <= maxFurtherSends);
    dispose(nodes);
  }
});

/** Opens sound streams while replicas end one after the other. */
async function crashBesideSound(
  nodes: Nodes,
  format: (index: number) => string,
): Promise<readonly Reading[]> {
  const readings: Reading[] = [];
  for (let index = 0; index < 120; index++) {
    readings.push(await startStream(nodes, index, format(index)));
    await advance(nodes, 50);
    if (index % 8 > 0 || index > 64) continue;
    const busy = nodes.engines.find(({ running }) => running > 0);
    if (busy !== undefined) void busy.crash();
  }
  await advance(nodes, 5_000);
  assert.ok(countCrashes(nodes) > countedCrashes);
  return readings;
}

test("replicas that end for another cause leave sound parts alone", async () => {
  const nodes = await openNodes();
  const readings = await crashBesideSound(
    nodes,
    (index) => formatPrompt(`<system> ${common}`, `<user> sound ${index}`),
  );
  const whole = readings.filter(({ outcome }) => outcome === "stop").length;
  assert.is(whole, readings.length);
  dispose(nodes);
});

test("no message is blamed for replicas that end for another cause", async () => {
  const reason = { reason: "quarantined" };
  for (let seed = 0; seed < seeds; seed++) {
    const nodes = await openNodes(seed);
    await crashBesideSound(nodes, formatSound);
    for (const { quarantine, metrics } of nodes.setups) {
      assert.is(quarantine.size, 0);
      assert.is(metrics.readCounter("model_refusals_total", reason), 0);
      assert.is(metrics.readCounter("retries_refused_total", reason), 0);
    }
    dispose(nodes);
  }
});

/** Opens a stream that waits for its first token when its message is found. */
async function openWaiting(nodes: Nodes): Promise<ModelStream> {
  for (const { behaviour } of nodes.engines) behaviour.firstTokenMs = 20_000;
  const prompt = formatCrashing(0);
  const stream = (await open(nodes, 0, prompt)).unsafeCoerce();
  const { clock } = pickNode(nodes.setups, 0);
  const { model } = createRequest(clock).service;
  const hasher = await openHasher();
  const parts = computePromptParts(hasher, { model, prompt }).slice(2, 3);
  for (const { quarantine } of nodes.setups) {
    for (const incarnation of ["e1@1", "e2@1", "e3@1"]) {
      quarantine.recordCrash(parts, incarnation, clock.now());
    }
  }
  await advance(nodes, 100);
  return stream;
}

test("a stream that is handed over isn't sent again once its part is found", async () => {
  const nodes = await openNodes();
  const reading = startReading(await openWaiting(nodes));
  const { router, metrics } = pickNode(nodes.setups, 0);
  const drained = router.drain(400);
  await advance(nodes, 500);
  await drained;
  await advance(nodes, 1_000);
  const reasons = { result: "taken" };
  assert.is(metrics.readCounter("stream_hand_overs_total", reasons), 1);
  assert.is(reading.outcome, "endpoint_failed/unknown");
  assert.is(countSends(nodes), 1);
  dispose(nodes);
});

test("a stream isn't moved to another replica once its part is found", async () => {
  const nodes = await openNodes();
  const reading = startReading(await openWaiting(nodes));
  const busy = nodes.engines.find(({ running }) => running > 0);
  for (const { loads } of nodes.setups) loads.markLeaving(busy!.name, 500);
  await advance(nodes, 1_000);
  assert.is(reading.outcome, "endpoint_failed/unknown");
  assert.is(countSends(nodes), 1);
  dispose(nodes);
});

test("a caller that resumes a crashed stream doesn't start it again", async () => {
  const nodes = await openNodes();
  const opened = await open(nodes, 0, formatCrashing(0));
  const stream = opened.unsafeCoerce();
  startReading(stream);
  await advance(nodes, 5_000);
  const sends = countSends(nodes);
  for (let index = 0; index < nodeCount; index++) {
    const { router } = pickNode(nodes.setups, index);
    const found = await router.find(stream.id, testTeam);
    const reading = startReading(found.unsafeCoerce());
    await advance(nodes, 100);
    assert.is(reading.outcome, "endpoint_failed/unknown");
  }
  assert.is(countSends(nodes), sends);
  dispose(nodes);
});

test.run();

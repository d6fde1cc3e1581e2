/**
 * Requests with one message that crashes each replica that begins to write an
 * answer on it, at several nodes.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import type { Either } from "purify-ts";
import type { FakeEngine } from "../testing/fake_engine.ts";
import {
  createRequest,
  type ModelSetup,
  openModelSetup,
  type Reading,
  startReading,
} from "../testing/model_setup.ts";
import { TestPeers } from "../testing/test_peers.ts";
import type { ModelStream } from "../routers/model_router.ts";
import type { Refusal } from "../admission/refusal.ts";

/** Crashes after which nodes in touch stop sending such requests. */
const countedCrashes = 5;
/** Such requests that may still be sent after that. */
const maxFurtherSends = 3;
/** Time in which nodes learn of each other's crashes. */
const contactMs = 2_000;
const nodeCount = 4;
const replicas = 12;

const crashing = "read the attached table of tolls";
const common = "you answer drivers of the depot";

interface Nodes {
  readonly setups: readonly ModelSetup[];
  readonly engines: readonly FakeEngine[];
}

async function openNodes(): Promise<Nodes> {
  const peers = TestPeers.create();
  const setups: ModelSetup[] = [];
  for (let i = 0; i < nodeCount; i++) {
    const shared = setups[0];
    const setup = await openModelSetup({
      nodeName: `n${i}`,
      seed: i + 1,
      replicas,
      peers: peers.createChannel(`n${i}`),
      ...(shared === undefined ? {} : { shared }),
    });
    setups.push(setup);
    peers.add(`n${i}`, setup.router);
  }
  const engines = [...pickNode(setups, 0).engines.values()];
  for (const engine of engines) engine.behaviour.crashesOn = crashing;
  return { setups, engines };
}

function pickNode(setups: readonly ModelSetup[], index: number): ModelSetup {
  const setup = setups[index % setups.length];
  if (setup === undefined) throw new Error("there are no nodes");
  return setup;
}

async function advance({ setups }: Nodes, ms: number): Promise<void> {
  const { clock } = pickNode(setups, 0);
  await clock.advance(ms);
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

function formatSound(index: number): string {
  return formatPrompt(`<system> ${common}`, `<user> sound ${index}`);
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

/** Sends both kinds of requests by turns until enough replicas have crashed. */
async function crashReplicas(nodes: Nodes): Promise<number> {
  let index = 0;
  for (; countCrashes(nodes) < countedCrashes && index < 200; index++) {
    await startStream(nodes, index, formatCrashing(index));
    await startStream(nodes, index + 1, formatSound(index));
    await advance(nodes, 250);
  }
  assert.ok(countCrashes(nodes) >= countedCrashes);
  return index;
}

test("requests with a part that crashes replicas stop at every node", async () => {
  const nodes = await openNodes();
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

test("sound requests with the other parts are answered meanwhile", async () => {
  const nodes = await openNodes();
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
});

test("replicas that end for another cause leave sound parts alone", async () => {
  const nodes = await openNodes();
  const readings: Reading[] = [];
  for (let index = 0; index < 120; index++) {
    readings.push(await startStream(nodes, index, formatSound(index)));
    await advance(nodes, 50);
    if (index % 8 > 0 || index > 64) continue;
    const busy = nodes.engines.find(({ running }) => running > 0);
    if (busy !== undefined) void busy.crash();
  }
  await advance(nodes, 5_000);
  assert.ok(countCrashes(nodes) > countedCrashes);
  const whole = readings.filter(({ outcome }) => outcome === "stop").length;
  assert.is(whole, readings.length);
  dispose(nodes);
});

test.run();

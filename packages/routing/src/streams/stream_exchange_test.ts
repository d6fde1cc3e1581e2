import * as assert from "uvu/assert";
import { test } from "uvu";
import type {
  ChoiceRequest,
  ConversationPrefix,
} from "../choice/replica_chooser.ts";
import type { ModelStream } from "../routers/model_router.ts";
import { formatToken } from "../testing/fake_engine.ts";
import {
  createRequest,
  type ModelSetup,
  openModelSetup,
  type Reading,
  startReading,
  TestPeerFailure,
  testTeam,
} from "../testing/model_setup.ts";
import type { StreamLimits } from "./stream_limits.ts";
import type { StreamHandOver, StreamPeers } from "./stream_peers.ts";
import { TestPeers } from "../testing/test_peers.ts";

interface Nodes {
  readonly peers: TestPeers;
  readonly setups: ReadonlyMap<string, ModelSetup>;
  readonly first: ModelSetup;
}

const names = ["n1", "n2", "n3", "n4"];

async function openNodes(
  outputTokens = 100,
  limits: Partial<StreamLimits> = {},
): Promise<Nodes> {
  const peers = TestPeers.create();
  const setups = new Map<string, ModelSetup>();
  let shared: ModelSetup | undefined;
  for (const nodeName of names) {
    const setup: ModelSetup = await openModelSetup({
      nodeName,
      peers: peers.createChannel(nodeName),
      limits,
      ...(shared === undefined ? {} : { shared }),
    });
    shared ??= setup;
    setups.set(nodeName, setup);
    peers.add(nodeName, setup.router);
  }
  if (shared === undefined) throw new Error("no node");
  peers.clock = shared.clock;
  for (const engine of shared.engines.values()) {
    engine.behaviour.outputTokens = outputTokens;
  }
  return { peers, setups, first: shared };
}

function findNode(nodes: Nodes, name: string): ModelSetup {
  const setup = nodes.setups.get(name);
  if (setup === undefined) throw new Error(`node ${name} does not exist`);
  return setup;
}

async function open(nodes: Nodes): Promise<ModelStream> {
  const request = createRequest(nodes.first.clock);
  return (await nodes.first.router.open(request)).unsafeCoerce();
}

function expectTokens(nodes: Nodes, from: number, to = 100): string[] {
  const { prompt } = createRequest(nodes.first.clock);
  return Array.from(
    { length: to - from },
    (_, i) => formatToken(prompt, from + i),
  );
}

function dispose(nodes: Nodes): void {
  for (const { router } of nodes.setups.values()) router.dispose();
}

test("any node finds a stream of another node", async () => {
  const nodes = await openNodes();
  const { clock } = nodes.first;
  const stream = await open(nodes);
  await clock.advance(300);
  const found = await findNode(nodes, "n3").router.find(stream.id, testTeam);
  const reading = startReading(found.unsafeCoerce(), 10);
  assert.is(found.unsafeCoerce().model, "assistant");
  await clock.advance(5_000);
  assert.equal(reading.texts, expectTokens(nodes, 10));
  assert.is(reading.outcome, "length");
  const other = { ...testTeam, name: "other" };
  const refused = await findNode(nodes, "n3").router.find(stream.id, other);
  assert.is(refused.swap().unsafeCoerce().kind, "stream_lost");
  dispose(nodes);
});

/** Reads a stream of n1 through n2 after its caller left n1. */
async function readThroughPeer(nodes: Nodes): Promise<Reading> {
  const abort = new AbortController();
  const stream = await open(nodes);
  startReading(stream, 0, abort.signal);
  await nodes.first.clock.advance(55);
  abort.abort();
  const found = await findNode(nodes, "n2").router.find(stream.id, testTeam);
  return startReading(found.unsafeCoerce());
}

// Reads by a peer were no readers to the node that owned the stream.
test("a stream that is read through another node is not abandoned", async () => {
  const nodes = await openNodes(100, { reconnectGraceMs: 200 });
  const reading = await readThroughPeer(nodes);
  await nodes.first.clock.advance(5_000);
  assert.equal(reading.texts, expectTokens(nodes, 0));
  assert.is(reading.outcome, "length");
  dispose(nodes);
});

test("a stream that is read through another node is not blocked as unread", async () => {
  const nodes = await openNodes(100, { maxUnreadTokens: 20 });
  const reading = await readThroughPeer(nodes);
  await nodes.first.clock.advance(5_000);
  assert.equal(reading.texts, expectTokens(nodes, 0));
  assert.is(reading.outcome, "length");
  dispose(nodes);
});

test("a stream whose caller left the other node as well is cancelled", async () => {
  const nodes = await openNodes(100, { reconnectGraceMs: 200 });
  const stream = await open(nodes);
  const abort = new AbortController();
  const found = await findNode(nodes, "n2").router.find(stream.id, testTeam);
  startReading(found.unsafeCoerce(), 0, abort.signal);
  await nodes.first.clock.advance(55);
  abort.abort();
  await nodes.first.clock.advance(600);
  assert.is(nodes.first.router.running, 0);
  assert.is(
    nodes.first.metrics.readCounter("streams_cancelled_total", {
      reason: "abandoned",
    }),
    1,
  );
  dispose(nodes);
});

test("a leaving node lets streams finish that fit its notice", async () => {
  const nodes = await openNodes(30);
  const reading = startReading(await open(nodes));
  nodes.peers.leaving.add("n1");
  const drained = nodes.first.router.drain(5_000);
  const refused = await nodes.first.router.open(
    createRequest(nodes.first.clock),
  );
  assert.is(refused.swap().unsafeCoerce().kind, "draining");
  await nodes.first.clock.advance(2_000);
  await drained;
  assert.equal(reading.texts, expectTokens(nodes, 0, 30));
  assert.is(
    nodes.first.metrics.readCounterTotal("stream_hand_overs_total"),
    0,
  );
  dispose(nodes);
});

/** Drains n1 mid-stream; returns the reader attached to n1 and its abort. */
async function drainFirst(nodes: Nodes, stream: ModelStream) {
  const abort = new AbortController();
  const before = startReading(stream, 0, abort.signal);
  await nodes.first.clock.advance(205);
  nodes.peers.leaving.add("n1");
  const drained = nodes.first.router.drain(400);
  await nodes.first.clock.advance(250);
  await drained;
  return { before, abort };
}

test("streams handed over are found from every node after the first one left", async () => {
  for (const asked of ["n2", "n3", "n4"]) {
    const nodes = await openNodes();
    const stream = await open(nodes);
    const { before, abort } = await drainFirst(nodes, stream);
    await nodes.first.clock.advance(100);
    abort.abort();
    nodes.peers.disconnected.add("n1");
    const found = await findNode(nodes, asked).router.find(
      stream.id,
      testTeam,
    );
    const from = before.texts.length;
    const after = startReading(found.unsafeCoerce(), from);
    await nodes.first.clock.advance(5_000);
    assert.equal([...before.texts, ...after.texts], expectTokens(nodes, 0));
    assert.is(after.outcome, "length");
    dispose(nodes);
  }
});

test("a caller that stays connected to a leaving node sees no interruption", async () => {
  const nodes = await openNodes();
  const { before } = await drainFirst(nodes, await open(nodes));
  const running = [...nodes.first.engines.values()].map((e) => e.running);
  assert.is(running.reduce((sum, count) => sum + count, 0), 1);
  await nodes.first.clock.advance(5_000);
  assert.equal(before.texts, expectTokens(nodes, 0));
  assert.is(before.outcome, "length");
  const taken = [...nodes.setups.values()].map(({ metrics }) =>
    metrics.readCounter("streams_taken_over_total")
  );
  assert.is(taken.reduce((sum, count) => sum + count, 0), 1);
  dispose(nodes);
});

test("a stream is found after its new owner left as well", async () => {
  const nodes = await openNodes();
  const stream = await open(nodes);
  const { before, abort } = await drainFirst(nodes, stream);
  abort.abort();
  nodes.peers.disconnected.add("n1");
  const owner =
    names.find((name) =>
      name !== "n1" && findNode(nodes, name).router.running > 0
    ) ?? "";
  nodes.peers.leaving.add(owner);
  const drained = findNode(nodes, owner).router.drain(100);
  await nodes.first.clock.advance(100);
  await drained;
  nodes.peers.disconnected.add(owner);
  const last = names.find((name) => name !== "n1" && name !== owner) ?? "";
  const found = await findNode(nodes, last).router.find(stream.id, testTeam);
  const after = startReading(found.unsafeCoerce(), before.texts.length);
  await nodes.first.clock.advance(5_000);
  assert.equal([...before.texts, ...after.texts], expectTokens(nodes, 0));
  dispose(nodes);
});

test("a peer that refuses a stream is offered it once", async () => {
  const nodes = await openNodes();
  for (const name of names) {
    if (name !== "n1") void findNode(nodes, name).router.drain(0);
  }
  const { before } = await drainFirst(nodes, await open(nodes));
  await nodes.first.clock.advance(5_000);
  assert.equal(before.texts, expectTokens(nodes, 0));
  const refused = nodes.first.metrics.readCounter("stream_hand_overs_total", {
    result: "refused",
  });
  assert.is(refused, 3);
  dispose(nodes);
});

// The attempt was ended before a peer had taken the stream.
test("a stream that no peer takes over keeps its attempt", async () => {
  const nodes = await openNodes();
  for (const name of names) {
    if (name !== "n1") void findNode(nodes, name).router.drain(0);
  }
  const { before } = await drainFirst(nodes, await open(nodes));
  await nodes.first.clock.advance(5_000);
  assert.equal(before.texts, expectTokens(nodes, 0));
  const engines = [...nodes.first.engines.values()];
  assert.is(engines.flatMap(({ requests }) => requests).length, 1);
  assert.is(engines.flatMap(({ aborted }) => aborted).length, 0);
  dispose(nodes);
});

test("a replica that dies while its stream is offered is replaced once", async () => {
  const nodes = await openNodes();
  for (const name of names) nodes.peers.slow.add(name);
  const reading = startReading(await open(nodes));
  const { clock } = nodes.first;
  await clock.advance(205);
  void nodes.first.router.drain(0);
  await clock.advance(100);
  const engines = [...nodes.first.engines.values()];
  const busy = engines.find(({ running }) => running > 0);
  busy?.kill();
  await clock.advance(5_000);
  assert.equal(reading.texts, expectTokens(nodes, 0));
  assert.is(reading.outcome, "length");
  const others = engines.filter((engine) => engine !== busy);
  assert.is(others.flatMap(({ requests }) => requests).length, 1);
  dispose(nodes);
});

// The new owner did not know the conversation's home and cached prefix.
test("a stream that is handed over keeps its place in its conversation", async () => {
  const searched: (ConversationPrefix | undefined)[] = [];
  const choose = (request: ChoiceRequest): undefined => {
    searched.push(request.conversationPrefix);
    return undefined;
  };
  const second = await openModelSetup({ chooser: { choose } });
  const accept = (stream: StreamHandOver) =>
    second.router.exchange.acceptHandOver(stream)
      .mapLeft(() => TestPeerFailure.create("refused"));
  const peers: StreamPeers = {
    ...TestPeers.create().createChannel("n1"),
    list: () => ["n2"],
    handOver: (_, stream) => Promise.resolve(accept(stream)),
  };
  const first = await openModelSetup({ peers });
  const request = createRequest(first.clock, { conversationStart: 10 });
  startReading((await first.router.open(request)).unsafeCoerce());
  await first.clock.advance(55);
  await first.router.drain(0);
  assert.ok(searched[0] !== undefined);
  first.router.dispose();
  second.router.dispose();
});

test("hand-overs and migrations do not use up the attempts of a stream", async () => {
  const nodes = await openNodes(100, { maxAttempts: 2 });
  const { first: { clock, loads, engines } } = nodes;
  const stream = await open(nodes);
  const findBusy = () => [...engines.values()].find((e) => e.running > 0);
  loads.markLeaving(findBusy()?.name ?? "", 300);
  await clock.advance(300);
  const { before } = await drainFirst(nodes, stream);
  findBusy()?.kill();
  await clock.advance(8_000);
  assert.equal(before.texts, expectTokens(nodes, 0));
  assert.is(before.outcome, "length");
  dispose(nodes);
});

test("a stream whose hand-over answer is lost runs on one node only", async () => {
  const nodes = await openNodes();
  for (const name of names) nodes.peers.losingAnswers.add(name);
  const { before } = await drainFirst(nodes, await open(nodes));
  await nodes.first.clock.advance(100);
  const running = names.filter((name) =>
    findNode(nodes, name).router.running > 0
  );
  assert.equal(running, ["n1"]);
  await nodes.first.clock.advance(5_000);
  assert.equal(before.texts, expectTokens(nodes, 0));
  dispose(nodes);
});

// One request that its owner did not answer had a caller refused as lost.
test("a caller that comes back while the stream's node is silent gets the rest", async () => {
  const nodes = await openNodes();
  const { clock } = nodes.first;
  const stream = await open(nodes);
  const abort = new AbortController();
  const before = startReading(stream, 0, abort.signal);
  await clock.advance(205);
  abort.abort();
  nodes.peers.silent.add("n1");
  const finding = findNode(nodes, "n2").router.find(stream.id, testTeam);
  await clock.advance(500);
  nodes.peers.silent.delete("n1");
  await clock.advance(2_000);
  const found = (await finding).unsafeCoerce();
  const after = startReading(found, before.texts.length);
  await clock.advance(5_000);
  assert.equal([...before.texts, ...after.texts], expectTokens(nodes, 0));
  dispose(nodes);
});

test("a stream of a node that stays silent is refused as lost", async () => {
  const nodes = await openNodes();
  const { clock } = nodes.first;
  const stream = await open(nodes);
  nodes.peers.silent.add("n1");
  const finding = findNode(nodes, "n2").router.find(stream.id, testTeam);
  await clock.advance(5_000);
  assert.is((await finding).swap().unsafeCoerce().kind, "stream_lost");
  dispose(nodes);
});

test("streams of a crashed node are lost, with an unknown run", async () => {
  const nodes = await openNodes();
  const stream = await open(nodes);
  await nodes.first.clock.advance(205);
  const found = await findNode(nodes, "n2").router.find(stream.id, testTeam);
  const reading = startReading(found.unsafeCoerce());
  await nodes.first.clock.advance(1);
  nodes.peers.disconnected.add("n1");
  await nodes.first.clock.advance(10_000);
  assert.is(reading.outcome, "stream_lost/ran");
  const refused = await findNode(nodes, "n3").router.find(stream.id, testTeam);
  const { kind, run } = refused.swap().unsafeCoerce().detail;
  assert.equal([kind, run], ["stream_lost", "unknown"]);
  const bad = await findNode(nodes, "n3").router.find("x", testTeam);
  assert.is(bad.swap().unsafeCoerce().kind, "stream_lost");
  dispose(nodes);
});

test.run();

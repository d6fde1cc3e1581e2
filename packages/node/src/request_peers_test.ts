import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Either, Right } from "purify-ts";
import type { Member, Membership } from "@almondcrank/membership/membership.ts";
import type { PeerClients } from "@almondcrank/membership/peer_clients.ts";
import type { StreamHandOver } from "@almondcrank/routing/streams/stream_peers.ts";
import type { HandOverResult, NodeRouter } from "./peer_router.ts";
import { NodeStreamPeers } from "./request_peers.ts";

const handOver: StreamHandOver = {
  id: "n1~i1~1-a",
  team: "counter",
  service: "assistant",
  adapter: undefined,
  prompt: "one two",
  maxTokens: 8,
  tokens: ["a"],
  remainingMs: 1_000,
  attempts: 1,
  uncountedAttempts: 0,
  recomputedTokens: 0,
};

const member = {
  identity: { node: "n2", incarnation: "i2", peerAddress: "127.0.0.1:1" },
  state: "alive",
} as Member;

/** Creates peers whose only member gives `answer` to every call. */
function createPeers(answer: HandOverResult): NodeStreamPeers {
  const membership = { list: () => [member] } as unknown as Membership;
  const call = (): Promise<Either<never, HandOverResult>> =>
    Promise.resolve(Right(answer));
  const clients = { call } as unknown as PeerClients<NodeRouter>;
  return NodeStreamPeers.create({ membership, clients });
}

async function readFailure(
  peers: NodeStreamPeers,
  node: string,
): Promise<string> {
  const result = await peers.handOver(node, handOver);
  return result.swap().map(({ kind }) => kind).orDefault("taken" as never);
}

test("a peer that takes a stream over is reported as such", async () => {
  const peers = createPeers({ kind: "taken" });
  assert.ok((await peers.handOver("n2", handOver)).isRight());
});

test("a refused hand-over is told from a stream that is not known", async () => {
  const peers = createPeers({ kind: "refused", reason: "draining" });
  assert.is(await readFailure(peers, "n2"), "refused");
});

test("a hand-over to a node that is no member is not sent", async () => {
  const peers = createPeers({ kind: "taken" });
  assert.is(await readFailure(peers, "n3"), "unknown_peer");
});

test.run();

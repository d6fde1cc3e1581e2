import * as assert from "uvu/assert";
import { test } from "uvu";
import { Random } from "@almondcrank/common/random.ts";
import type { Member } from "./membership.ts";
import { PeerSelector } from "./peer_selector.ts";

function createMember(node: string): Member {
  const identity = {
    node,
    incarnation: "1",
    zone: "z",
    region: "r",
    peerAddress: node,
  };
  return { identity, state: "alive", revision: 0 };
}

test("each member is met once in a round", () => {
  const choice = PeerSelector.create(Random.create(1));
  const members = ["a", "b", "c", "d"].map(createMember);
  for (let round = 0; round < 3; round++) {
    const met = members.map(() => choice.choose(members)?.node).sort();
    assert.equal(met, ["a", "b", "c", "d"]);
  }
});

test("a doubtful member is tried at once and then every sixth turn", () => {
  const choice = PeerSelector.create(Random.create(1));
  const input = { doubtful: [createMember("a")], unknownSeeds: [] };
  const tried = Array.from(
    { length: 13 },
    () => choice.chooseReconnect(input) !== undefined,
  );
  const turns = tried.flatMap((isTried, turn) => isTried ? [turn] : []);
  assert.equal(turns, [0, 6, 12]);
});

test("many doubtful members and unknown seeds are tried in turn", () => {
  const choice = PeerSelector.create(Random.create(1));
  const doubtful = ["a", "b"].map(createMember);
  const input = { doubtful, unknownSeeds: ["s"] };
  const tried = Array.from(
    { length: 3 },
    () => choice.chooseReconnect(input)?.address,
  );
  assert.equal(tried.sort(), ["a", "b", "s"]);
});

test.run();

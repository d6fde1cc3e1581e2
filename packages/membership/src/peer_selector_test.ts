/**
 * Order of exchanges and of reconnects.
 */

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

test("each member is chosen once in a round", () => {
  const selector = PeerSelector.create(Random.create(1));
  const members = ["a", "b", "c", "d"].map(createMember);
  for (let round = 0; round < 3; round++) {
    const met = members.map(() => selector.choose(members)?.node).sort();
    assert.equal(met, ["a", "b", "c", "d"]);
  }
});

test("an unresponsive member is tried at once and then every sixth turn", () => {
  const selector = PeerSelector.create(Random.create(1));
  const input = { unresponsive: [createMember("a")], unknownSeeds: [] };
  const tried = Array.from(
    { length: 13 },
    () => selector.chooseReconnect(input) !== undefined,
  );
  const turns = tried.flatMap((isTried, turn) => isTried ? [turn] : []);
  assert.equal(turns, [0, 6, 12]);
});

test("many unresponsive members and unknown seeds are tried in turn", () => {
  const selector = PeerSelector.create(Random.create(1));
  const unresponsive = ["a", "b"].map(createMember);
  const input = { unresponsive, unknownSeeds: ["s"] };
  const tried = Array.from(
    { length: 3 },
    () => selector.chooseReconnect(input)?.address,
  );
  assert.equal(tried.sort(), ["a", "b", "s"]);
});

test.run();

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createReplica } from "../testing/create_replica.ts";
import { chooseCallReplica } from "./call_choice.ts";
import { ReplicaState } from "./replica_state.ts";

function createState(id: string): ReplicaState {
  return ReplicaState.create(id, createReplica({ id, slots: 6 }));
}

function choose(states: readonly ReplicaState[], now: number) {
  const request = {
    zone: "a",
    now,
    excluded: new Set<string>(),
    draw: 0,
    hasIdleConnection: () => false,
  };
  return chooseCallReplica(states, request)?.state.replica.id;
}

test("a slow second is forgotten while a replica gets no streams", () => {
  const state = createState("r1");
  for (let at = 0; at < 20; at += 1) state.recordFirstEvent(330, 100, at);
  assert.ok(state.readSlowness(20) > 3);
  // No stream is sent there, so nothing is observed.
  assert.ok(state.readSlowness(8_000) < 1.5, `${state.readSlowness(8_000)}`);
  assert.ok(state.readSlowness(20_000) < 1.05);
});

test("a fast second is forgotten too", () => {
  const state = createState("r1");
  for (let at = 0; at < 20; at += 1) state.recordFirstEvent(50, 100, at);
  assert.ok(state.readSlowness(20_000) > 0.95);
});

test("a replica that was slow once is tried again", () => {
  const [slow, other] = [createState("slow"), createState("other")];
  for (let at = 0; at < 20; at += 1) {
    slow.recordServiceTime(400, at);
    other.recordServiceTime(40, at);
  }
  assert.is(choose([slow, other], 100), "other");
  let tries = 0;
  for (let now = 100; now < 30_000; now += 100) {
    // Another request runs at the replica that seems faster.
    other.addOwnLoad({ active: 1, pendingTokens: 0, activeTokens: 0 }, now);
    const isTry = choose([slow, other], now) === "slow";
    if (isTry) tries += 1;
    (isTry ? slow : other).recordServiceTime(40, now);
    other.addOwnLoad({ active: -1, pendingTokens: 0, activeTokens: 0 }, now);
  }
  assert.ok(tries > 0, "the slow replica is never tried again");
});

test("a new replica counts as fast as the others", () => {
  const [known, fresh] = [createState("known"), createState("fresh")];
  known.recordServiceTime(2, 0);
  known.addOwnLoad({ active: 1, pendingTokens: 0, activeTokens: 0 }, 0);
  assert.is(choose([known, fresh], 10), "fresh");
});

test.run();

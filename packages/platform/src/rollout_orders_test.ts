/**
 * Entries of operators' orders, also those that can't be carried out.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeRollout } from "./rollout_orders.ts";

function decode(spec: unknown, status?: unknown) {
  const { to, durationMs, state } = decodeRollout({
    key: "rollouts/booking",
    version: 5,
    value: spec,
    status,
  });
  return { to, durationMs, state };
}

const spec = { service: "booking", to: "v2", "duration-s": 12 };
const order = { to: "v2", durationMs: 12_000, state: undefined };

test("an order is decoded with the state that was written for its version", () => {
  assert.equal(decode(spec), order);
  const state = { state: "in_progress", to: "v2" };
  assert.equal(decode(spec, state), { ...order, state: "in_progress" });
});

test("a state of another version, or an unknown one, does not count", () => {
  assert.equal(decode(spec, { state: "completed", to: "v1" }), order);
  assert.equal(decode(spec, { state: "done", to: "v2" }), order);
  assert.equal(decode(spec, "completed"), order);
});

test("what is missing or of another type is left out", () => {
  assert.is(decode({ ...spec, "duration-s": "12" }).durationMs, undefined);
  assert.is(decode({ ...spec, "duration-s": -1 }).durationMs, undefined);
  assert.is(decode({ ...spec, to: 2 }).to, undefined);
  assert.is(decode({ ...spec, to: "" }).to, undefined);
  assert.is(decode({ ...spec, service: "models" }).to, undefined);
  assert.equal(decode("v2"), {
    to: undefined,
    durationMs: undefined,
    state: undefined,
  });
});

test.run();

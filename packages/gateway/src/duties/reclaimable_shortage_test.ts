import { test } from "uvu";
import * as assert from "uvu/assert";
import { ReclaimableShortage } from "./reclaimable_shortage.ts";

const order = { service: "models", count: 7, ready: 3 };

test("a shortage lasts until an order for more is accepted", () => {
  const shortage = ReclaimableShortage.create();
  shortage.record({ ...order, outcome: "none_available" }, 0);
  assert.is(shortage.isShort("models"), true);
  assert.is(shortage.isShort("other"), false);
  shortage.record({ ...order, outcome: "unknown" }, 100);
  assert.is(shortage.isShort("models"), true);
  shortage.record({ ...order, outcome: "accepted" }, 200);
  assert.is(shortage.isShort("models"), false);
});

test("an order for no more than serve does not end a shortage", () => {
  const shortage = ReclaimableShortage.create();
  shortage.record({ ...order, outcome: "none_available" }, 0);
  shortage.record({ ...order, count: 3, outcome: "accepted" }, 100);
  shortage.record({ ...order, count: 0, ready: 0, outcome: "accepted" }, 100);
  assert.is(shortage.isShort("models"), true);
});

test("in a shortage the zones ask in turn", () => {
  const shortage = ReclaimableShortage.create();
  assert.is(shortage.takeProbe("models", 0), true);
  shortage.record({ ...order, outcome: "none_available" }, 0);
  assert.is(shortage.takeProbe("models", 500), false);
  assert.is(shortage.takeProbe("models", 600), true);
  assert.is(shortage.takeProbe("models", 700), false);
});

test.run();

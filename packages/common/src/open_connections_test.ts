/**
 * Which connection makes room: callers that hold connections for nothing, beside those
 * whose requests run.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ConnectionUse, OpenConnections } from "./open_connections.ts";

/** Opens connections of some uses, in order; the limit is their number. */
function openAll(uses: readonly ConnectionUse[]): OpenConnections<number> {
  const open = OpenConnections.create<number>(
    uses.length,
    (at) => uses[at] ?? "stranger",
  );
  for (const at of uses.keys()) open.use(at);
  return open;
}

test("while there is room, none is displaced", () => {
  const open = OpenConnections.create<number>(2, () => "stranger");
  open.use(0);
  open.use(1);
  assert.is(open.chooseDisplaced(1), undefined);
});

// Guards against strangers that hold all connections.
test("the stranger that was used longest ago goes first", () => {
  const open = openAll(["idle", "running", "stranger", "stranger"]);
  open.use(2);
  open.use(9);
  assert.is(open.chooseDisplaced(9), 3);
});

test("then an idle one goes, then one whose request has not arrived", () => {
  const idle = openAll(["arriving", "running", "idle", "idle"]);
  idle.use(9);
  assert.is(idle.chooseDisplaced(9), 2);
  const arriving = openAll(["running", "arriving", "arriving"]);
  arriving.use(9);
  assert.is(arriving.chooseDisplaced(9), 1);
});

// Guards against a request in work that is cut for a new connection.
test("beside requests that run the new one goes", () => {
  const open = openAll(["running", "running"]);
  open.use(9);
  assert.is(open.chooseDisplaced(9), 9);
  open.remove(0);
  assert.is(open.chooseDisplaced(9), undefined);
});

test.run();

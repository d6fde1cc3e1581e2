import { test } from "uvu";
import * as assert from "uvu/assert";
import { StreamOrigins } from "./stream_origins.ts";

const first = { service: "models", version: "v1" };
const second = { service: "models", version: "v2" };

test("peers are told of running streams only once a second version appears", () => {
  const origins = StreamOrigins.create();
  origins.begin("running", first, 0);
  origins.begin("whole", first, 0);
  origins.complete("whole");
  assert.is(origins.takeDue(() => false).size, 0);
  assert.equal([...origins.takeDue(() => true)], [["running", first]]);
  assert.is(origins.takeDue(() => true).size, 0);
});

test("a stream of one service is not told because another has two versions", () => {
  const origins = StreamOrigins.create();
  origins.begin("a", first, 0);
  origins.begin("b", { service: "other", version: "v1" }, 0);
  const due = origins.takeDue((service) => service === "other");
  assert.equal([...due.keys()], ["b"]);
});

test("what a peer told is known and not told again", () => {
  const origins = StreamOrigins.create();
  origins.learn("told", second, 0);
  assert.equal(origins.find("told", 1_000), second);
  assert.is(origins.takeDue(() => true).size, 0);
});

test("a burst of streams drops the oldest, and old ones expire", () => {
  const origins = StreamOrigins.create();
  for (let at = 0; at < 50_000; at += 1) origins.begin(`s${at}`, first, at);
  assert.ok(origins.size <= 20_000, `${origins.size}`);
  assert.is(origins.find("s0", 50_000), undefined);
  assert.equal(origins.find("s49999", 50_000), first);
  assert.ok(origins.takeDue(() => true).size <= 20_000);
  const later = 50_000 + 3_600_000;
  assert.is(origins.find("s49999", later), undefined);
  origins.learn("new", first, later);
  assert.is(origins.size, 1);
});

test.run();

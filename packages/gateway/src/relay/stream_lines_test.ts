import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { type LineEnd, type LineStream, StreamLines } from "./stream_lines.ts";

const service = "model";

/** Replicas with a number of places, which streams take when they start. */
interface Places {
  free: number;
  placeInMs: number;
  isEmpty: boolean;
}

function createRig() {
  const clock = ManualClock.create();
  const metrics = Metrics.create();
  const lines = StreamLines.create({ clock, metrics });
  const places: Places = { free: 0, placeInMs: 50, isEmpty: false };
  const started: string[] = [];
  const ends = new Map<string, LineEnd<string>>();
  const enter = (
    name: string,
    rest: Partial<LineStream<string, string>> = {},
  ): AbortController => {
    const aborter = new AbortController();
    const now = clock.now();
    void lines.enter<string, string>(service, {
      tenantPriority: 1,
      routePriority: 1,
      tenant: "t",
      isReturning: false,
      tokens: 1_000,
      enteredAt: now,
      latestStartAt: now + 400,
      key: name,
      deadline: now + 3_000,
      callerSignal: aborter.signal,
      check: () => {
        if (places.isEmpty) return { kind: "none" };
        if (places.free > 0) {
          return { kind: "free", place: "place", replica: "r" };
        }
        return { kind: "taken", placeInMs: places.placeInMs, replica: "r" };
      },
      start: () => {
        places.free -= 1;
        started.push(name);
        return name;
      },
      ...rest,
    }).then((end) => ends.set(name, end));
    return aborter;
  };
  return { clock, metrics, lines, places, started, ends, enter };
}

/** Lets what was resolved run, without time passing. */
async function settle(clock: ManualClock): Promise<void> {
  await clock.advance(0);
}

test("with room a stream starts at once and nothing waits", async () => {
  const rig = createRig();
  rig.places.free = 2;
  rig.enter("a");
  rig.enter("b");
  await settle(rig.clock);
  assert.equal(rig.started, ["a", "b"]);
  assert.is(rig.lines.countWaiting(service), 0);
  assert.is(rig.ends.get("a")?.kind, "started");
});

test("a stream waits for a place and starts soon after it is free", async () => {
  const rig = createRig();
  rig.enter("a");
  await rig.clock.advance(100);
  assert.is(rig.ends.size, 0);
  rig.places.free = 1;
  await rig.clock.advance(40);
  const end = rig.ends.get("a");
  assert.is(end?.kind, "started");
  assert.ok(end?.kind === "started" && end.waitedMs <= 160);
});

test("two never take one place, and the more urgent takes it", async () => {
  const rig = createRig();
  rig.enter("later", { routePriority: 2 });
  rig.enter("first", { routePriority: 0 });
  rig.places.free = 1;
  await rig.clock.advance(40);
  assert.equal(rig.started, ["first"]);
  rig.places.free = 1;
  await rig.clock.advance(40);
  assert.equal(rig.started, ["first", "later"]);
});

test("a newcomer does not pass a more urgent one that waits", async () => {
  const rig = createRig();
  rig.enter("urgent", { routePriority: 0 });
  await rig.clock.advance(50);
  rig.places.free = 1;
  rig.enter("newcomer", { routePriority: 2 });
  await rig.clock.advance(40);
  assert.equal(rig.started, ["urgent"]);
});

test("one that can't start in time is refused at once, with a time", async () => {
  const rig = createRig();
  rig.places.placeInMs = 500;
  rig.enter("a");
  await settle(rig.clock);
  const end = rig.ends.get("a");
  if (end?.kind !== "refused") throw new Error("not refused");
  assert.is(end.reason, "no_place_in_time");
  assert.ok(end.retryAfterMs >= 150 && end.retryAfterMs <= 1_000);
});

test("a displaced stream hears at once", async () => {
  const rig = createRig();
  rig.enter("waits", { latestStartAt: 60 });
  rig.enter("urgent", { routePriority: 0 });
  await settle(rig.clock);
  const end = rig.ends.get("waits");
  assert.is(end?.kind === "refused" ? end.reason : "", "displaced");
});

test("a stream whose caller leaves is not started", async () => {
  const rig = createRig();
  const caller = rig.enter("a");
  await rig.clock.advance(20);
  caller.abort();
  rig.places.free = 1;
  await rig.clock.advance(500);
  assert.equal(rig.started, []);
  assert.is(rig.ends.get("a")?.kind, "gone");
});

test("what waited when the process froze is refused, never sent late", async () => {
  const rig = createRig();
  rig.enter("a");
  await rig.clock.advance(20);
  // A frozen process sees time jump: the timers of the past run late.
  const asleep = rig.clock.now() + 5_000;
  rig.clock.now = () => asleep;
  rig.places.free = 1;
  await rig.clock.advance(40);
  assert.equal(rig.started, []);
  assert.is(rig.ends.get("a")?.kind, "refused");
});

test("every waiting stream has an answer by its time, also while a node drains", async () => {
  const rig = createRig();
  for (let at = 0; at < 40; at += 1) {
    rig.enter(`${at}`, { routePriority: at % 3, tenant: `t${at % 5}` });
  }
  await rig.clock.advance(450);
  assert.is(rig.ends.size, 40);
  assert.is(rig.lines.countWaiting(service), 0);
  assert.is(rig.metrics.readCounterTotal("line_ends_total"), 40);
});

test("waiting streams hear when no replica is left", async () => {
  const rig = createRig();
  rig.enter("a");
  await rig.clock.advance(20);
  rig.places.isEmpty = true;
  await rig.clock.advance(40);
  assert.is(rig.ends.get("a")?.kind, "none");
});

test("who returns at its time goes before newcomers", async () => {
  const rig = createRig();
  rig.places.placeInMs = 500;
  rig.enter("back");
  await settle(rig.clock);
  const end = rig.ends.get("back");
  if (end?.kind !== "refused") throw new Error("not refused");
  await rig.clock.advance(end.retryAfterMs);
  rig.places.placeInMs = 50;
  rig.enter("new");
  const isReturning = rig.lines.takeReturn(service, "back");
  assert.is(isReturning, true);
  rig.enter("back", { isReturning });
  rig.places.free = 1;
  await rig.clock.advance(40);
  assert.equal(rig.started, ["back"]);
});

test.run();

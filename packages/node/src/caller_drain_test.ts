import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLog, type Log } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { drainCallers } from "./caller_drain.ts";
import { RequestCounter } from "./request_counter.ts";

const drainMs = 1_000;

/** Drains with a request of `runMs` whose answer is read after another `readMs`. */
async function runDrain(runMs: number, readMs: number) {
  const clock = ManualClock.create();
  const requests = RequestCounter.create(clock);
  const lines: string[] = [];
  const log: Log = {
    ...createSilentLog(),
    warn: (sentence) => void lines.push(sentence),
  };
  void requests.run(() => clock.sleep(runMs));
  const close = () => clock.sleep(readMs);
  let endedAt: number | undefined;
  void drainCallers({ clock, log, requests, drainMs, close }).then(() => {
    endedAt = clock.now();
  });
  await clock.advance(10 * drainMs);
  return { endedAt, lines };
}

test("a drain ends once the answers are read", async () => {
  assert.equal(await runDrain(400, 100), { endedAt: 500, lines: [] });
});

test("unread answers hold a drain no longer than its limit, and are logged", async () => {
  const { endedAt, lines } = await runDrain(800, Infinity);
  assert.is(endedAt, drainMs);
  assert.equal(lines, ["drain timed out with unread answers."]);
});

test("requests that go on use up the limit", async () => {
  const { endedAt, lines } = await runDrain(5_000, Infinity);
  assert.is(endedAt, drainMs);
  assert.equal(lines, ["drain timed out with requests in progress."]);
});

test.run();

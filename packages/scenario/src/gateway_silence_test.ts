/**
 * Streams whose replica falls silent for about a second and then goes on, over
 * real sockets and against stand-ins of the platform. Such a replica is sound, so
 * the caller must get the whole stream, whether or not another one can take over.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  countRuns,
  formatEvents,
  runWithSetup,
} from "./testing/gateway_helpers.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";

const silence = { kind: "fall_silent", events: 2, ms: 1_300 } as const;

/** Calls a stream that began at `model-1`; others end before it is sent. */
async function callSilentStream(
  setup: GatewaySetup,
  whenSilent: () => void,
): Promise<void> {
  const [first, second] = [
    setup.findReplica("model-1"),
    setup.findReplica("model-2"),
  ];
  for (let at = 0; at < 40; at += 1) {
    const id = `silent-${at}`;
    first.queuedFaults.push(silence);
    const calling = setup.call({ path: "/answer/stream", id });
    await setup.waitUntil(() => countRuns(setup, id) === 1);
    if (second.runs.some((run) => run.id === id)) {
      first.queuedFaults.length = 0;
      await calling;
      continue;
    }
    whenSilent();
    const answer = await calling;
    assert.is(answer.body, formatEvents(1, 5));
    assert.is(answer.isComplete, true);
    return;
  }
  assert.unreachable("no stream began at the first replica");
}

test("a stream whose replica falls silent is not cut when the others are full", async () => {
  await runWithSetup(1, async (setup) => {
    await callSilentStream(setup, () => {
      setup.findReplica("model-2").fault = { kind: "decline" };
    });
  });
});

test("a stream whose replica falls silent is not cut when the others fall silent too", async () => {
  await runWithSetup(1, async (setup) => {
    await callSilentStream(setup, () => {
      setup.findReplica("model-2").fault = { ...silence, events: 0 };
    });
  });
});

test("a stream whose replica falls silent is not cut when no retry is left in the budget", async () => {
  await runWithSetup(1, async (setup) => {
    const second = setup.findReplica("model-2");
    const first = setup.findReplica("model-1");
    first.fault = { kind: "break", events: 2 };
    second.fault = { kind: "break", events: 2 };
    for (let round = 0; round < 6; round += 1) {
      await Promise.all(
        Array.from(
          { length: 20 },
          () => setup.call({ path: "/answer/stream" }),
        ),
      );
    }
    first.fault = { kind: "none" };
    second.fault = { kind: "none" };
    await callSilentStream(setup, () => {});
  });
});

test("a stream goes on elsewhere when its replica stays silent", async () => {
  await runWithSetup(1, async (setup) => {
    const first = setup.findReplica("model-1");
    first.fault = { ...silence, ms: 60_000 };
    for (let at = 0; at < 8; at += 1) {
      const answer = await setup.call({
        path: "/answer/stream",
        id: `stays-${at}`,
        deadlineMs: 2_500,
      });
      assert.is(answer.body, formatEvents(1, 5));
      assert.is(answer.isComplete, true);
    }
  });
});

test.run();

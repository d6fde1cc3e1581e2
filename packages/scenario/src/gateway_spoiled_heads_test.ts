/**
 * Answers with a spoiled head that the parser of Node.js takes and its writer does
 * not: such an answer is none, and only the request that it came to is concerned.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ReplicaFault } from "@almondcrank/standin/platform/replica_fault.ts";
import {
  countRuns,
  formatEvents,
  runWithSetup,
} from "./testing/gateway_helpers.ts";

const spoiledHeads: readonly ReplicaFault[] = [
  { kind: "spoil_head", line: "X-Weight Versions: 1" },
  { kind: "spoil_head", statusLine: "HTTP/1.1 099 Odd" },
  { kind: "spoil_head", statusLine: "HTTP/1.1 000 Odd" },
  { kind: "spoil_head", statusLine: "HTTP/1.1 600 Odd" },
  { kind: "spoil_head", statusLine: "HTTP/1.1 999 Odd" },
  { kind: "spoil_head", statusLine: "HTTP/1.1 101 Odd" },
  {
    kind: "spoil_head",
    statusLine: "HTTP/1.1 101 Switching Protocols",
    line: "Connection: Upgrade\r\nUpgrade: x",
  },
];

for (const fault of spoiledHeads) {
  const name = JSON.stringify(fault);

  // Guards against the end of a node, with all its requests, by one such answer.
  test(`a stream goes on elsewhere, and the node lives on (${name})`, async () => {
    await runWithSetup(1, async (setup) => {
      const models = ["model-1", "model-2"].map((id) => setup.findReplica(id));
      let isFirst = true;
      for (const replica of models) {
        replica.chooseFault = () => {
          const chosen = isFirst ? fault : { kind: "none" as const };
          isFirst = false;
          return chosen;
        };
      }
      const booking = setup.call({ path: "/book/x" });
      const stream = await setup.call({ path: "/answer/stream" });
      assert.is(stream.status, 200);
      assert.ok(stream.isComplete);
      assert.is(stream.body, formatEvents(1, 5));
      assert.is((await booking).status, 200);
    });
  });

  test(`a safe call is answered by another replica (${name})`, async () => {
    await runWithSetup(1, async (setup) => {
      setup.findReplica("booking-1").fault = fault;
      for (let at = 0; at < 6; at += 1) {
        const id = `safe-${at}`;
        const answer = await setup.call({ path: "/lookup/x", id });
        assert.is(answer.status, 200);
        assert.is(answer.body, `answer to ${id}`);
      }
    });
  });

  test(`a call that may run once ends as lost, and runs once (${name})`, async () => {
    await runWithSetup(1, async (setup) => {
      for (const id of ["booking-1", "booking-2"]) {
        setup.findReplica(id).fault = fault;
      }
      const answer = await setup.call({ path: "/book/x", id: "once" });
      assert.is(answer.status, 502);
      assert.ok(answer.totalMs < 1_000, `answered after ${answer.totalMs} ms`);
      assert.match(answer.body, "answer_lost");
      assert.is(countRuns(setup, "once"), 1);
    });
  });
}

// Guards against callers that wait for a body that an answer cannot have.
test("an answer without content announces no length", async () => {
  await runWithSetup(1, async (setup) => {
    for (const id of ["booking-1", "booking-2"]) {
      setup.findReplica(id).fault = {
        kind: "spoil_head",
        statusLine: "HTTP/1.1 204 No Content",
      };
    }
    const answer = await setup.call({ path: "/book/x" });
    assert.is(answer.status, 204);
    assert.is(answer.headers["content-length"], undefined);
  });
});

test.run();

/**
 * A stream that has begun breaks off, and the next replica answers with an error:
 * the caller must not find the error in its stream, nor take the stream for whole. (A
 * whole answer without events is none: nothing may have been left to send.)
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ReplicaFault } from "@almondcrank/standin/platform/replica_fault.ts";
import { formatEvents, runWithSetup } from "./testing/gateway_helpers.ts";

const errors: readonly ReplicaFault[] = [
  { kind: "fail" },
  { kind: "unsigned" },
  { kind: "decline" },
  { kind: "foreign" },
  { kind: "lose_answer" },
  { kind: "endless_body" },
];

for (const error of errors) {
  test(`a begun stream whose next replica answers with an error ends as broken (${error.kind})`, async () => {
    await runWithSetup(1, async (setup) => {
      const models = ["model-1", "model-2"].map((id) => setup.findReplica(id));
      for (const replica of models) replica.fault = error;
      let isFirst = true;
      for (const replica of models) {
        replica.chooseFault = () => {
          if (!isFirst) return error;
          isFirst = false;
          return { kind: "break", events: 2 };
        };
      }
      const answer = await setup.call({ path: "/answer/stream" });
      assert.is(answer.isComplete, false);
      assert.ok(answer.body.startsWith(formatEvents(1, 2)), answer.body);
      const rest = answer.body.slice(formatEvents(1, 2).length);
      assert.is(rest.includes("HTTP/1.1"), false, rest);
      assert.is(rest.includes("{"), false, rest);
      assert.is(rest.includes("\n\n"), false, rest);
    });
  });
}

test.run();

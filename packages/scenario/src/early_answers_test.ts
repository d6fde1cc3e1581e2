/**
 * Answers that come while the request is still sent, and then break off: nobody gets
 * the part as a whole answer. Routes with calls and streams, hand-overs between nodes,
 * and the endpoints of the program's own interface.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { HttpPlainEndpoint } from "@almondcrank/endpoint/http_plain_endpoint.ts";
import { signatureHeader } from "@almondcrank/platform/headers.ts";
import { EarlyAnswerServer } from "@almondcrank/standin/early_answer.ts";
import { runWithSetup } from "./testing/gateway_helpers.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";

const clock = SystemClock.create();
const signed = `${signatureHeader}: s\r\n`;
const sizes = [10, 60_000, 2_000_000];
const delays = [0, 5, 60];
const part = "id: 1\ndata: a\n\n";

/** Replaces the replicas of a service by one at an address. */
async function replaceReplicas(
  setup: GatewaySetup,
  service: string,
  address: string,
): Promise<void> {
  for (const id of ["model-1", "model-2", "booking-1", "booking-2"]) {
    setup.store.remove(replicasKind, id);
  }
  setup.store.put(
    replicasKind,
    "early-1",
    composeReplicaEntry({ service, address }),
  );
  await new Promise((resolve) => setTimeout(resolve, 400));
}

const paths = [
  { path: "/book/x", service: "booking" },
  { path: "/lookup/x", service: "booking" },
  { path: "/answer/stream", service: "models" },
  { path: "/once/stream", service: "models" },
];

for (const resetAfterMs of delays) {
  for (const { path, service } of paths) {
    test(`${path}: an early answer that is reset after ${resetAfterMs} ms is not whole`, async () => {
      const server = await EarlyAnswerServer.open({
        headers: signed,
        part,
        resetAfterMs,
      });
      await runWithSetup(1, async (setup) => {
        setup.configure({ maxBodyBytes: 4_194_304 });
        await replaceReplicas(setup, service, server.address);
        for (const bytes of sizes) {
          const body = "a".repeat(bytes);
          const answer = await setup.call({ path, body, deadlineMs: 1_500 });
          assert.is.not(answer.status, 413);
          // A stream that may be resumed goes on at another replica.
          const isPart = answer.status === 200 && answer.isComplete &&
            answer.body === part;
          assert.not(isPart, `${bytes} bytes`);
        }
      });
      server.close();
    });
  }

  test(`own interface: an early answer that is reset after ${resetAfterMs} ms is not whole`, async () => {
    const server = await EarlyAnswerServer.open({ part, resetAfterMs });
    const { address } = server;
    const endpoint = HttpPlainEndpoint.create({ name: "b", address, clock });
    for (const bytes of sizes) {
      const answer = await endpoint.call({
        method: "POST",
        path: "/book",
        contentType: undefined,
        body: new Uint8Array(bytes),
        idempotencyKey: undefined,
        priority: 2,
        remainingMs: 1_500,
      }, new AbortController().signal);
      assert.ok(answer.isLeft(), `${bytes} bytes`);
    }
    endpoint.dispose();
    server.close();
  });
}

test.run();

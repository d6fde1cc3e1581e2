/**
 * Answers of replicas that go on without end, over real sockets: a node closes
 * such a connection once a limit is passed, so that neither its memory grows nor
 * its caller waits for the deadline.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayStatus } from "@almondcrank/model/gateway_status.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";
import {
  countRuns,
  formatEvents,
  runWithSetup,
} from "./testing/gateway_helpers.ts";
import {
  type EndlessPart,
  EndlessServer,
} from "@almondcrank/standin/platform/endless_server.ts";

/** Deadline of the calls; an answer must come long before. */
const deadlineMs = 10_000;
/** Time in which a caller must have its answer. */
const answerMs = 5_000;
/** Streams sent together, so that each replica gets some. */
const streamsAtOnce = 6;
/** Calls sent together: as many as whose limits exceed the node's memory. */
const callsAtOnce = 60;
/** Growth of memory that the limits of all answers at once allow, in bytes. */
const allowedGrowthBytes = 128 * 1_048_576;
const servicesById = {
  "model-1": "models",
  "model-2": "models",
  "booking-1": "booking",
  "booking-2": "booking",
};
const parts: readonly EndlessPart[] = [
  "head",
  "interim",
  "body",
  "chunks",
  "chunk_extension",
  "trailers",
  "error_body",
  "declined_body",
];

/** Runs a test in which the replicas `ids` send answers without end. */
async function runWithEndless(
  part: EndlessPart,
  ids: readonly (keyof typeof servicesById)[],
  run: (setup: GatewaySetup, server: EndlessServer) => Promise<void>,
): Promise<void> {
  const server = await EndlessServer.open(part);
  try {
    await runWithSetup(1, async (setup) => {
      setup.configure({ timeoutMs: deadlineMs });
      for (const id of ids) {
        setup.store.remove(replicasKind, id);
        setup.store.put(
          replicasKind,
          `endless-${id}`,
          composeReplicaEntry({
            service: servicesById[id],
            address: server.address,
          }),
        );
      }
      // Removed replicas serve for the drain time but get no new requests.
      await new Promise((resolve) => setTimeout(resolve, 500));
      await run(setup, server);
    });
  } finally {
    server.close();
  }
}

/** Runs `run` and checks that memory outside the heap and in it is bounded. */
async function checkMemory(run: () => Promise<void>): Promise<void> {
  const before = process.memoryUsage();
  let largest = 0;
  const timer = setInterval(() => {
    const { heapUsed, external } = process.memoryUsage();
    const growth = heapUsed + external - before.heapUsed - before.external;
    largest = Math.max(largest, growth);
  }, 10);
  try {
    await run();
  } finally {
    clearInterval(timer);
  }
  assert.ok(largest < allowedGrowthBytes, `memory grew by ${largest} bytes`);
}

/** Counts the replicas of which the node has recorded a failure. */
async function countFailing(setup: GatewaySetup): Promise<number> {
  const response = await fetch(`http://${setup.findControlAddress(0)}/status`);
  const { replicas } = await response.json() as GatewayStatus;
  return replicas.filter(({ failureRate }) => failureRate > 0).length;
}

for (const part of parts) {
  test(`a stream whose answer has an endless ${part} goes on at another replica`, async () => {
    await runWithEndless(part, ["model-1"], async (setup, server) => {
      await checkMemory(async () => {
        const ids = Array.from(
          { length: streamsAtOnce },
          (_, at) => `stream-${part}-${at}`,
        );
        const path = "/answer/stream";
        const answers = await Promise.all(
          ids.map((id) => setup.call({ path, id, deadlineMs })),
        );
        for (const [at, answer] of answers.entries()) {
          assert.is(answer.isComplete, true);
          assert.is(answer.body, formatEvents(1, 5));
          assert.is(countRuns(setup, ids[at] ?? ""), 1);
          assert.ok(answer.totalMs < answerMs, `took ${answer.totalMs} ms`);
        }
        assert.ok(server.answers > 0);
        await setup.waitUntil(() => server.openConnections === 0);
      });
    });
  });

  test(`a safe call whose answer has an endless ${part} is answered by another replica`, async () => {
    await runWithEndless(part, ["booking-1"], async (setup, server) => {
      await checkMemory(async () => {
        for (let at = 0; at < 20 && server.answers === 0; at += 1) {
          const id = `safe-${part}-${at}`;
          const answer = await setup.call({
            path: "/lookup/x",
            id,
            deadlineMs,
          });
          assert.is(answer.status, 200);
          assert.is(answer.body, `answer to ${id}`);
          assert.ok(answer.totalMs < answerMs, `took ${answer.totalMs} ms`);
        }
        assert.ok(server.answers > 0);
        await setup.waitUntil(() => server.openConnections === 0);
      });
    });
  });

  test(`calls that may run once end when their answers have an endless ${part}`, async () => {
    const ids = [
      "model-1",
      "model-2",
      "booking-1",
      "booking-2",
    ] as const;
    await runWithEndless(part, ids, async (setup, server) => {
      await checkMemory(async () => {
        const answers = await Promise.all([
          setup.call({ path: "/book/", deadlineMs }),
          setup.call({ path: "/once/stream", deadlineMs }),
        ]);
        const status = part === "declined_body" ? 503 : 502;
        for (const answer of answers) {
          const isCut = !answer.isComplete;
          assert.ok(isCut || answer.status === status, `${answer.status}`);
          assert.ok(answer.totalMs < answerMs, `took ${answer.totalMs} ms`);
        }
        await setup.waitUntil(() => server.openConnections === 0);
        if (part === "declined_body") return;
        assert.is(server.answers, 2);
        assert.is(await countFailing(setup), 2);
      });
    });
  });
}

// Guards against many faulty answers that fill the memory together.
test("many answers without end at once hold no more than some", async () => {
  const ids = ["booking-1", "booking-2"] as const;
  await runWithEndless("body", ids, async (setup, server) => {
    await checkMemory(async () => {
      const answers = await Promise.all(
        Array.from(
          { length: callsAtOnce },
          () => setup.call({ path: "/book/", deadlineMs }),
        ),
      );
      for (const { status, isComplete } of answers) {
        assert.ok(!isComplete || status === 502, `${status}`);
      }
      await setup.waitUntil(() => server.openConnections === 0);
    });
  });
});

test.run();

/**
 * Detection of silent replicas, with real timers and a real connection: it depends
 * on what the event loop does first after a pause.
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { ReplicaState } from "../choice/replica_state.ts";
import { createReplica } from "../testing/create_replica.ts";
import { StallDetector } from "./stall_detector.ts";

const timeoutMs = 60;

/** Keeps the event loop from running. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** Opens a connection, and returns its two ends. */
async function openConnection(): Promise<readonly [Socket, Socket]> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const near = connect(port, "127.0.0.1");
  const [far] = await once(server, "connection") as [Socket];
  server.close();
  return [near, far];
}

test("events that arrived while the node itself stood still count as in time", async () => {
  const [near, far] = await openConnection();
  let stalls = 0;
  const detector = StallDetector.create({
    clock: SystemClock.create(),
    state: ReplicaState.create("r1", createReplica({ id: "r1" })),
    firstEventTimeoutMs: timeoutMs,
    nextEventTimeoutMs: timeoutMs,
    onStalled: () => stalls += 1,
  });
  near.on("data", () => detector.recordEvents());
  far.write("event");
  block(2 * timeoutMs);
  await once(near, "data");
  detector.dispose();
  near.destroy();
  far.destroy();
  assert.is(stalls, 0);
});

test("a replica that sends nothing is reported, once each timeout", async () => {
  let stalls = 0;
  const detector = StallDetector.create({
    clock: SystemClock.create(),
    state: ReplicaState.create("r1", createReplica({ id: "r1" })),
    firstEventTimeoutMs: timeoutMs,
    nextEventTimeoutMs: timeoutMs,
    onStalled: () => stalls += 1,
  });
  await new Promise((resolve) => setTimeout(resolve, 2.5 * timeoutMs));
  detector.dispose();
  assert.ok(stalls >= 1 && stalls <= 2, `${stalls}`);
  const before = stalls;
  await new Promise((resolve) => setTimeout(resolve, 1.5 * timeoutMs));
  assert.is(stalls, before);
});

test("the last event of a stream does not show that its replica sends to others", async () => {
  const clock = SystemClock.create();
  let stalls = 0;
  const detector = StallDetector.create({
    // Timers may fire a little before the time is over by this clock.
    clock: {
      now: () => clock.now() * 0.98,
      wallTime: () => clock.wallTime(),
      sleep: (ms) => clock.sleep(ms),
    },
    state: ReplicaState.create("r1", createReplica({ id: "r1" })),
    firstEventTimeoutMs: timeoutMs,
    nextEventTimeoutMs: timeoutMs,
    onStalled: () => stalls += 1,
  });
  detector.recordEvents();
  await new Promise((resolve) => setTimeout(resolve, 2 * timeoutMs));
  detector.dispose();
  assert.is(stalls, 1);
});

test.run();

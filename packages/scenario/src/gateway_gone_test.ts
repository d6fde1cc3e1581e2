/**
 * Requests of callers that leave while their node stands still, as a node does that
 * has just started on a small part of a core. The callers run in a thread of their
 * own, so they go on while the node's loop is blocked.
 */

import { Worker } from "node:worker_threads";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import { countRuns, runWithSetup } from "./testing/gateway_helpers.ts";

/** Callers of each kind of request. */
const callersPerKind = 12;
const requestLines = [
  "GET /lookup/x HTTP/1.1",
  "POST /book/x HTTP/1.1",
  "POST /answer/x HTTP/1.1",
  "POST /once/x HTTP/1.1",
] as const;

/** Messages of the callers' thread. */
type CallersMessage = "connected";

/**
 * Opens a connection for each text, writes the texts when told to, and leaves a
 * moment later: every other caller closes its connection, the rest reset it.
 */
const callersScript = `
const { connect } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const { address, texts, gate } = workerData;
const [host, port] = address.split(":");
const flag = new Int32Array(gate);
const sockets = texts.map(() => connect(Number(port), host));
let connected = 0;
for (const socket of sockets) {
  socket.on("error", () => {});
  socket.once("connect", () => {
    connected += 1;
    if (connected === sockets.length) parentPort.postMessage("connected");
  });
}
parentPort.once("message", () => {
  Atomics.wait(flag, 0, 0);
  sockets.forEach((socket, at) => socket.write(texts[at]));
  setTimeout(() => {
    sockets.forEach((socket, at) => {
      if (at % 2 === 0) socket.destroy();
      else socket.resetAndDestroy();
    });
    setTimeout(() => {
      Atomics.store(flag, 0, 2);
      Atomics.notify(flag, 0);
    }, 50);
  }, 50);
});
`;

test("requests whose callers left while the node stood still reach no replica", async () => {
  await runWithSetup(1, async (setup) => {
    const ids = requestLines.flatMap((_, kind) =>
      Array.from({ length: callersPerKind }, (_, at) => `gone-${kind}-${at}`)
    );
    const texts = ids.map((id, at) =>
      formatRequest(
        requestLines[Math.floor(at / callersPerKind)] ?? requestLines[0],
        id,
      )
    );
    const gate = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const worker = new Worker(callersScript, {
      eval: true,
      workerData: { address: setup.findCallersAddress(0), texts, gate },
    });
    try {
      await waitForMessage(worker, "connected");
      worker.postMessage("go");
      standStill(new Int32Array(gate));
      // Idle connections to the replicas are open, so sends would leave at once.
      const answer = await setup.call({ path: "/lookup/after" });
      assert.is(answer.status, 200);
      await new Promise((resolve) => setTimeout(resolve, 300));
      const ran = ids.filter((id) => countRuns(setup, id) > 0);
      assert.equal(ran, []);
    } finally {
      await worker.terminate();
    }
  });
});

/** Blocks this thread from before the callers write until they have left. */
function standStill(flag: Int32Array): void {
  Atomics.store(flag, 0, 1);
  Atomics.notify(flag, 0);
  Atomics.wait(flag, 0, 1);
}

function formatRequest(line: string, id: string): string {
  return [
    line,
    `Host: ${exampleHostname}`,
    `Authorization: Bearer ${tenantKey}`,
    `X-Request-Id: ${id}`,
    "X-Deadline-Ms: 3000",
    "X-Token-Count: 40,10",
    "Content-Length: 0",
    "\r\n",
  ].join("\r\n");
}

function waitForMessage(
  worker: Worker,
  expected: CallersMessage,
): Promise<void> {
  return new Promise((resolve, reject) => {
    worker.once("error", reject);
    worker.on("message", (message: CallersMessage) => {
      if (message === expected) resolve();
    });
  });
}

test.run();

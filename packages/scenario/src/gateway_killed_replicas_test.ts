/**
 * Streams without a length while the processes of their replicas are killed. The
 * kernel ends their connections without an error.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewaySetup } from "./testing/gateway_setup.ts";
import { formatEvents, runWithSetup } from "./testing/gateway_helpers.ts";

const program = fileURLToPath(
  new URL("testing/replica_process.ts", import.meta.url),
);

/** Starts a replica in a process of its own, and registers it. */
async function startReplica(
  setup: GatewaySetup,
  id: string,
): Promise<ChildProcess> {
  const child = spawn(process.execPath, ["--import", "tsx", program, id], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const [line] = await once(child.stdout!, "data") as [Buffer];
  setup.store.put(
    replicasKind,
    id,
    composeReplicaEntry({
      service: "models",
      address: line.toString("utf8").trim(),
      slots: 32,
    }),
  );
  return child;
}

/** Calls `count` streams and kills a replica in their middle. */
async function killAmid(path: string, count: number): Promise<void> {
  await runWithSetup(1, async (setup) => {
    const killed = await startReplica(setup, "killed");
    const other = await startReplica(setup, "other");
    try {
      for (const id of ["model-1", "model-2"]) {
        setup.store.remove(replicasKind, id);
      }
      await new Promise((resolve) => setTimeout(resolve, 300));
      const streams = Array.from(
        { length: count },
        (_, at) => setup.call({ path, id: `stream-${at}` }),
      );
      await new Promise((resolve) => setTimeout(resolve, 450));
      killed.kill("SIGKILL");
      const answers = await Promise.all(streams);
      const whole = formatEvents(1, 40);
      const complete = answers.filter(({ isComplete }) => isComplete);
      const short = complete.filter(({ body }) => body !== whole);
      assert.is(short.length, 0, `${short.length} of ${count} are short`);
      const isResumed = path.startsWith("/answer/");
      const cut = count - complete.length;
      assert.ok(isResumed ? cut === 0 : cut > 0 && cut < count, `${cut} cut`);
    } finally {
      for (const child of [killed, other]) child.kill("SIGKILL");
    }
  });
}

test("no stream of a killed replica ends as complete before its last event", async () => {
  await killAmid("/once/stream", 12);
});

test("all streams of a killed replica go on elsewhere", async () => {
  await killAmid("/answer/stream", 12);
});

test.run();

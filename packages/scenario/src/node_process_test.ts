/**
 * A node of the program's own interface as a real process: signals that would end it,
 * in series, and an output that nobody reads any more.
 */

import { spawnSync } from "node:child_process";
import process from "node:process";
import { request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RunningFleet } from "./running_fleet.ts";

const size = { nodes: 1, engines: 1, bookings: 1, zones: 1 };
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

test.before(() => {
  const built = spawnSync(process.execPath, ["scripts/bundle.mjs"]);
  assert.is(built.status, 0, String(built.stderr));
});

// Guards against signals whose default action ends a node with all its requests.
test("signals end a node only by a drain, however often they come", async () => {
  const fleet = await RunningFleet.open(size, 1);
  try {
    const node = fleet.findProcess(1);
    const { operators } = fleet.findAddresses(1);
    for (
      const signal of ["SIGHUP", "SIGUSR2", "SIGUSR1", "SIGALRM"] as const
    ) {
      node.signal(signal);
      await sleep(50);
      const answer = await request(`http://${operators}/healthz`);
      assert.is(answer.statusCode, 200, signal);
      await answer.body.dump();
    }
    assert.not.match(node.log, "Debugger");
    const ended = fleet.stopNode(1);
    for (const signal of ["SIGTERM", "SIGINT", "SIGTERM"] as const) {
      await sleep(5);
      node.signal(signal);
    }
    assert.is(await ended, 0);
  } finally {
    await fleet.close();
  }
});

test.run();

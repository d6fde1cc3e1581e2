/**
 * One request under which each replica crashes, which comes again with the same
 * caller, path and body, over real sockets and against stand-ins of the platform.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  assertContained,
  crashNodeCount,
  sendCrashingLoad,
} from "./testing/crashing_load.ts";
import { runWithSetup } from "./testing/gateway_helpers.ts";

const badBody = "crash";

const routes = [
  { path: "/lookup/x", service: "booking" },
  { path: "/book/x", service: "booking" },
  { path: "/answer/x/stream", service: "models" },
  { path: "/once/x/stream", service: "models" },
];

for (const { path, service } of routes) {
  test(`a request that crashes replicas reaches no more of them when it comes again (${path})`, async () => {
    await runWithSetup(crashNodeCount, async (setup) => {
      const observed = await sendCrashingLoad(setup, {
        service,
        makeCrash: (replica) => replica.crashingBody = badBody,
        composeBad: () => ({ path, body: badBody }),
        composeSound: (sent) => ({ path, body: `sound ${sent}` }),
        decisiveCrashes: 3,
      });
      assertContained(setup, observed);
    });
  });
}

test("one sound request that comes often is served beside one that crashes replicas", async () => {
  await runWithSetup(crashNodeCount, async (setup) => {
    const path = "/lookup/x";
    const observed = await sendCrashingLoad(setup, {
      service: "booking",
      makeCrash: (replica) => replica.crashingBody = badBody,
      composeBad: () => ({ path, body: badBody }),
      composeSound: () => ({ path, body: "sound" }),
      decisiveCrashes: 3,
    });
    assertContained(setup, observed);
  });
});

test("a request stays in quarantine when all nodes restart at once", async () => {
  await runWithSetup(crashNodeCount, async (setup) => {
    const path = "/lookup/x";
    const send = (node: number, body: string) =>
      setup.call({ path, body, node, id: `${body}-again` });
    await sendCrashingLoad(setup, {
      service: "booking",
      makeCrash: (replica) => replica.crashingBody = badBody,
      composeBad: () => ({ path, body: badBody }),
      composeSound: (sent) => ({ path, body: `sound ${sent}` }),
      decisiveCrashes: 3,
    });
    const nodes = setup.nodes.map((_, node) => node);
    await Promise.all(nodes.map((node) => setup.restart(node)));
    await setup.waitUntil(async () => {
      const answers = await Promise.all(
        nodes.map((node) => send(node, "sound")),
      );
      return answers.every(({ status }) => status === 200);
    });
    await Promise.all(nodes.map((node) => send(node, badBody)));
    const sends = [...setup.replicas.values()].flatMap(({ runs }) => runs)
      .filter(({ id }) => id === `${badBody}-again`).length;
    assert.is(sends, 0);
  });
});

test.run();

/**
 * Loads that replicas state in their answers, over real sockets and against
 * stand-ins of the platform.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { gatewayStatusSchema } from "@almondcrank/model/gateway_status.ts";
import { runWithSetup } from "./testing/gateway_helpers.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";

const path = "/answer/x/stream";

/** Reads the slowness that a node knows of a replica, right after an answer. */
async function readSlowness(
  setup: GatewaySetup,
  id: string,
): Promise<number | undefined> {
  const address = setup.findControlAddress(0);
  const response = await fetch(`http://${address}/status`);
  const { replicas } = gatewayStatusSchema.parse(await response.json());
  return replicas.find((replica) => replica.id === id)?.slowness;
}

async function countRuns(setup: GatewaySetup): Promise<readonly number[]> {
  for (let call = 0; call < 40; call += 1) {
    const { status } = await setup.call({ path });
    assert.is(status, 200);
  }
  return ["model-1", "model-2"].map((id) => setup.findReplica(id).runs.length);
}

test("a replica that states that its host is slow gets less", async () => {
  await runWithSetup(1, async (setup) => {
    setup.findReplica("model-1").statedLoad = "1,0,8,400";
    setup.findReplica("model-2").statedLoad = "1,0,8,100";
    const [slow = 0, usual = 0] = await countRuns(setup);
    assert.ok(slow < usual, `${slow} and ${usual}`);
    assert.ok((await readSlowness(setup, "model-1") ?? 0) > 1.5);
  });
});

test("loads that can't be true change nothing", async () => {
  await runWithSetup(1, async (setup) => {
    const texts = ["-5,0,8,100", "1,0,8,-40", "9e99,0,8", "x", "1,,8,100", ""];
    for (const text of texts) {
      setup.findReplica("model-1").statedLoad = text;
      setup.findReplica("model-2").statedLoad = text;
      const { status } = await setup.call({ path });
      assert.is(status, 200, text);
    }
    for (const id of ["model-1", "model-2"]) {
      const slowness = await readSlowness(setup, id) ?? 0;
      assert.ok(slowness < 1.5, `${slowness}`);
    }
  });
});

test.run();

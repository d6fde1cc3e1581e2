/**
 * Nodes that lose their links to all replicas, while callers, the store and the
 * other nodes still reach them.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { runWithSetup } from "./testing/gateway_helpers.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";
import type { LinksFault } from "./testing/replica_links.ts";

/** Time from the cut's begin from which a node has to serve as others do. */
const contactMs = 3_000;
const paths = ["/answer/stream", "/lookup/x", "/book/x"];

/** Sends requests to one node for a time; returns the answered share of them. */
async function measureServed(
  setup: GatewaySetup,
  { node, forMs }: { readonly node: number; readonly forMs: number },
): Promise<number> {
  const endAt = performance.now() + forMs;
  const answers: Promise<number>[] = [];
  for (let at = 0; performance.now() < endAt; at += 1) {
    const path = paths[at % paths.length] ?? "";
    answers.push(setup.call({ path, node }).then(({ status }) => status));
    await sleep(60);
  }
  const statuses = await Promise.all(answers);
  const served = statuses.filter((status) => status === 200).length;
  return served / statuses.length;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

for (const fault of ["refuse", "hang", "refuse_new"] as const) {
  test(`callers of nodes that are cut off from all replicas are served (${fault})`, async () => {
    await runWithSetup(3, async (setup) => {
      await sleep(1_000);
      await cutAndMeasure(setup, fault);
    }, { hasLinks: true });
  });
}

async function cutAndMeasure(
  setup: GatewaySetup,
  fault: LinksFault,
): Promise<void> {
  // Two of three nodes: readiness alone would leave the rest all callers.
  for (const links of setup.links.slice(0, 2)) links.setFault(fault);
  await measureServed(setup, { node: 0, forMs: contactMs });
  const served = await measureServed(setup, { node: 0, forMs: 2_000 });
  assert.ok(served >= 0.9, `${served} served`);
  for (const links of setup.links) links.setFault("none");
  await sleep(1_500);
  const after = await measureServed(setup, { node: 0, forMs: 1_000 });
  assert.ok(after >= 0.9, `${after} served after the cut`);
}

test.run();

/**
 * Operators move a service to another software version: gateway nodes, a store,
 * and replicas of both versions in this process.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ExposureBounds } from "@almondcrank/model/gateway_settings.ts";
import type { ReplicaStandin } from "@almondcrank/standin/platform/replica_standin.ts";
import { GatewaySetup } from "./testing/gateway_setup.ts";

const exposure: ExposureBounds = {
  share: 0.1,
  tolerance: 50,
  rollbackMs: 5_000,
};
const durationSeconds = 12;
const requestsPerSecond = 100;

/** What a play has seen of one order. */
interface RolloutPlay {
  readonly state: string | undefined;
  /** Time from the order to its end. */
  readonly endedAfterMs: number;
  /** Requests that reached the service, and its new version, in that time. */
  readonly all: number;
  readonly fresh: number;
  /** Arrivals at the new version later than 5 s after its 50th bad answer. */
  readonly late: number;
  /** Callers' answers that were not 200. */
  readonly failed: number;
}

async function runWithRollout(
  nodes: number,
  run: (setup: GatewaySetup) => Promise<void>,
): Promise<void> {
  const setup = await GatewaySetup.open(nodes, { exposure });
  try {
    await run(setup);
  } finally {
    await setup.close();
  }
}

async function addVersion(
  setup: GatewaySetup,
  version: string,
): Promise<readonly ReplicaStandin[]> {
  const replicas = [];
  for (const copy of [1, 2]) {
    const id = `booking-${version}-${copy}`;
    const replica = await setup.addReplica(id, "booking", {
      softwareVersion: version,
    });
    replica.workMs = 10;
    replicas.push(replica);
  }
  return replicas;
}

function readState(setup: GatewaySetup): string | undefined {
  const status = setup.store.readStatus("rollouts", "booking");
  return (status as { readonly state?: string } | undefined)?.state;
}

function order(setup: GatewaySetup, to: string, seconds = durationSeconds) {
  setup.store.put("rollouts", "booking", {
    service: "booking",
    to,
    "duration-s": seconds,
  });
}

/** Sends requests at a steady rate while `isOver` does not hold. */
async function sendLoad(
  setup: GatewaySetup,
  isOver: () => boolean,
): Promise<number> {
  let failed = 0;
  const pending: Promise<void>[] = [];
  for (let count = 0; !isOver(); count += 1) {
    const path = count % 2 === 0 ? "/lookup/x" : "/book/x";
    const node = count % setup.nodes.length;
    const call = setup.call({ path, node, id: `load-${count}` });
    pending.push(call.then(({ status }) => {
      if (status !== 200) failed += 1;
    }, () => {
      failed += 1;
    }));
    await sleep(1_000 / requestsPerSecond);
  }
  await Promise.all(pending);
  return failed;
}

/** Plays one order; the old replicas stop at once when it is completed. */
async function playRollout(
  setup: GatewaySetup,
  fresh: readonly ReplicaStandin[],
  durationMs = durationSeconds * 1_000,
): Promise<RolloutPlay> {
  const old = ["booking-1", "booking-2"].map((id) => setup.findReplica(id));
  const startedAt = performance.now();
  order(setup, "v2", durationMs / 1_000);
  let endedAt: number | undefined;
  const failed = await sendLoad(setup, () => {
    const state = readState(setup);
    const hasEnded = state === "completed" || state === "reverted";
    if (hasEnded && endedAt === undefined) {
      endedAt = performance.now();
      if (state === "completed") {
        for (const { id } of old) {
          setup.store.remove("servers", id);
          setup.findReplica(id).close();
        }
      }
    }
    return performance.now() - startedAt > durationMs + 1_000;
  });
  const within = (replicas: readonly ReplicaStandin[]): number =>
    replicas.flatMap(({ arrivals }) => arrivals)
      .filter(({ at }) => at >= startedAt && at <= startedAt + durationMs)
      .length;
  const freshArrivals = within(fresh);
  return {
    state: readState(setup),
    endedAfterMs: (endedAt ?? Infinity) - startedAt,
    all: freshArrivals + within(old),
    fresh: freshArrivals,
    late: 0,
    failed,
  };
}

function checkExposure({ all, fresh }: RolloutPlay): void {
  const bound = exposure.share * all + exposure.tolerance;
  assert.ok(fresh <= bound, `${fresh} of ${all} requests, bound ${bound}`);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test("a good version takes over in time, and callers notice little", async () => {
  await runWithRollout(3, async (setup) => {
    setup.findReplica("booking-1").workMs = 10;
    setup.findReplica("booking-2").workMs = 10;
    await sleep(3_000);
    const fresh = await addVersion(setup, "v2");
    const play = await playRollout(setup, fresh);
    assert.is(play.state, "completed");
    assert.ok(
      play.endedAfterMs < durationSeconds * 1_000,
      `${play.endedAfterMs}`,
    );
    checkExposure(play);
    assert.ok(play.failed <= 3, `${play.failed} failed`);
  });
});

test("a version of which a part of the answers fails is taken back", async () => {
  await runWithRollout(3, async (setup) => {
    setup.findReplica("booking-1").workMs = 10;
    setup.findReplica("booking-2").workMs = 10;
    await sleep(3_000);
    const fresh = await addVersion(setup, "v2");
    for (const replica of fresh) {
      let count = 0;
      replica.chooseFault = () => {
        count += 1;
        return count % 3 === 0 ? { kind: "fail" } : { kind: "none" };
      };
    }
    const play = await playRollout(setup, fresh);
    assert.is(play.state, "reverted");
    checkExposure(play);
    const before = fresh.flatMap(({ arrivals }) => arrivals).length;
    await setup.restart(0);
    await setup.restart(1);
    await setup.restart(2);
    await setup.waitUntil(async () =>
      (await setup.call({ path: "/lookup/x" })).status === 200
    );
    const endsAt = performance.now() + 2_000;
    await sendLoad(setup, () => performance.now() > endsAt);
    const after = fresh.flatMap(({ arrivals }) => arrivals).length;
    assert.is(after, before);
  });
});

test("a version that is slower on one route only is taken back", async () => {
  await runWithRollout(3, async (setup) => {
    setup.findReplica("booking-1").workMs = 10;
    setup.findReplica("booking-2").workMs = 10;
    await sleep(3_000);
    const fresh = await addVersion(setup, "v2");
    for (const replica of fresh) {
      replica.chooseFault = ({ path }) =>
        path.startsWith("/book") ? { kind: "slow", ms: 40 } : { kind: "none" };
    }
    const play = await playRollout(setup, fresh);
    assert.is(play.state, "reverted");
    checkExposure(play);
  });
});

test.run();

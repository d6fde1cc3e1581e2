/**
 * Load of requests under which each replica crashes, beside sound ones.
 */

import * as assert from "uvu/assert";
import type { RouteAnswer } from "@almondcrank/load/route_client.ts";
import type { ReplicaStandin } from "@almondcrank/standin/platform/replica_standin.ts";
import type { CallerRequest, GatewaySetup } from "./gateway_setup.ts";

/** Nodes of the setup; requests go to all of them in turn. */
export const crashNodeCount = 3;

const replicaCount = 6;
const crashAfterMs = 40;
const restartMs = 400;
const badIntervalMs = 150;
const soundIntervalMs = 40;
/** Time after the decisive crash from which each send of a bad request counts. */
const contactMs = 3_000;
const maxLateSends = 3;
const afterMs = 5_000;
const minServedShare = 0.95;

/** Which requests crash which replicas. */
export interface CrashingLoad {
  readonly service: string;
  /** Sets a replica up to crash under the bad requests. */
  readonly makeCrash: (replica: ReplicaStandin) => void;
  /** Composes the request with a number; bad ones crash replicas. */
  readonly composeBad: (sent: number) => CallerRequest;
  readonly composeSound: (sent: number) => CallerRequest;
  /** Crashes after which bad requests must reach no more replicas. */
  readonly decisiveCrashes: number;
}

/** What happened to the requests of one run. */
export interface CrashObservations {
  readonly badAnswers: readonly RouteAnswer[];
  /** Sound requests that were sent when the nodes had to know the bad ones. */
  readonly soundAnswers: readonly RouteAnswer[];
  /** Times at which replicas crashed, on the monotonic clock. */
  readonly crashes: readonly number[];
  /** Time from which a bad request that reaches a replica is late. */
  readonly lateFrom: number;
}

/** Crashes of a run, and whether replicas still come back after them. */
interface CrashRecord {
  readonly times: number[];
  isOver: boolean;
}

/** Adds a replica that a new one replaces some time after its crash. */
async function addCrashingReplica(
  setup: GatewaySetup,
  id: string,
  { service, makeCrash, crashes }:
    & Pick<CrashingLoad, "service" | "makeCrash">
    & {
      readonly crashes: CrashRecord;
    },
): Promise<void> {
  const replica = await setup.addReplica(id, service, { eventMs: 30 });
  replica.crashAfterMs = crashAfterMs;
  makeCrash(replica);
  replica.onCrash(() => {
    crashes.times.push(performance.now());
    setTimeout(() => {
      if (crashes.isOver) return;
      setup.store.remove("servers", id);
      const next = { service, makeCrash, crashes };
      void addCrashingReplica(setup, `${id}n`, next);
    }, restartMs);
  });
}

/** Sends bad and sound requests to all nodes until the crashes have ended. */
export async function sendCrashingLoad(
  setup: GatewaySetup,
  load: CrashingLoad,
): Promise<CrashObservations> {
  const crashes: CrashRecord = { times: [], isOver: false };
  for (let at = 0; at < replicaCount; at += 1) {
    await addCrashingReplica(setup, `c-${at}`, { ...load, crashes });
  }
  for (const id of setup.replicas.keys()) {
    if (!id.startsWith("c-")) setup.store.remove("servers", id);
  }
  await sleep(500);
  const badAnswers: Promise<RouteAnswer>[] = [];
  const soundAnswers: Promise<RouteAnswer>[] = [];
  let sent = 0;
  const send = (
    compose: CrashingLoad["composeBad"],
    name: string,
  ): Promise<RouteAnswer> => {
    sent += 1;
    const request = compose(sent);
    const node = sent % crashNodeCount;
    return setup.call({ ...request, id: `${name}-${sent}`, node });
  };
  const startedAt = performance.now();
  /** Time of the decisive crash; of the last one if there are fewer. */
  const findLateFrom = (): number => {
    const { times } = crashes;
    const decisive = times[load.decisiveCrashes - 1] ?? times.at(-1);
    return (decisive ?? startedAt) + contactMs;
  };
  const badTimer = setInterval(
    () => badAnswers.push(send(load.composeBad, "bad")),
    badIntervalMs,
  );
  const soundTimer = setInterval(() => {
    const answer = send(load.composeSound, "sound");
    if (performance.now() > findLateFrom()) soundAnswers.push(answer);
  }, soundIntervalMs);
  while (performance.now() < findLateFrom() + afterMs) await sleep(50);
  clearInterval(badTimer);
  clearInterval(soundTimer);
  crashes.isOver = true;
  return {
    badAnswers: await Promise.all(badAnswers),
    soundAnswers: await Promise.all(soundAnswers),
    crashes: crashes.times,
    lateFrom: findLateFrom(),
  };
}

/** Asserts that bad requests were kept from replicas, and only those. */
export function assertContained(
  setup: GatewaySetup,
  { badAnswers, soundAnswers, crashes, lateFrom }: CrashObservations,
): void {
  assert.ok(crashes.length > 0);
  const late = [...setup.replicas.values()]
    .flatMap(({ runs }) => runs)
    .filter(({ id, startedAt }) =>
      id.startsWith("bad-") && startedAt > lateFrom
    )
    .length;
  assert.ok(late <= maxLateSends, `${late} late, ${crashes.length} crashes`);
  const refused = badAnswers.filter(({ status, headers }) =>
    status === 503 && headers["retry-after"] !== undefined
  );
  assert.ok(refused.length > badAnswers.length / 2, `${refused.length}`);
  const whole = soundAnswers.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  assert.ok(soundAnswers.length >= 20);
  const counts = `${whole.length} of ${soundAnswers.length}`;
  assert.ok(whole.length >= soundAnswers.length * minServedShare, counts);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Measures the latency that idempotency keys add to a booking over loopback HTTP.
 *
 * Three nodes and the stand-ins run in one process, so the latencies contain the
 * work of all of them. Each round sends one booking of each kind, one at a time.
 *
 * Usage: node --import tsx packages/bench/src/key_latency.ts [ROUNDS]
 */

import process from "node:process";
import { Agent, request } from "undici";
import { DemoFleet } from "@almondcrank/cli/demo_fleet.ts";
import { readDemoMix } from "@almondcrank/cli/demo_mix.ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { TslogLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { LoadClient } from "@almondcrank/load/load_client.ts";

const defaultRounds = 500;
const warmUpRounds = 50;

const mix = readDemoMix();
const teamKey = mix.teams[0]?.key ?? "";
const clock = SystemClock.create();
const metrics = Metrics.create();
const log = TslogLog.create("node", { level: "error", format: "text" });
const fleet = await DemoFleet.open(mix, log);
const agent = new Agent();
const client = LoadClient.create(clock, agent);
let nextSlot = 0;

/** Books a new slot at a node; records the time by `kind` after the counted-up. */
async function runBooking(
  kind: string,
  { at, key, counted }: {
    readonly at: number;
    readonly key?: string | undefined;
    readonly counted: boolean;
  },
): Promise<void> {
  const started = clock.now();
  const answer = await request(
    `http://${fleet.findCallerAddress(at)}/services/booking/bookings`,
    {
      method: "POST",
      dispatcher: agent,
      headers: {
        authorization: `Bearer ${teamKey}`,
        "content-type": "application/json",
        ...(key === undefined ? {} : { "idempotency-key": key }),
      },
      body: JSON.stringify({ slot: `muc/${nextSlot++}` }),
    },
  );
  const text = await answer.body.text();
  if (answer.statusCode >= 400) throw new Error(`${kind}: ${text}`);
  if (counted) metrics.recordDuration(kind, clock.now() - started);
}

/** Sends one booking of each kind. */
async function runRound(round: number, counted: boolean): Promise<void> {
  await runBooking("no key", { at: 0, counted });
  await runBooking("no key, other node", { at: 1, counted });
  const ownerKey = await client.issueKey(fleet.findCallerAddress(0), teamKey);
  await runBooking("issued key at its owner", {
    at: 0,
    key: ownerKey,
    counted,
  });
  const sentAt = clock.now();
  const remoteKey = await client.issueKey(
    fleet.findCallerAddress(0),
    teamKey,
  );
  if (counted) metrics.recordDuration("issue of a key", clock.now() - sentAt);
  await runBooking("issued key forwarded", {
    at: 1,
    key: remoteKey,
    counted,
  });
  const callerKey = `order-${process.pid}-${round}`;
  await runBooking("caller's key", { at: 0, key: callerKey, counted });
}

const rounds = Number(process.argv[2] ?? defaultRounds);
for (let round = -warmUpRounds; round < rounds; round++) {
  await runRound(round, round >= 0);
}
const kinds = [
  "no key",
  "no key, other node",
  "issue of a key",
  "issued key at its owner",
  "issued key forwarded",
  "caller's key",
];
for (const kind of kinds) {
  const [p50, p99] = [50, 99].map((percentile) =>
    metrics.readPercentile(kind, percentile).toFixed(2)
  );
  console.log(`${kind}: p50 ${p50} ms, p99 ${p99} ms over ${rounds} calls`);
}
fleet.dispose();
await agent.close();

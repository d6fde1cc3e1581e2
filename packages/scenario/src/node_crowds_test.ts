/**
 * Crowds of callers that don't behave, at a node of the program's own interface as a
 * real process with a small heap: it goes on, stays within its memory, and answers
 * others beside the crowd and after it.
 */

import { spawnSync } from "node:child_process";
import process from "node:process";
import { request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatTeamKey } from "./fleet_settings.ts";
import { RunningFleet } from "./running_fleet.ts";
import { Crowd } from "./testing/crowd.ts";
import { MemoryWatch } from "./testing/memory_watch.ts";

const size = { nodes: 1, engines: 1, bookings: 1, zones: 1 };
const key = formatTeamKey("counter");
const maxBodyBytes = 4_194_304;
/** Heap of the node, and what its code and buffers need beside it, in MiB. */
const heapMib = 160;
const maxBytes = 2 * heapMib * 1_048_576;
const ownDescriptors = 200;
const pauseMs = 100;
/** Time for which a crowd sends before others come. */
const crowdMs = 2_000;
/** Calls of which at least one must be answered, and the time that each has. */
const calls = 8;
const callMs = 4_000;
const bookingPath = "/services/booking/bookings";
const chatPath = "/v1/chat/completions";
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

test.before(() => {
  const built = spawnSync(process.execPath, ["scripts/bundle.mjs"]);
  assert.is(built.status, 0, String(built.stderr));
  process.env["NODE_OPTIONS"] =
    `--max-old-space-size=${heapMib} --max-semi-space-size=4`;
});

interface CrowdCase {
  readonly name: string;
  readonly callers: number;
  readonly head: string;
  readonly part: string;
  readonly parts?: number;
  readonly listener?: "callers" | "operators" | "peers";
}

function formatHead(
  { path = bookingPath, bearer = key, framing = "transfer-encoding: chunked" },
): string {
  return [
    `POST ${path} HTTP/1.1`,
    "host: node",
    `authorization: Bearer ${bearer}`,
    "content-type: application/json",
    framing,
    "\r\n",
  ].join("\r\n");
}

function formatChunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${"a".repeat(bytes)}\r\n`;
}

const largeChunk = formatChunk(65_536);
const piece = "a".repeat(65_536);

const cases: readonly CrowdCase[] = [
  {
    name: "chunks of one byte",
    callers: 100,
    head: formatHead({}),
    part: formatChunk(1),
  },
  {
    name: "a call over the limit",
    callers: 200,
    head: formatHead({}),
    part: largeChunk,
  },
  {
    name: "a chat over the limit",
    callers: 200,
    head: formatHead({ path: chatPath }),
    part: largeChunk,
  },
  {
    name: "a wrong key",
    callers: 200,
    head: formatHead({ bearer: "nobody" }),
    part: largeChunk,
  },
  {
    name: "an unknown path",
    callers: 200,
    head: formatHead({ path: "/nowhere" }),
    part: largeChunk,
  },
  {
    name: "whole bodies of the largest size",
    callers: 200,
    head: formatHead({ framing: `content-length: ${maxBodyBytes}` }),
    part: piece,
    parts: maxBodyBytes / piece.length,
  },
  {
    name: "chunks of one byte at the operators' listener",
    callers: 100,
    head: formatHead({ path: "/diff" }),
    part: formatChunk(1),
    listener: "operators",
  },
  {
    name: "a wrong key at the peers' listener",
    callers: 200,
    head: formatHead({ path: "/exchange" }),
    part: largeChunk,
    listener: "peers",
  },
];

/** Whether one of some calls in a row is answered with success. */
async function isServed(address: string): Promise<boolean> {
  for (let at = 0; at < calls; at += 1) {
    if (await book(address) === 201) return true;
  }
  return false;
}

/** Status of a booking; 0 if it is not answered in time. */
async function book(address: string): Promise<number> {
  try {
    const answer = await request(`http://${address}${bookingPath}`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${key}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({ slot: "10:00" }),
      signal: AbortSignal.timeout(callMs),
    });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    return 0;
  }
}

for (const { name, listener = "callers", ...sent } of cases) {
  // Guards against a thread that parses what nobody wants, and nothing else.
  test(`others are answered beside a crowd that sends ${name}`, async () => {
    const fleet = await RunningFleet.open(size, 1);
    try {
      const node = fleet.findProcess(1);
      const addresses = fleet.findAddresses(1);
      const watch = MemoryWatch.create(node.pid ?? 0, [
        addresses.callers,
        addresses.operators,
        addresses.peers,
      ]);
      const address = addresses[listener];
      const crowd = await Crowd.open({ ...sent, address, pauseMs });
      try {
        await sleep(crowdMs);
        assert.ok(await isServed(addresses.callers), "none beside the crowd");
      } finally {
        await crowd.close();
        watch.dispose();
      }
      assert.ok(await isServed(addresses.callers), "none after the crowd");
      const { bytes, descriptors } = watch.peaks;
      assert.ok(bytes < maxBytes, `${bytes} bytes at the peak`);
      const most = sent.callers + ownDescriptors;
      assert.ok(descriptors <= most, `${descriptors} descriptors at the peak`);
    } finally {
      await fleet.close();
    }
  });
}

test.run();

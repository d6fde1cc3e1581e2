/**
 * Crowds of callers that don't behave, at a node as a real process with the command of
 * the deploy file and the memory of the smallest machines: it goes on, stays within
 * its memory and descriptors, and answers others beside the crowd and after it.
 */

import { spawnSync } from "node:child_process";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { remainingTimeHeader } from "@almondcrank/platform/headers.ts";
import {
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import { Crowd, type CrowdOrder } from "./testing/crowd.ts";
import { memoryBytes, runWithDeployedNode } from "./testing/deployed_node.ts";
import type { GatewayProcess } from "./testing/gateway_process.ts";
import { MemoryWatch } from "./testing/memory_watch.ts";
import { slowDown } from "./testing/slow_core.ts";

const maxBodyBytes = 4 * 1_048_576;
const deadlineMs = 20_000;
const pauseMs = 100;
/** Time for which a crowd sends before others come. */
const crowdMs = 2_000;
/** Calls of which at least one must be answered; each has 4 s. */
const calls = 8;
/** Callers of each kind where all kinds come at once. */
const mixedCallers = 20;
/** Time in which a node that runs answers a page. */
const controlMs = 10_000;
/** Descriptors of the node: those of its crowd, and what it needs itself. */
const ownDescriptors = 200;
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

test.before(() => {
  const built = spawnSync(process.execPath, ["scripts/bundle_gateway.mjs"]);
  assert.is(built.status, 0, String(built.stderr));
});

/** Part of a core that the smallest machines have, for the slow cases. */
const smallShare = 0.35;

interface CrowdCase {
  readonly name: string;
  readonly callers: number;
  readonly head: string;
  readonly part: string;
  readonly parts?: number;
  /** Listener that the crowd comes to, that of callers by default. */
  readonly listener?: "callers" | "control" | "readiness";
  readonly isSlow?: boolean;
}

function formatHead(
  { path = "/book/x", key = tenantKey, framing = "Transfer-Encoding: chunked" },
): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${exampleHostname}`,
    `Authorization: Bearer ${key}`,
    "X-Request-Id: crowd",
    `${remainingTimeHeader}: ${deadlineMs}`,
    framing,
    "\r\n",
  ].join("\r\n");
}

function formatChunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${"a".repeat(bytes)}\r\n`;
}

const largeChunk = formatChunk(65_536);
const announced = "Content-Length: 1000000000";
const whole = `Content-Length: ${maxBodyBytes}`;
const piece = "a".repeat(65_536);

const cases: readonly CrowdCase[] = [
  {
    name: "chunks of one byte",
    callers: 100,
    head: formatHead({}),
    part: formatChunk(1),
  },
  {
    name: "chunks of 100 bytes",
    callers: 200,
    head: formatHead({}),
    part: formatChunk(100),
  },
  {
    name: "a body over the limit",
    callers: 200,
    head: formatHead({}),
    part: largeChunk,
  },
  {
    name: "a body that is announced as over the limit",
    callers: 200,
    head: formatHead({ framing: announced }),
    part: piece,
  },
  {
    name: "a wrong key",
    callers: 200,
    head: formatHead({ key: "nobody" }),
    part: largeChunk,
  },
  {
    name: "a path without a route",
    callers: 200,
    head: formatHead({ path: "/nowhere" }),
    part: largeChunk,
  },
  {
    name: "whole bodies of the largest size",
    callers: 200,
    head: formatHead({ framing: whole }),
    part: piece,
    parts: maxBodyBytes / piece.length,
  },
  {
    name: "small bodies that stop before their end",
    callers: 1_000,
    head: formatHead({ framing: "Content-Length: 20010" }),
    part: "a".repeat(20_000),
    parts: 1,
  },
  {
    name: "requests without end",
    callers: 100,
    head: "",
    part: `GET /nowhere HTTP/1.1\r\nHost: ${exampleHostname}\r\n\r\n`,
  },
  {
    name: "chunks of one byte on a slow core",
    callers: 100,
    head: formatHead({}),
    part: formatChunk(1),
    isSlow: true,
  },
  {
    name: "a body over the limit on a slow core",
    callers: 200,
    head: formatHead({}),
    part: largeChunk,
    isSlow: true,
  },
  {
    name: "whole bodies of the largest size on a slow core",
    callers: 200,
    head: formatHead({ framing: whole }),
    part: piece,
    parts: maxBodyBytes / piece.length,
    isSlow: true,
  },
  {
    name: "chunks of one byte at the control listener",
    callers: 100,
    head: formatHead({ path: "/peer/request/book/x" }),
    part: formatChunk(1),
    listener: "control",
  },
  {
    name: "bodies at the control listener",
    callers: 200,
    head: formatHead({ path: "/nothing" }),
    part: largeChunk,
    listener: "control",
  },
  {
    name: "bodies at the readiness listener",
    callers: 200,
    head: formatHead({ path: "/readyz" }),
    part: largeChunk,
    listener: "readiness",
  },
];

/** Whether the load balancer and operators are answered. */
async function checkControl({ place }: GatewayProcess): Promise<void> {
  const pages = [`${place.readiness}/readyz`, `${place.control}/metrics`];
  for (const page of pages) {
    const signal = AbortSignal.timeout(controlMs);
    const answer = await fetch(`http://${page}`, { signal });
    await answer.arrayBuffer();
    assert.is(answer.status, 200, page);
  }
}

/** Whether one of some calls in a row is answered with success. */
async function isServed(node: GatewayProcess): Promise<boolean> {
  for (let at = 0; at < calls; at += 1) {
    if ((await node.book()).status === 200) return true;
  }
  return false;
}

/** Opens a crowd at one of the node's listeners. */
function openCrowd(
  { place }: GatewayProcess,
  { callers, head, part, parts, listener = "callers" }: CrowdCase,
): Promise<Crowd> {
  const address = place[listener];
  const order: CrowdOrder = { address, callers, head, part, pauseMs };
  return Crowd.open(parts === undefined ? order : { ...order, parts });
}

/** Checks a node beside crowds that come at the same time, and after them. */
async function checkCrowds(
  node: GatewayProcess,
  orders: readonly CrowdCase[],
): Promise<void> {
  const { place } = node;
  const watch = MemoryWatch.create(node.pid, [
    place.callers,
    place.control,
    place.readiness,
  ]);
  const isSlow = orders.some((order) => order.isSlow);
  const slow = isSlow ? slowDown(node, smallShare) : undefined;
  const crowds = await Promise.all(
    orders.map((order) => openCrowd(node, order)),
  );
  try {
    await sleep(crowdMs);
    assert.ok(await isServed(node), "nobody was answered beside the crowd");
    await checkControl(node);
  } finally {
    for (const crowd of crowds) await crowd.close();
    slow?.dispose();
    watch.dispose();
  }
  assert.ok(await isServed(node), "nobody was answered after the crowd");
  assert.not(node.hasEnded, "the node ended by itself");
  const { bytes, descriptors } = watch.peaks;
  assert.ok(bytes < memoryBytes, `${bytes} bytes at the peak`);
  const callers = orders.reduce((sum, order) => sum + order.callers, 0);
  const most = callers + ownDescriptors;
  assert.ok(descriptors <= most, `${descriptors} descriptors at the peak`);
}

for (const crowd of cases) {
  // Guards against a thread that parses what nobody wants, and nothing else.
  test(`others are answered beside a crowd that sends ${crowd.name}`, async () => {
    await runWithDeployedNode(
      { maxBodyBytes, timeoutMs: deadlineMs },
      (node) => checkCrowds(node, [crowd]),
    );
  });
}

for (const isSlow of [false, true]) {
  const core = isSlow ? "a slow core" : "a whole core";
  // Guards against crowds that together take what each alone does not.
  test(`others are answered beside crowds of several kinds on ${core}`, async () => {
    const mixed = cases
      .filter((crowd) => crowd.isSlow !== true)
      .map((crowd) => ({ ...crowd, callers: mixedCallers, isSlow }));
    await runWithDeployedNode(
      { maxBodyBytes, timeoutMs: deadlineMs },
      (node) => checkCrowds(node, mixed),
    );
  });
}

test.run();

/**
 * Measures the processor time of gateway nodes: of a start, of a second without
 * requests among peers, and of a request by kind, cold and warm.
 *
 * Usage: node --import tsx packages/bench/src/node_cost.ts [PROGRAM...]
 *
 * Each program is a built `gateway.cjs`; `target/gateway.cjs` by default. Several
 * programs are measured at the same time, one column each, so that whatever else
 * the machine does slows them alike.
 * Processor time is that of all threads, read from the kernel in units of 10 ms.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { sendRouteRequest } from "@almondcrank/load/route_client.ts";
import { CloudStandin } from "@almondcrank/standin/platform/cloud_standin.ts";
import {
  createExampleConfiguration,
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import { NodeProcess } from "@almondcrank/standin/platform/node_process.ts";
import {
  createNodePlace,
  findSharedPorts,
} from "@almondcrank/standin/platform/node_settings.ts";
import { ReplicaStandin } from "@almondcrank/standin/platform/replica_standin.ts";
import { StoreStandin } from "@almondcrank/standin/platform/store_standin.ts";

const kernelTickMs = 10;
/** Memory options of the deploy file. */
const nodeOptions = ["--max-old-space-size=160", "--max-semi-space-size=4"];
const meshNodes = 9;
const replicasPerService = 8;
const settleMs = 1_500;
const idleMs = 8_000;
const coldRequests = 200;
const warmUpRequests = 800;
const warmRequests = 400;
/** Requests at a time; few, as on a node of a large system. */
const concurrency = 4;

/** A kind of request; `events` is 0 for a plain call. */
interface RequestKind {
  readonly name: string;
  readonly path: string;
  readonly events: number;
}

const kinds: readonly RequestKind[] = [
  { name: "plain call", path: "/lookup/slot", events: 0 },
  { name: "stream of 3 events", path: "/answer/draft/stream", events: 3 },
  { name: "stream of 42 events", path: "/answer/draft/stream", events: 42 },
];

/** Nodes with stand-ins of everything that they call. */
interface Fleet {
  readonly nodes: readonly NodeProcess[];
  close(): Promise<void>;
}

async function openFleet(
  program: string,
  { nodeCount, events }: {
    readonly nodeCount: number;
    readonly events: number;
  },
): Promise<Fleet> {
  const store = await StoreStandin.open();
  const cloud = await CloudStandin.open();
  const replicas: ReplicaStandin[] = [];
  for (const service of ["models", "booking"]) {
    for (let at = 0; at < replicasPerService; at += 1) {
      const id = `${service}-${at}`;
      const replica = await ReplicaStandin.open({ id, events, eventMs: 2 });
      replicas.push(replica);
      store.put(
        replicasKind,
        id,
        composeReplicaEntry({
          service,
          address: replica.address,
          sequenceNumber: replicas.length,
        }),
      );
    }
  }
  store.put("config", "main", createExampleConfiguration(1, {}));
  const folder = mkdtempSync(join(tmpdir(), "almondcrank-cost-"));
  const ports = await findSharedPorts();
  const nodes: NodeProcess[] = [];
  for (let at = 0; at < nodeCount; at += 1) {
    const place = await createNodePlace(at, ports, {
      storeAddress: store.address,
      cloudAddress: cloud.address,
    });
    nodes.push(NodeProcess.create({
      place,
      command: [...nodeOptions, program],
      folder,
    }));
  }
  const close = async (): Promise<void> => {
    await Promise.all(nodes.map((node) => node.kill()));
    for (const replica of replicas) replica.close();
    cloud.close();
    store.close();
    rmSync(folder, { recursive: true });
  };
  try {
    await Promise.all(nodes.map((node) => node.start()));
  } catch (thrown) {
    await close();
    throw thrown;
  }
  return { nodes, close };
}

/** Reads the processor time of a node so far, in milliseconds. */
function readCpuMs({ pid }: NodeProcess): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The fields after the name in brackets, from the state on.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) * kernelTickMs;
}

/** Reads the largest resident memory of a node so far, in megabytes. */
function readPeakMb({ pid }: NodeProcess): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1_024;
}

function sumCpuMs(nodes: readonly NodeProcess[]): number {
  return nodes.reduce((sum, node) => sum + readCpuMs(node), 0);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function sendRequests(
  node: NodeProcess,
  kind: RequestKind,
  count: number,
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: concurrency });
  let left = count;
  const run = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const { status } = await sendRouteRequest({
        agent,
        address: node.place.callers,
        path: kind.path,
        host: exampleHostname,
        id: `cost-${left}`,
        key: tenantKey,
        deadlineMs: 3_000,
        body: `cost ${left}`,
      });
      if (status !== 200) throw new Error(`status ${status}`);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, run));
  agent.destroy();
}

/** A measured value. */
interface Figure {
  readonly name: string;
  readonly value: number;
}

/** Writes the same figures of all programs in one row each. */
function writeFigures(columns: readonly (readonly Figure[])[]): void {
  for (const [row, { name }] of (columns[0] ?? []).entries()) {
    const values = columns.map((figures) =>
      (figures[row]?.value ?? NaN).toFixed(2).padStart(9)
    );
    process.stdout.write(`${name.padEnd(36)}${values.join("")}\n`);
  }
}

/** Measures starts and a mesh without requests. */
async function measureIdle(program: string): Promise<readonly Figure[]> {
  const fleet = await openFleet(program, { nodeCount: meshNodes, events: 3 });
  try {
    const { nodes } = fleet;
    const startMs = sumCpuMs(nodes) / meshNodes;
    await sleep(settleMs);
    const settledMs = sumCpuMs(nodes) / meshNodes;
    await sleep(idleMs);
    const usedMs = sumCpuMs(nodes) / meshNodes - settledMs;
    return [
      { name: "start, ms", value: startMs },
      { name: "start and first 1.5 s, ms", value: settledMs },
      {
        name: `without requests, ${meshNodes} nodes, ms/s`,
        value: usedMs / idleMs * 1_000,
      },
      {
        name: "peak memory, MB",
        value: Math.max(...nodes.map(readPeakMb)),
      },
    ];
  } finally {
    await fleet.close();
  }
}

/** Measures requests of one kind on a node that has just started. */
async function measureRequests(
  program: string,
  kind: RequestKind,
): Promise<readonly Figure[]> {
  const fleet = await openFleet(program, {
    nodeCount: 1,
    events: Math.max(1, kind.events),
  });
  const [node] = fleet.nodes;
  const measure = async (name: string, count: number): Promise<Figure> => {
    if (node === undefined) return { name, value: NaN };
    const before = readCpuMs(node);
    await sendRequests(node, kind, count);
    const value = (readCpuMs(node) - before) / count;
    return { name: `${kind.name}, ${name}, ms`, value };
  };
  try {
    await sleep(settleMs);
    const cold = await measure("cold", coldRequests);
    await measure("warm-up", warmUpRequests);
    return [cold, await measure("warm", warmRequests)];
  } finally {
    await fleet.close();
  }
}

const given = process.argv.slice(2);
const programs = given.length === 0 ? ["target/gateway.cjs"] : given;
writeFigures(await Promise.all(programs.map(measureIdle)));
for (const kind of kinds) {
  writeFigures(
    await Promise.all(
      programs.map((program) => measureRequests(program, kind)),
    ),
  );
}

/**
 * Measures the cost of membership and configuration distribution for a node.
 *
 * Runs layouts of 3 to 81 nodes over loopback, several nodes in a process, and
 * prints socket traffic, CPU share and heap for each node, and the time from an
 * apply until the revision is in force. The platform is unavailable throughout, so
 * nodes receive the configuration only from each other.
 *
 * Usage: node --import tsx packages/bench/src/control_traffic.ts
 *   [--layouts 1x3,3x3] [--change 1] [--seconds 15] [--applies 5] [--loads 14]
 * where a layout is the number of data centres x the number of nodes in each.
 */

import { type ChildProcess, fork } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import type {
  NodeReport,
  WorkerCommand,
  WorkerLoad,
  WorkerNode,
  WorkerReport,
} from "./control_traffic_messages.ts";

const maxProcesses = 9;
const firstPort = 23_000;
const endpoints = 5_500;
const settleMs = 20_000;
const applyWaitMs = 4_000;
const workerFile = fileURLToPath(
  new URL("./control_traffic_worker.ts", import.meta.url),
);

interface Layout {
  readonly zones: number;
  readonly nodesPerZone: number;
}

/** Result of one layout; rates are per node. */
interface Result {
  readonly layout: Layout;
  readonly meanBytesPerSecond: number;
  readonly maxBytesPerSecond: number;
  /** CPU time of a node as a fraction of one core. */
  readonly cpuShare: number;
  readonly heapBytesPerNode: number;
  /** Largest number of sockets of a node. */
  readonly sockets: number;
  /** Whether each node considers all nodes alive. */
  readonly allKnown: boolean;
  /** Times from an apply until a node has the revision in force, ascending. */
  readonly distributionMs: readonly number[];
  /** Number of reports of a revision in force that did not come in time. */
  readonly missing: number;
}

interface Options {
  readonly load: WorkerLoad;
  readonly seconds: number;
  readonly applies: number;
}

type UsageReport = Extract<WorkerReport, { kind: "report" }>;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits for the next report of this kind. */
function waitReport(worker: ChildProcess, kind: string): Promise<WorkerReport> {
  return new Promise((resolve) => {
    const listen = (message: unknown): void => {
      const report = message as WorkerReport;
      if (report.kind !== kind) return;
      worker.off("message", listen);
      resolve(report);
    };
    worker.on("message", listen);
  });
}

function sendCommand(worker: ChildProcess, command: WorkerCommand): void {
  worker.send(command);
}

async function readReports(
  workers: readonly ChildProcess[],
): Promise<readonly UsageReport[]> {
  const reports = workers.map((worker) => waitReport(worker, "report"));
  for (const worker of workers) sendCommand(worker, { kind: "report" });
  return await Promise.all(reports) as readonly UsageReport[];
}

function createNodes({ zones, nodesPerZone }: Layout): readonly WorkerNode[] {
  const pad = (value: number): string => String(value).padStart(2, "0");
  return Array.from({ length: zones * nodesPerZone }, (_, index) => ({
    name: `node-${pad(index % zones)}-${pad(Math.floor(index / zones))}`,
    zone: `zone-${index % zones}`,
    region: `region-${index % zones % 5}`,
    address: `127.0.0.1:${firstPort + index}`,
  }));
}

async function startWorkers(
  nodes: readonly WorkerNode[],
  load: WorkerLoad,
): Promise<readonly ChildProcess[]> {
  const count = Math.min(maxProcesses, nodes.length);
  const execArgv = ["--import", "tsx", "--expose-gc"];
  const workers = Array.from(
    { length: count },
    () => fork(workerFile, { execArgv }),
  );
  await Promise.all(workers.map(async (worker, index) => {
    const started = waitReport(worker, "started");
    sendCommand(worker, {
      kind: "start",
      nodes: nodes.filter((_, node) => node % count === index),
      seeds: nodes.slice(0, 3).map(({ address }) => address),
      load,
    });
    await started;
  }));
  return workers;
}

/**
 * Applies one revision; returns the milliseconds from the first node with the
 * revision in force to each node.
 */
async function runApply(
  workers: readonly ChildProcess[],
  revision: number,
): Promise<readonly number[]> {
  const times: number[] = [];
  const listen = (message: unknown): void => {
    const report = message as WorkerReport;
    if (report.kind !== "in_force" || report.revision !== revision) return;
    times.push(report.at);
  };
  for (const worker of workers) worker.on("message", listen);
  sendCommand(workers[0]!, { kind: "apply", revision });
  await sleep(applyWaitMs);
  for (const worker of workers) worker.off("message", listen);
  const first = Math.min(...times);
  return times.map((time) => time - first);
}

function readBytes({ bytes }: NodeReport): number {
  return bytes.sent + bytes.received;
}

async function measureLayout(
  layout: Layout,
  options: Options,
): Promise<Result> {
  const nodes = createNodes(layout);
  const workers = await startWorkers(nodes, options.load);
  await sleep(settleMs);
  const before = await readReports(workers);
  await sleep(options.seconds * 1_000);
  const after = await readReports(workers);
  const bytes = after.flatMap((report, worker) =>
    report.nodes.map((node, index) =>
      (readBytes(node) - readBytes(before[worker]!.nodes[index]!)) /
      options.seconds
    )
  );
  const cpuMicros = sum(after.map((report) => report.cpuMicros)) -
    sum(before.map((report) => report.cpuMicros));
  const heapBytes = sum(after.map((report) => report.heapBytes));
  const reports = after.flatMap((report) => report.nodes);
  const distributionMs = await measureDistribution(workers, options.applies);
  for (const worker of workers) worker.disconnect();
  return {
    layout,
    meanBytesPerSecond: sum(bytes) / nodes.length,
    maxBytesPerSecond: Math.max(...bytes),
    cpuShare: cpuMicros / 1e6 / options.seconds / nodes.length,
    heapBytesPerNode: heapBytes / nodes.length,
    sockets: Math.max(...reports.map(({ sockets }) => sockets)),
    allKnown: reports.every(({ alive }) => alive === nodes.length),
    distributionMs,
    missing: options.applies * nodes.length - distributionMs.length,
  };
}

/**
 * Measures the times until revisions are in force. The first revision is not
 * counted, since it carries the complete configuration.
 */
async function measureDistribution(
  workers: readonly ChildProcess[],
  applies: number,
): Promise<readonly number[]> {
  const times: number[] = [];
  await runApply(workers, 1);
  for (let revision = 2; revision <= applies + 1; revision++) {
    times.push(...await runApply(workers, revision));
  }
  return times.sort((a, b) => a - b);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function computePercentile(
  sorted: readonly number[],
  percentile: number,
): number {
  const index = Math.ceil(sorted.length * percentile / 100) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

function formatResult(result: Result): string {
  const { layout, distributionMs } = result;
  const nodes = layout.zones * layout.nodesPerZone;
  return [
    `${layout.zones}x${layout.nodesPerZone}`.padEnd(6),
    String(nodes).padStart(5),
    (result.meanBytesPerSecond / 1_000).toFixed(2).padStart(9),
    (result.maxBytesPerSecond / 1_000).toFixed(2).padStart(6),
    (result.cpuShare * 100).toFixed(2).padStart(7),
    (result.heapBytesPerNode / 1e6).toFixed(1).padStart(8),
    String(result.sockets).padStart(7),
    String(result.allKnown).padStart(5),
    computePercentile(distributionMs, 50).toFixed(0).padStart(6),
    computePercentile(distributionMs, 99).toFixed(0).padStart(6),
    (distributionMs.at(-1) ?? 0).toFixed(0).padStart(6),
    String(result.missing).padStart(7),
  ].join(" ");
}

async function runMeasurement(): Promise<void> {
  const { values } = parseArgs({
    options: {
      layouts: { type: "string", default: "1x3,3x3,3x9,4x20" },
      change: { type: "string", default: "1" },
      loads: { type: "string", default: "14" },
      seconds: { type: "string", default: "15" },
      applies: { type: "string", default: "5" },
    },
  });
  process.stdout.write(
    "layout nodes  kB/s avg    max   cpu %  MB heap sockets known  p50ms  p99ms  maxms missing\n",
  );
  const load = {
    loadsPerNode: Number(values.loads),
    changeShare: Number(values.change),
    endpoints,
  };
  for (const text of values.layouts.split(",")) {
    const [zones = 1, nodesPerZone = 1] = text.split("x").map(Number);
    const result = await measureLayout({ zones, nodesPerZone }, {
      load,
      seconds: Number(values.seconds),
      applies: Number(values.applies),
    });
    process.stdout.write(formatResult(result) + "\n");
  }
}

await runMeasurement();

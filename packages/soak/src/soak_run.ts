/**
 * One soak: starts the system, lets callers and faults run, checks the promises.
 */

import { Random } from "@almondcrank/common/random.ts";
import { createFaultPlan, type PlannedFault } from "./fault_plan.ts";
import { FaultRunner } from "./fault_runner.ts";
import { FaultyProxy, type PlantedFault } from "./faulty_proxy.ts";
import { LoadBalancer } from "./load_balancer.ts";
import { checkPromises, type Finding } from "./promises.ts";
import type { CallerRecord } from "./records.ts";
import { runCallers } from "./soak_callers.ts";
import { SoakSystem, streamEvents } from "./soak_system.ts";

/** What to play. */
export interface SoakOptions {
  readonly seed: number;
  readonly lengthMs: number;
  readonly nodes: number;
  readonly callers: number;
  /** Program and arguments of a node, after the runtime. */
  readonly command: readonly string[];
  /** A fault in front of the first node, which the checks must find. */
  readonly planted?: PlantedFault;
}

/** What came of it. */
export interface SoakResult {
  readonly findings: readonly Finding[];
  readonly plan: readonly PlannedFault[];
  readonly callers: readonly CallerRecord[];
  /** Folder with the nodes' logs, kept when something was found. */
  readonly folder: string;
}

/** Plays one soak. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = Random.create(options.seed);
  const plan = createFaultPlan(random, options.lengthMs);
  const system = await SoakSystem.open(options);
  try {
    return await playSoak(options, { system, random, plan });
  } catch (thrown) {
    await system.close({ keepLogs: true });
    throw thrown;
  }
}

interface OpenSoak {
  readonly system: SoakSystem;
  readonly random: Random;
  readonly plan: readonly PlannedFault[];
}

async function playSoak(
  options: SoakOptions,
  { system, random, plan }: OpenSoak,
): Promise<SoakResult> {
  const runner = FaultRunner.create(system);
  const nodes = system.nodes.map(({ process: { place } }) => ({
    name: place.name,
    address: place.callers,
    readinessAddress: place.readiness,
  }));
  const front = await openFront(options, nodes[0]?.address);
  const [first, ...others] = nodes;
  const fronted = first === undefined || front === undefined
    ? nodes
    : [{ ...first, address: front.address }, ...others];
  const balancer = LoadBalancer.create(fronted);
  const startedAt = performance.now();
  const [callers] = await Promise.all([
    runCallers({ ...options, balancer, random }),
    runner.run(plan),
  ]);
  const calmFrom = Math.max(
    startedAt,
    ...runner.spans.map(({ to }) => to),
  );
  const findings = checkPromises({
    callers,
    runs: system.listRuns(),
    usage: system.listUsage(),
    faults: runner.spans,
    withdrawals: runner.withdrawals,
    faultsEndAt: calmFrom,
    events: streamEvents,
  });
  balancer.dispose();
  front?.close();
  await system.close({ keepLogs: findings.length > 0 });
  return { findings, plan, callers, folder: system.folder };
}

async function openFront(
  { planted }: SoakOptions,
  node: string | undefined,
): Promise<FaultyProxy | undefined> {
  if (planted === undefined || node === undefined) return undefined;
  return await FaultyProxy.open(node, planted);
}

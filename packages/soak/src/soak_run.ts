/**
 * Runs one soak: starts the system, runs callers and faults, checks the promises.
 */

import { Random } from "@almondcrank/common/random.ts";
import {
  createEndPlan,
  createFaultPlan,
  type PlannedFault,
} from "./fault_plan.ts";
import { FaultRunner } from "./fault_runner.ts";
import { FaultyProxy, type PlantedFault } from "./faulty_proxy.ts";
import { LoadBalancer } from "./load_balancer.ts";
import { checkPromises } from "./promises.ts";
import type { CallerRecord, Finding } from "./records.ts";
import type { ConnectionEnd } from "./replica_ends.ts";
import { runCallers } from "./soak_callers.ts";
import { SoakSystem, streamEvents } from "./soak_system.ts";

/** Probability that the nodes of a soak have few retries. */
const scarceRetriesProbability = 0.5;

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly lengthMs: number;
  readonly nodes: number;
  readonly callers: number;
  /** Number of requests that are sent at least, whatever the length. */
  readonly minRequests?: number;
  /** Arguments of Node.js for a node: program and its arguments. */
  readonly command: readonly string[];
  /** The same for every second node; `command` by default. */
  readonly besideCommand?: readonly string[];
  /**
   * How connections end where the plan ends replicas in the middle of their
   * answers; by default it is the usual plan, which does not.
   */
  readonly replicaEnds?: ConnectionEnd;
  /** Share of the replicas' answers without a length; 0 by default. */
  readonly unframedShare?: number;
  /**
   * Faults of a proxy in front of the first node, which the checks must find.
   */
  readonly planted?: readonly PlantedFault[];
}

/** Findings of a soak, with its plan and its callers' records. */
export interface SoakResult {
  readonly findings: readonly Finding[];
  readonly plan: readonly PlannedFault[];
  readonly callers: readonly CallerRecord[];
  /** Whether the nodes had few retries. */
  readonly hasScarceRetries: boolean;
  /** Folder with the nodes' logs, kept only if there are findings. */
  readonly folder: string;
}

/** Runs one soak; if it fails, ends the system and keeps the nodes' logs. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = Random.create(options.seed);
  const createPlan = options.replicaEnds === undefined
    ? createFaultPlan
    : createEndPlan;
  const plan = createPlan(random, options.lengthMs);
  const hasScarceRetries = random.next() < scarceRetriesProbability;
  const system = await SoakSystem.open({ ...options, hasScarceRetries });
  try {
    const result = await playSoak(options, { system, random, plan });
    return { ...result, hasScarceRetries };
  } catch (thrown) {
    await system.close({ keepLogs: true });
    throw thrown;
  }
}

interface SoakContext {
  readonly system: SoakSystem;
  readonly random: Random;
  readonly plan: readonly PlannedFault[];
}

async function playSoak(
  options: SoakOptions,
  { system, random, plan }: SoakContext,
): Promise<Omit<SoakResult, "hasScarceRetries">> {
  const runner = FaultRunner.create(system, options.replicaEnds ?? "reset");
  const nodes = system.nodes.map(({ process: { place } }) => ({
    name: place.name,
    address: place.callers,
    readinessAddress: place.readiness,
  }));
  const proxy = await openFaultyProxy(options, nodes[0]?.address);
  const [first, ...others] = nodes;
  const balancedNodes = first === undefined || proxy === undefined
    ? nodes
    : [{ ...first, address: proxy.address }, ...others];
  const balancer = LoadBalancer.create(balancedNodes);
  const startedAt = performance.now();
  const [callers] = await Promise.all([
    runCallers({
      ...options,
      balancer,
      random,
      takeCrashingPart: () => system.takeCrashingPart(),
    }),
    runner.run(plan),
  ]);
  const faultsEndAt = Math.max(
    startedAt,
    ...runner.spans.map(({ to }) => to),
  );
  const findings = checkPromises({
    callers,
    runs: system.listRuns(),
    usage: system.listUsage(),
    faults: runner.spans,
    withdrawals: runner.withdrawals,
    crashes: runner.crashes,
    limits: runner.limits,
    promptArrivals: system.listPromptArrivals(),
    faultsEndAt,
    events: streamEvents,
  });
  balancer.dispose();
  proxy?.close();
  await system.close({ keepLogs: findings.length > 0 });
  return { findings, plan, callers, folder: system.folder };
}

async function openFaultyProxy(
  { planted }: SoakOptions,
  node: string | undefined,
): Promise<FaultyProxy | undefined> {
  if (planted === undefined || node === undefined) return undefined;
  return await FaultyProxy.open(node, planted);
}

/**
 * Dependencies of the request relays, and the result of a relay.
 */

import type { BodyBudget } from "@almondcrank/common/body_budget.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { CandidateOrder } from "../choice/candidate_order.ts";
import type { PrefixIndex } from "../choice/prefix_index.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import type { StreamOriginDirectory } from "../choice/stream_origins.ts";
import type { VersionKnowledge } from "../cluster/version_archive.ts";
import type { WorkMeter } from "../duties/work_meter.ts";
import type { PartQuarantine } from "@almondcrank/routing/quarantine/part_quarantine.ts";
import type { CostModel } from "@almondcrank/routing/placement/cost_model.ts";
import type { ServiceReach } from "@almondcrank/routing/reach/service_reach.ts";
import type { RetryBudget } from "@almondcrank/routing/repeats/retry_budget.ts";
import type { VersionGate } from "../rollouts/version_gate.ts";
import type { HandOver } from "./hand_over.ts";
import type { LifeChecks } from "./life_checks.ts";
import type { StreamLines } from "./stream_lines.ts";
import type { ReplicaSender } from "./replica_sender.ts";

/** Counts requests that replicas began to run, by tenant. */
export interface RunCounter {
  recordRun(tenant: string | undefined): void;
}

/** Dependencies that all relays of a node share. */
export interface RelayServices {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly zone: string;
  /** Whether the system has no other node, so that nothing keeps nodes apart. */
  readonly isSoleNode: boolean;
  readonly table: ReplicaTable;
  readonly prefixes: PrefixIndex;
  /** Which replicas requests may reach while a service changes its version. */
  readonly gate: VersionGate;
  readonly order: CandidateOrder;
  /** What requests cost, as learnt. */
  readonly costs: CostModel;
  readonly sender: ReplicaSender;
  /** Checks whether replicas are there whose answers ended with a connection. */
  readonly lifeChecks: LifeChecks;
  /** Which services this node reaches, and the way to peers if it doesn't. */
  readonly reach: ServiceReach;
  readonly handOver: HandOver;
  readonly budget: RetryBudget;
  readonly quarantine: PartQuarantine;
  readonly origins: StreamOriginDirectory;
  readonly versions: VersionKnowledge;
  readonly runs: RunCounter;
  /** Memory of the answers, and parts of answers, that this node keeps. */
  readonly answers: BodyBudget;
  readonly work: WorkMeter;
  /** Lines of streams that wait for a place. */
  readonly lines: StreamLines;
}

/** How a request ended, for its log lines, its metrics and its allowance. */
export interface RelayResult {
  /** Status sent to the caller; 0 if none was or the response was cut. */
  readonly status: number;
  /** Whether some replica may have run the request. */
  readonly mayHaveRun: boolean;
  /** Number of sends to replicas. */
  readonly sends: number;
  /** `answered`, `caller_gone`, or why the request failed. */
  readonly reason: string;
}

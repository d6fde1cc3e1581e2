/**
 * Services that all components of a node share.
 */

import { getHeapStatistics } from "node:v8";
import { type Clock, SystemClock } from "@almondcrank/common/clock.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { ServerConnections } from "@almondcrank/common/server_connections.ts";
import type { NodeSettings } from "./settings.ts";

/** Settings, time, randomness, hashing, metrics and log of one process. */
export interface NodeServices {
  readonly settings: NodeSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Connections of all servers of the process. */
  readonly connections: ServerConnections;
}

/** Creates the services; waits until the hash functions are compiled. */
export async function openNodeServices(
  settings: NodeSettings,
  log: Log,
): Promise<NodeServices> {
  const clock = SystemClock.create();
  const { maxWaitingConnections, maxEndingConnections } = settings.limits;
  return {
    settings,
    clock,
    random: Random.create(),
    hasher: await openHasher(),
    metrics: Metrics.create(),
    log,
    connections: ServerConnections.create({
      clock,
      memoryBytes: getHeapStatistics().heap_size_limit,
      maxWaiting: maxWaitingConnections,
      maxEnding: maxEndingConnections,
    }),
  };
}

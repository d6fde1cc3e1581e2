/**
 * Dependencies that all stream runs of a node share.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Engine } from "@almondcrank/endpoint/engine.ts";
import type { LoadTable } from "../choice/load_table.ts";
import type { PrefixIndex } from "../choice/prefix_index.ts";
import type { PartQuarantine } from "../quarantine/part_quarantine.ts";
import type { Chooser } from "../choice/replica_chooser.ts";
import type { RetryLimiter } from "../limits/request_limits.ts";
import type { StreamLimits } from "./stream_limits.ts";

/** Dependencies shared by all runs of a node. */
export interface StreamRunServices {
  readonly engines: (endpoint: Endpoint) => Engine;
  readonly loads: LoadTable;
  readonly prefixes: PrefixIndex;
  readonly chooser: Chooser;
  readonly retries: RetryLimiter;
  readonly quarantine: PartQuarantine;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly limits: StreamLimits;
}

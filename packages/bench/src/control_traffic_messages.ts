/**
 * Messages between `control_traffic.ts` and its worker processes.
 */

import type { ByteCount } from "@almondcrank/membership/byte_meter.ts";

/** A node that a worker runs. */
export interface WorkerNode {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Address of its peers' listener. */
  readonly address: string;
}

/** Amount of data that the nodes of a worker publish. */
export interface WorkerLoad {
  /** Endpoints whose load each node publishes. */
  readonly loadsPerNode: number;
  /** Share of loads that change materially in a second. */
  readonly changeShare: number;
  /** Endpoints in the configuration. */
  readonly endpoints: number;
}

/** Commands from the measuring process. */
export type WorkerCommand =
  | {
    readonly kind: "start";
    readonly nodes: readonly WorkerNode[];
    readonly seeds: readonly string[];
    readonly load: WorkerLoad;
  }
  | { readonly kind: "apply"; readonly revision: number }
  | { readonly kind: "report" };

/** Traffic of one node since its start, and its view of the cluster. */
export interface NodeReport {
  readonly node: string;
  readonly bytes: ByteCount;
  /** Number of open sockets. */
  readonly sockets: number;
  /** Number of members that the node considers alive. */
  readonly alive: number;
}

/** Reports to the measuring process. */
export type WorkerReport =
  | { readonly kind: "started" }
  | {
    readonly kind: "in_force";
    readonly node: string;
    readonly revision: number;
    /** Wall-clock time in milliseconds at which the revision is in force. */
    readonly at: number;
  }
  | {
    readonly kind: "report";
    readonly nodes: readonly NodeReport[];
    /** CPU time of the worker since its start, in microseconds. */
    readonly cpuMicros: number;
    readonly heapBytes: number;
    readonly residentBytes: number;
  };

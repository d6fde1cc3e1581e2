/**
 * Messages between the control-traffic measurement and its worker processes.
 */

import type { ByteCount } from "@almondcrank/membership/byte_meter.ts";

/** One node to run. */
export interface WorkerNode {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
}

/** What the nodes of a worker publish. */
export interface WorkerLoad {
  /** Endpoints whose load each node publishes. */
  readonly loadsPerNode: number;
  /** Share of loads that change materially in a second. */
  readonly changeShare: number;
  /** Endpoints in the configuration. */
  readonly endpoints: number;
}

/** Orders of the measuring process. */
export type WorkerCommand =
  | {
    readonly kind: "start";
    readonly nodes: readonly WorkerNode[];
    readonly seeds: readonly string[];
    readonly load: WorkerLoad;
  }
  | { readonly kind: "apply"; readonly revision: number }
  | { readonly kind: "report" };

/** Figures of one node since its start. */
export interface NodeReport {
  readonly node: string;
  readonly bytes: ByteCount;
  readonly sockets: number;
  readonly alive: number;
}

/** Answers to the measuring process. */
export type WorkerReport =
  | { readonly kind: "started" }
  | {
    readonly kind: "in_force";
    readonly node: string;
    readonly revision: number;
    /** Wall time in milliseconds. */
    readonly at: number;
  }
  | {
    readonly kind: "report";
    readonly nodes: readonly NodeReport[];
    readonly cpuMicros: number;
    readonly heapBytes: number;
    readonly residentBytes: number;
  };

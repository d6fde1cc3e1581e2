/**
 * Memory of a process, as the kernel counts it.
 */

import { readFileSync } from "node:fs";

/** Resident memory of a process, in MiB. */
export interface ProcessMemory {
  readonly now: number;
  readonly peak: number;
}

/** Reads the resident memory of a process that runs. */
export function readProcessMemory(pid: number | undefined): ProcessMemory {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const read = (pattern: RegExp): number =>
    Number(pattern.exec(status)?.[1]) / 1_024;
  return { now: read(/VmRSS:\s+(\d+)/), peak: read(/VmHWM:\s+(\d+)/) };
}

/**
 * Watches what a process holds while it runs: resident memory, what the kernel holds
 * for its sockets and nobody has read, and open descriptors.
 */

import { readdirSync, readFileSync } from "node:fs";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { readProcessMemory } from "./process_memory.ts";

const periodMs = 50;
const mib = 1_048_576;
/** Fields of a line of /proc/net/tcp. */
const localField = 1;
const queuesField = 4;

/** What a process held at most. */
export interface Peaks {
  /** Resident and unread bytes together. */
  readonly bytes: number;
  readonly descriptors: number;
}

/** Watch over one process. */
export class MemoryWatch implements Disposable {
  readonly #pid: number;
  readonly #ports: ReadonlySet<string>;
  readonly #timer: NodeJS.Timeout;
  #bytes = 0;
  #descriptors = 0;

  private constructor(pid: number, addresses: readonly string[]) {
    this.#pid = pid;
    this.#ports = new Set(addresses.map(formatKernelAddress));
    this.#timer = setInterval(() => this.#sample(), periodMs);
  }

  /** Begins to watch; `addresses` are those at which the process listens. */
  static create(pid: number, addresses: readonly string[]): MemoryWatch {
    return new MemoryWatch(pid, addresses);
  }

  get peaks(): Peaks {
    return { bytes: this.#bytes, descriptors: this.#descriptors };
  }

  dispose(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const { now } = readProcessMemory(this.#pid);
    this.#bytes = Math.max(this.#bytes, now * mib + this.#readUnread());
    const { length } = readdirSync(`/proc/${this.#pid}/fd`);
    this.#descriptors = Math.max(this.#descriptors, length);
  }

  /** Reads the bytes that wait in the kernel at the addresses of the process. */
  #readUnread(): number {
    const lines = readFileSync("/proc/net/tcp", "utf8").split("\n").slice(1);
    return lines.reduce((sum, line) => {
      const fields = line.trim().split(/\s+/);
      if (!this.#ports.has(fields[localField] ?? "")) return sum;
      const [, unread = "0"] = (fields[queuesField] ?? "").split(":");
      return sum + parseInt(unread, 16);
    }, 0);
  }
}

/** Formats an IPv4 address and port as /proc/net/tcp has them. */
function formatKernelAddress(address: string): string {
  const [ip = "", port = ""] = address.split(":");
  const bytes = ip.split(".").reverse().map(Number);
  const host = Buffer.from(bytes).toString("hex").toUpperCase();
  return `${host}:${Number(port).toString(16).toUpperCase().padStart(4, "0")}`;
}

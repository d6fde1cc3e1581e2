/**
 * A crowd of callers that don't behave, as a process of its own, so that it takes
 * nothing from the loop of the test that it is sent by.
 *
 * Each caller sends the head of a request and then the same bytes again and again,
 * as fast as its connection takes them, and never ends its body. A caller whose
 * connection was closed opens the next one after a pause.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { openSocket } from "./raw_http.ts";

/** What each caller of a crowd sends. */
export interface CrowdOrder {
  readonly address: string;
  readonly callers: number;
  /** Head of the request, with the empty line at its end. */
  readonly head: string;
  /** Bytes that follow, as text of which each repetition is a valid part of a body. */
  readonly part: string;
  /** How often the part is sent on one connection; without end if undefined. */
  readonly parts?: number;
  /** Pause before a caller whose connection was closed comes back. */
  readonly pauseMs: number;
}

/** Least size of one write. */
const writeBytes = 65_536;
/** A crowd ends by itself after that time. */
const maxCrowdMs = 60_000;

/** A crowd that runs. */
export class Crowd {
  readonly #child: ChildProcess;

  private constructor(child: ChildProcess) {
    this.#child = child;
  }

  /** Starts a crowd; resolves once all its callers have begun. */
  static async open(order: CrowdOrder): Promise<Crowd> {
    const child = spawn(process.execPath, [
      "--import",
      "tsx",
      fileURLToPath(import.meta.url),
      JSON.stringify(order),
    ], { stdio: ["ignore", "pipe", "inherit"] });
    await once(child.stdout, "data");
    return new Crowd(child);
  }

  /** Ends the crowd with all its connections. */
  async close(): Promise<void> {
    if (this.#child.exitCode !== null) return;
    this.#child.kill("SIGKILL");
    await once(this.#child, "exit");
  }
}

/** Sends as one caller until the process ends. */
async function runCaller(order: CrowdOrder, bytes: Buffer): Promise<void> {
  const writes = order.parts === undefined
    ? Infinity
    : Math.ceil(order.parts * order.part.length / bytes.length);
  while (true) {
    const socket = openSocket(order.address);
    socket.on("error", () => undefined);
    // What it is answered is read, so that it doesn't wait for that.
    socket.resume();
    socket.write(order.head);
    let sent = 0;
    const sendMore = (): void => {
      while (sent < writes && !socket.destroyed) {
        sent += 1;
        if (!socket.write(bytes)) break;
      }
    };
    socket.on("drain", sendMore);
    sendMore();
    await once(socket, "close").catch(() => undefined);
    await sleep(order.pauseMs);
  }
}

function runCrowd(order: CrowdOrder): void {
  const times = order.parts === undefined
    ? Math.ceil(writeBytes / order.part.length)
    : Math.min(order.parts, Math.ceil(writeBytes / order.part.length));
  const bytes = Buffer.from(order.part.repeat(times));
  for (let at = 0; at < order.callers; at += 1) void runCaller(order, bytes);
  setTimeout(() => process.exit(), maxCrowdMs);
  setTimeout(() => process.stdout.write("begun\n"), order.pauseMs);
}

const [, program, order] = process.argv;
if (program === fileURLToPath(import.meta.url) && order !== undefined) {
  runCrowd(JSON.parse(order) as CrowdOrder);
}

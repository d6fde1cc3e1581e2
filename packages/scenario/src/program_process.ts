/**
 * Processes of a scenario: the product's and the stand-ins' programs.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";

const startTimeoutMs = 20_000;
const endTimeoutMs = 30_000;

/** How to start a program. */
export interface ProgramProcessOptions {
  /** Bundled program, such as `dist/almondcrank.cjs`. */
  readonly program: string;
  readonly args: readonly string[];
  /** Text on standard output that says that it listens. */
  readonly readyText: string;
}

/** A running program. */
export class ProgramProcess {
  readonly #child: ChildProcess;
  #log = "";
  #exitCode: number | null | undefined;

  private constructor(child: ChildProcess) {
    this.#child = child;
    child.stdout?.on("data", (data) => this.#log += data);
    child.stderr?.on("data", (data) => this.#log += data);
    child.once("exit", (code) => this.#exitCode = code);
  }

  /** Starts a program and waits until it listens. */
  static async open(options: ProgramProcessOptions): Promise<ProgramProcess> {
    const { program, args, readyText: ready } = options;
    const child = spawn(process.execPath, [program, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const opened = new ProgramProcess(child);
    const end = Date.now() + startTimeoutMs;
    while (!opened.#log.includes(ready)) {
      if (opened.#exitCode !== undefined || Date.now() > end) {
        child.kill("SIGKILL");
        throw new Error(`${program} did not start:\n${opened.#log}`);
      }
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    return opened;
  }

  /** Everything written so far. */
  get log(): string {
    return this.#log;
  }

  get isRunning(): boolean {
    return this.#exitCode === undefined;
  }

  /** Sends a signal. */
  signal(signal: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGTERM"): void {
    this.#child.kill(signal);
  }

  /** Waits for the end and gives the exit code; null after a signal. */
  async waitForExit(): Promise<number | null> {
    if (this.#exitCode !== undefined) return this.#exitCode;
    const timer = setTimeout(() => this.#child.kill("SIGKILL"), endTimeoutMs);
    await once(this.#child, "exit");
    clearTimeout(timer);
    return this.#exitCode ?? null;
  }

  /** Ends it at once. */
  async kill(): Promise<void> {
    if (this.#exitCode !== undefined) return;
    this.#child.kill("SIGCONT");
    this.#child.kill("SIGKILL");
    await this.waitForExit();
  }
}

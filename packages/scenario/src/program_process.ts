/**
 * Child processes of a scenario, which run the bundled programs.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";

const startTimeoutMs = 20_000;
const exitTimeoutMs = 30_000;

/** How to start a program. */
export interface ProgramProcessOptions {
  /** Bundled program, such as `dist/almondcrank.cjs`. */
  readonly program: string;
  readonly args: readonly string[];
  /** Text in the output from which on the program listens. */
  readonly readyText: string;
}

/** A child process that runs a program, with its output. */
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

  /** Starts a program and waits until it listens; throws after 20 s. */
  static async open(options: ProgramProcessOptions): Promise<ProgramProcess> {
    const { program, args, readyText } = options;
    const child = spawn(process.execPath, [program, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const started = new ProgramProcess(child);
    const deadline = Date.now() + startTimeoutMs;
    while (!started.#log.includes(readyText)) {
      if (started.#exitCode !== undefined || Date.now() > deadline) {
        child.kill("SIGKILL");
        throw new Error(`${program} did not start:\n${started.#log}`);
      }
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    return started;
  }

  /** Standard output and standard error so far. */
  get log(): string {
    return this.#log;
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  get isRunning(): boolean {
    return this.#exitCode === undefined;
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /**
   * Waits until the process exits; kills it after 30 s.
   *
   * @returns Exit code, null if a signal ended the process.
   */
  async waitForExit(): Promise<number | null> {
    if (this.#exitCode !== undefined) return this.#exitCode;
    const timer = setTimeout(() => this.#child.kill("SIGKILL"), exitTimeoutMs);
    await once(this.#child, "exit");
    clearTimeout(timer);
    return this.#exitCode ?? null;
  }

  /** Kills the process, also when it is stopped, and waits until it exits. */
  async kill(): Promise<void> {
    if (this.#exitCode !== undefined) return;
    this.#child.kill("SIGCONT");
    this.#child.kill("SIGKILL");
    await this.waitForExit();
  }
}

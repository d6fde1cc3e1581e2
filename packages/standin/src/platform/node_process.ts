/**
 * A gateway node as a child process on loopback.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { formatNodeSettings, type NodePlace } from "./node_settings.ts";

const settingsVariable = "ALMONDCRANK_SETTINGS";
const startTimeoutMs = 20_000;
const startPollMs = 10;

/** Options of a node process. */
export interface NodeProcessOptions {
  readonly place: NodePlace;
  /** Arguments of the Node.js executable: the program and its arguments. */
  readonly command: readonly string[];
  /** Folder for the settings file, which is named after the node. */
  readonly folder: string;
  readonly bounds?: Readonly<Record<string, unknown>>;
  /** Called with each chunk of the program's standard output and error. */
  readonly onOutput?: (text: string) => void;
}

/** One node; a start after an exit is a new process at the same addresses. */
export class NodeProcess {
  readonly place: NodePlace;
  readonly #options: NodeProcessOptions;
  #child: ChildProcess | undefined;
  #starts = 0;

  private constructor(options: NodeProcessOptions) {
    this.place = options.place;
    this.#options = options;
  }

  static create(options: NodeProcessOptions): NodeProcess {
    return new NodeProcess(options);
  }

  /** Process id; undefined while the process does not run. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Whether the process exists, even if suspended by SIGSTOP. */
  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /**
   * Starts the process and waits until it logs that the gateway has started.
   *
   * Throws when the process exits before that or takes more than 20 seconds.
   */
  async start(): Promise<void> {
    const { place, command, folder, bounds, onOutput } = this.#options;
    const path = join(folder, `${place.name}.json`);
    const isFirstStart = this.#starts === 0;
    writeFileSync(
      path,
      formatNodeSettings(place, {
        isFirstStart,
        ...(bounds === undefined ? {} : { bounds }),
      }),
    );
    this.#starts += 1;
    const child = spawn(process.execPath, command, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, [settingsVariable]: path },
    });
    this.#child = child;
    let output = "";
    const record = (data: Buffer): void => {
      const text = data.toString("utf8");
      if (!output.includes("gateway started.")) output += text;
      onOutput?.(text);
    };
    child.stdout.on("data", record);
    child.stderr.on("data", record);
    child.once("exit", () => {
      if (this.#child === child) this.#child = undefined;
    });
    const endsAt = performance.now() + startTimeoutMs;
    while (!output.includes("gateway started.")) {
      if (this.#child !== child || performance.now() > endsAt) {
        child.kill("SIGKILL");
        throw new Error(`${place.name} did not start:\n${output}`);
      }
      await new Promise((resolve) => setTimeout(resolve, startPollMs));
    }
  }

  /** Sends a signal to the process, if it runs. */
  signal(
    signal: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGTERM" | "SIGHUP",
  ): void {
    this.#child?.kill(signal);
  }

  /** Waits until the process has exited. */
  async waitForExit(): Promise<void> {
    const child = this.#child;
    if (child !== undefined) await once(child, "exit");
  }

  /** Kills the process, even if suspended, and waits until it has exited. */
  async kill(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.waitForExit();
  }
}

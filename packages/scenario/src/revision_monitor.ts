/**
 * Watches, all through a scenario, that no node's revision goes back.
 */

import type { RunningFleet } from "./running_fleet.ts";

const pollMs = 100;
const answerTimeoutMs = 1_000;

/** Highest revision seen of one process of a node. */
interface Seen {
  readonly incarnation: string;
  readonly revision: number;
}

/** Observer of all nodes of a fleet. */
export class RevisionMonitor {
  readonly #fleet: RunningFleet;
  readonly #seen = new Map<number, Seen>();
  readonly #findings: string[] = [];
  readonly #task: Promise<void>;
  #stopped = false;

  private constructor(fleet: RunningFleet) {
    this.#fleet = fleet;
    this.#task = this.#run();
  }

  static create(fleet: RunningFleet): RevisionMonitor {
    return new RevisionMonitor(fleet);
  }

  get findings(): readonly string[] {
    return this.#findings;
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await Promise.all(
        this.#fleet.runningNodes.map((node) => this.#check(node)),
      );
      await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
  }

  async #check(node: number): Promise<void> {
    const answer = await Promise.race([
      this.#fleet.callOperator(node, "/status").catch(() => undefined),
      new Promise<undefined>((resolve) =>
        setTimeout(() => resolve(undefined), answerTimeoutMs)
      ),
    ]);
    if (answer === undefined || answer.status !== 200) return;
    const { incarnation, revision, readiness } = answer.body as {
      incarnation: string;
      revision: number;
      readiness: string;
    };
    const seen = this.#seen.get(node);
    // A process that is still starting has nothing in force yet.
    if (readiness === "starting") return;
    if (seen !== undefined && revision < seen.revision) {
      this.#findings.push(
        `node ${node} went back from revision ${seen.revision} to ${revision}`,
      );
    }
    this.#seen.set(node, { incarnation, revision });
  }
}

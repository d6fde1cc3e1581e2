/**
 * Monitors, during a whole scenario, that no node's revision decreases.
 */

import type { RunningFleet } from "./running_fleet.ts";

const pollMs = 100;
const responseTimeoutMs = 1_000;

/** Last revision that a node reported, and the process that reported it. */
interface SeenRevision {
  readonly incarnation: string;
  readonly revision: number;
}

/** Polls the status of all running nodes of a fleet from its creation on. */
export class RevisionMonitor {
  readonly #fleet: RunningFleet;
  readonly #seenRevisions = new Map<number, SeenRevision>();
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

  /** Decreases seen so far. */
  get findings(): readonly string[] {
    return this.#findings;
  }

  /** Stops polling; resolves after the last poll. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#task;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await Promise.all(
        this.#fleet.runningNodes.map((node) => this.#checkNode(node)),
      );
      await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
  }

  async #checkNode(node: number): Promise<void> {
    const response = await Promise.race([
      this.#fleet.callOperator(node, "/status").catch(() => undefined),
      new Promise<undefined>((resolve) =>
        setTimeout(() => resolve(undefined), responseTimeoutMs)
      ),
    ]);
    if (response === undefined || response.status !== 200) return;
    const { incarnation, revision, readiness } = response.body as {
      incarnation: string;
      revision: number;
      readiness: string;
    };
    const previous = this.#seenRevisions.get(node);
    // A node that is still starting has no revision in force yet.
    if (readiness === "starting") return;
    if (previous !== undefined && revision < previous.revision) {
      this.#findings.push(
        `node ${node} went back from revision ${previous.revision} to ${revision}`,
      );
    }
    this.#seenRevisions.set(node, { incarnation, revision });
  }
}

/**
 * Asks replicas whether their processes are still there, one question at a time for
 * each replica. An answer serves all checks that were due before its question was
 * sent, so that many ends at once cost one question.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { LifeAnswer } from "./connection_end.ts";

/** Least time between two questions to one replica, in milliseconds. */
const minPauseMs = 50;
/** Time in which further checks become due that share a question. */
const gatherMs = 5;

/** Replica to ask. */
export interface LifeQuestion {
  readonly state: ReplicaState;
  /** Path of its service at which it tells whether it is healthy. */
  readonly healthPath: string;
}

/** One check. */
export interface LifeCheck extends LifeQuestion {
  /** Time after which the question may be sent, in milliseconds. */
  readonly settleMs: number;
  /** Ends the check. */
  readonly signal: AbortSignal;
}

/** Dependencies of the checks. */
export interface LifeChecksOptions {
  readonly clock: Clock;
  /** Sends one question; never rejects. */
  readonly ask: (question: LifeQuestion) => Promise<LifeAnswer>;
}

interface Waiting {
  readonly dueAt: number;
  readonly settle: (answer: LifeAnswer | undefined) => void;
}

/** Checks of one node. */
export class LifeChecks {
  readonly #options: LifeChecksOptions;
  /** Checks of each replica that is being asked, by its key. */
  readonly #waiting = new Map<string, Set<Waiting>>();

  private constructor(options: LifeChecksOptions) {
    this.#options = options;
  }

  static create(options: LifeChecksOptions): LifeChecks {
    return new LifeChecks(options);
  }

  /** Asks a replica; `undefined` if the check was ended before. */
  check(
    { state, healthPath, settleMs, signal }: LifeCheck,
  ): Promise<LifeAnswer | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const onAbort = (): void => waiting.settle(undefined);
      const waiting: Waiting = {
        dueAt: this.#options.clock.now() + settleMs,
        settle: (answer) => {
          signal.removeEventListener("abort", onAbort);
          this.#waiting.get(state.key)?.delete(waiting);
          resolve(answer);
        },
      };
      signal.addEventListener("abort", onAbort);
      const others = this.#waiting.get(state.key);
      if (others !== undefined) return void others.add(waiting);
      this.#waiting.set(state.key, new Set([waiting]));
      void this.#run({ state, healthPath });
    });
  }

  /** Asks a replica as long as checks of it wait. */
  async #run(question: LifeQuestion): Promise<void> {
    const { clock, ask } = this.#options;
    const { key } = question.state;
    const all = this.#waiting.get(key) ?? new Set();
    let askedAt = -Infinity;
    while (all.size > 0) {
      const firstAt = Math.min(...[...all].map(({ dueAt }) => dueAt));
      const dueAt = Math.max(firstAt + gatherMs, askedAt + minPauseMs);
      const waitMs = dueAt - clock.now();
      if (waitMs > 0) {
        await clock.sleep(waitMs);
        continue;
      }
      askedAt = clock.now();
      const due = [...all].filter(({ dueAt }) => dueAt <= askedAt);
      const answer = await ask(question);
      for (const { settle } of due) settle(answer);
    }
    this.#waiting.delete(key);
  }
}

/**
 * Measures how much engine time the requests of each service need.
 *
 * Reading a prompt and making output tokens are weighed by the time they take an
 * engine that is moderately busy. The sum over a window, divided by it, is the
 * number of replicas that would be busy all the time. Nodes tell each other their
 * sums, so each knows the work of all.
 */

import { prefillTokensPerMs } from "../choice/engine_choice.ts";
import { SlidingWindowCounter } from "../limits/sliding_window_counter.ts";

/** Time of one step of an engine, alone and for each request in its batch. */
const stepMs = 2.9;
const stepMsPerRequest = 0.1;
/** Requests of a moderate batch, where an engine has places for as many. */
const moderateBatch = 18;
/** Share of its places that a smaller engine has taken at a moderate load. */
const moderateShare = 0.75;
/** Window over which work is averaged. */
const windowMs = 4_000;
/** Least span over which the first work is averaged. */
const minSpanMs = 1_000;

/** Tokens that a replica has to read or has made. */
export interface EngineTokens {
  readonly prompt: number;
  readonly output: number;
}

/**
 * Engine time of some tokens, in milliseconds.
 *
 * An engine makes one token for each request of its batch in a step, so the fewer
 * requests it takes at once, the longer each token keeps it busy.
 *
 * @param slots Requests that an engine of the service takes at once.
 */
export function computeEngineMs(
  { prompt, output }: EngineTokens,
  slots: number,
): number {
  const batch = Math.max(1, Math.min(moderateBatch, slots * moderateShare));
  const outputMs = (stepMs + stepMsPerRequest * batch) / batch;
  return prompt / prefillTokensPerMs + output * outputMs;
}

interface ServiceWork {
  readonly recent: SlidingWindowCounter;
  ownMs: number;
  /** Time of the first work. */
  firstAt: number | undefined;
}

/** Work of all services. */
export class WorkMeter {
  readonly #services = new Map<string, ServiceWork>();

  static create(): WorkMeter {
    return new WorkMeter();
  }

  /** Records engine time that a request needs. */
  record(service: string, ms: number, now: number): void {
    const work = this.#find(service);
    work.ownMs += ms;
    this.#add(work, ms, now);
  }

  /** Counts work that a peer reports since its last report. */
  applyPeerWork(service: string, ms: number, now: number): void {
    if (ms > 0) this.#add(this.#find(service), ms, now);
  }

  /** Replicas that the present work would keep busy. */
  computeBusyReplicas(service: string, now: number): number {
    const { recent, firstAt } = this.#find(service);
    if (firstAt === undefined) return 0;
    const spanMs = Math.max(minSpanMs, Math.min(windowMs, now - firstAt));
    return recent.read(now) / spanMs;
  }

  /** Own sums since the start, for the peers. */
  listSums(): readonly (readonly [string, number, number])[] {
    return [...this.#services].map((
      [service, work],
    ) => [service, Math.round(work.ownMs), 0]);
  }

  #add(work: ServiceWork, ms: number, now: number): void {
    work.firstAt ??= now;
    work.recent.add(ms, now);
  }

  #find(service: string): ServiceWork {
    let work = this.#services.get(service);
    if (work === undefined) {
      const recent = SlidingWindowCounter.create(windowMs);
      work = { recent, ownMs: 0, firstAt: undefined };
      this.#services.set(service, work);
    }
    return work;
  }
}

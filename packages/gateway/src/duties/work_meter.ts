/**
 * Measures how much engine time the requests of each service need.
 *
 * Prompt and output tokens are converted to the time that they take a moderately
 * loaded engine. The sum over a window, divided by the window's length, is the
 * number of replicas that would be busy all the time. Nodes exchange their sums, so
 * each knows the work of all.
 *
 * Requests that are refused for lack of replicas count too. Otherwise the refusals
 * would hide the demand for which replicas are missing, and go on.
 */

import { assumedTokensPerMs } from "@almondcrank/routing/placement/first_event_model.ts";
import { SlidingWindowCounter } from "@almondcrank/routing/limits/sliding_window_counter.ts";

/** Time of one decoding step: a fixed part, and a part per request in the batch. */
const stepMs = 2.9;
const stepMsPerRequest = 0.1;
/** Batch size at moderate load of an engine that has enough slots for it. */
const moderateBatch = 18;
/** Share of its slots that a smaller engine uses at moderate load. */
const moderateSlotShare = 0.75;
/** Share of a refused request that counts, as many of them are sent once more. */
const refusedShare = 0.5;
/** Window over which work is averaged. */
const windowMs = 4_000;
/** Shortest span over which work is averaged after a service's first request. */
const minSpanMs = 1_000;

/**
 * Bounds of the prefill speed that work is computed with. Prompts that wait for each
 * other in an overload seem to be computed slowly, which must not order many times
 * the replicas.
 */
const minTokensPerMs = assumedTokensPerMs / 2;
const maxTokensPerMs = assumedTokensPerMs * 3;

/** Numbers of prompt tokens to prefill and of output tokens generated. */
export interface EngineTokens {
  readonly prompt: number;
  readonly output: number;
}

/** Properties of the engines that compute the tokens. */
export interface EngineSpeed {
  /** Requests that an engine of the service runs at once. */
  readonly slots: number;
  /** Prompt tokens computed in a millisecond; assumed if left out. */
  readonly tokensPerMs?: number;
}

/**
 * Computes the engine time of some tokens, in milliseconds.
 *
 * A step generates one token for each request in the batch, so a token takes more
 * engine time the smaller the batch.
 */
export function computeEngineMs(
  { prompt, output }: EngineTokens,
  { slots, tokensPerMs = assumedTokensPerMs }: EngineSpeed,
): number {
  const boundedSpeed = Math.min(
    maxTokensPerMs,
    Math.max(minTokensPerMs, tokensPerMs),
  );
  const batch = Math.max(1, Math.min(moderateBatch, slots * moderateSlotShare));
  const outputMs = (stepMs + stepMsPerRequest * batch) / batch;
  return prompt / boundedSpeed + output * outputMs;
}

interface ServiceWork {
  readonly recent: SlidingWindowCounter;
  ownMs: number;
  /** Time of the first recorded work. */
  firstAt: number | undefined;
}

/** Work of all services. Times are monotonic, in milliseconds. */
export class WorkMeter {
  readonly #services = new Map<string, ServiceWork>();

  static create(): WorkMeter {
    return new WorkMeter();
  }

  /** Records the engine time of one request, in milliseconds. */
  record(service: string, ms: number, now: number): void {
    const work = this.#find(service);
    work.ownMs += ms;
    this.#add(work, ms, now);
  }

  /** Records the engine time that a refused request would have taken. */
  recordRefused(service: string, ms: number, now: number): void {
    this.record(service, ms * refusedShare, now);
  }

  /** Adds the engine time of a peer since its last report, in milliseconds. */
  applyPeerWork(service: string, ms: number, now: number): void {
    if (ms > 0) this.#add(this.#find(service), ms, now);
  }

  /** Computes how many replicas the recent work keeps busy all the time. */
  computeBusyReplicas(service: string, now: number): number {
    const { recent, firstAt } = this.#find(service);
    if (firstAt === undefined) return 0;
    const spanMs = Math.max(minSpanMs, Math.min(windowMs, now - firstAt));
    return recent.read(now) / spanMs;
  }

  /**
   * Lists each service with this node's engine time since it started, in
   * milliseconds. The second sum of a report's entry is not used.
   */
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

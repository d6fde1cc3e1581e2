/**
 * A simulated replica for the comparison of placement policies, in virtual time.
 *
 * It prefills prompts one after the other, runs as many requests as it has slots,
 * and is faster or slower than others for good. Its host's slowness changes several
 * times a second. It keeps the shared parts that it has read last.
 */

import type { LoadStatement } from "@almondcrank/routing/placement/load_statement.ts";

/** Time from which on a host has another slowness. */
const noiseMs = 200;
/** Spread of the slowness of a host, of its logarithm. */
const noiseSpread = 0.45;
const stepMs = 3;
const stepMsPerRequest = 0.1;
const baseMs = 15;
const keptParts = 3;

/** One request as the replica sees it. */
export interface PlacedRequest {
  readonly sharedPart: string;
  readonly sharedTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** When a placed request begins and ends, and what it read. */
export interface Placement {
  readonly firstAt: number;
  readonly endAt: number;
  readonly uncachedTokens: number;
  readonly statement: LoadStatement;
}

/** Options of a replica. */
export interface SimulatedReplicaOptions {
  readonly index: number;
  readonly slots: number;
  /** Prompt tokens that a replica of usual speed prefills in a millisecond. */
  readonly tokensPerMs: number;
  /** Lasting slowness; 1 is usual. */
  readonly slowness: number;
  readonly isNoisy: boolean;
}

/** One replica. Times are virtual, in milliseconds. */
export class SimulatedReplica {
  readonly #options: SimulatedReplicaOptions;
  readonly #parts: string[] = [];
  #busyUntil = 0;
  /** Ends of its requests. */
  #ends: number[] = [];

  private constructor(options: SimulatedReplicaOptions) {
    this.#options = options;
  }

  static create(options: SimulatedReplicaOptions): SimulatedReplica {
    return new SimulatedReplica(options);
  }

  /** Computes when a request would have its first event if it came at `now`. */
  computeFirstAt(request: PlacedRequest, now: number): number {
    const { tokensPerMs } = this.#options;
    const startAt = Math.max(now, this.#busyUntil, this.#computeSlotAt(now));
    const uncached = this.#computeUncached(request);
    const prefillMs = uncached / tokensPerMs + this.#countRunning(now);
    return startAt + (baseMs + prefillMs) * this.#readSlowness(startAt);
  }

  /** Takes a request. */
  place(request: PlacedRequest, now: number): Placement {
    const firstAt = this.computeFirstAt(request, now);
    const uncachedTokens = this.#computeUncached(request);
    const running = this.#countRunning(now);
    const tokenMs = stepMs + stepMsPerRequest * (running + 1);
    const runMs = request.outputTokens * tokenMs * this.#options.slowness;
    this.#busyUntil = firstAt - baseMs;
    this.#ends = [...this.#ends.filter((end) => end > now), firstAt + runMs];
    this.#keepPart(request.sharedPart);
    return {
      firstAt,
      endAt: firstAt + runMs,
      uncachedTokens,
      statement: this.composeStatement(now),
    };
  }

  /** Composes what the replica states of its load. */
  composeStatement(now: number): LoadStatement {
    const requests = this.#countRunning(now);
    const { slots } = this.#options;
    const running = Math.min(slots, requests);
    const slowness = this.#readSlowness(now);
    return { running, waiting: requests - running, slots, slowness };
  }

  #countRunning(now: number): number {
    return this.#ends.filter((end) => end > now).length;
  }

  #computeSlotAt(now: number): number {
    const ends = this.#ends.filter((end) => end > now).sort((a, b) => a - b);
    return ends[ends.length - this.#options.slots] ?? now;
  }

  #computeUncached(request: PlacedRequest): number {
    const isKept = this.#parts.includes(request.sharedPart);
    return request.promptTokens - (isKept ? request.sharedTokens : 0);
  }

  #keepPart(part: string): void {
    const index = this.#parts.indexOf(part);
    if (index >= 0) this.#parts.splice(index, 1);
    this.#parts.push(part);
    if (this.#parts.length > keptParts) this.#parts.shift();
  }

  #readSlowness(now: number): number {
    const { slowness, isNoisy, index } = this.#options;
    if (!isNoisy) return slowness;
    return slowness * computeNoise(index, Math.floor(now / noiseMs));
  }
}

/** Computes a host's slowness in a span of time, with a median of 1. */
function computeNoise(index: number, span: number): number {
  let sum = 0;
  for (let draw = 0; draw < 12; draw += 1) {
    const mixed = Math.imul(
      index * 7919 + span * 104_729 + draw,
      2_654_435_761,
    );
    const hashed = Math.imul(mixed ^ (mixed >>> 15), 2_246_822_519);
    sum += ((hashed ^ (hashed >>> 13)) >>> 0) / 0x1_0000_0000;
  }
  return Math.exp((sum - 6) * noiseSpread);
}

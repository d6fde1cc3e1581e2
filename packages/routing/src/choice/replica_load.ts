/**
 * Estimate of one replica's present load.
 *
 * Reports are late. To the last one are added the requests that this node sent
 * since, less its requests that ended since; the backlog of input tokens drains at
 * the replica's prefill rate. Observed waits and token gaps correct replicas whose reports are too low.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";
import type { EndpointLoad } from "@almondcrank/membership/membership.ts";

/** Whether a replica can take work. */
export type ReplicaState =
  | { readonly kind: "reachable" }
  /** No connection could be made; retried after `until`. */
  | { readonly kind: "unreachable"; readonly until: number }
  /** A call failed or made no progress; retried after `until`. */
  | { readonly kind: "suspect"; readonly until: number }
  /** Its host is gone at `goneAt`; it stays leaving until replaced. */
  | { readonly kind: "leaving"; readonly goneAt: number }
  /** It holds no work and gets none. */
  | { readonly kind: "drained" };

/** Load assumed of a replica that has not reported yet. */
export interface AssumedLoad {
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  readonly betweenTokensMs: number;
}

/** Request sent by this node, with its uncached input tokens. */
interface OwnSend {
  readonly at: number;
  readonly tokens: number;
}

/** Sends and ends kept; older ones are counted in the reported requests. */
const maxOwnEvents = 128;
const firstBackoffMs = 500;
const maxBackoffMs = 15_000;
/** Time constant with which an observed excess wait decays. */
const excessDecayMs = 5_000;
/** Weights of the latest sample in the moving averages. */
const excessWeight = 0.3;
const gapWeight = 0.05;
/** Largest ratio of one observed time between tokens to their average. */
const maxGapGrowth = 3;
/** Time for which observed token gaps are used beside reported ones. */
const maxGapAgeMs = 10_000;
const millisecondsPerSecond = 1_000;

const reachable: ReplicaState = { kind: "reachable" };

/** Load and state of one replica. Times are monotonic milliseconds. */
export class ReplicaLoad {
  readonly name: string;
  readonly address: string;
  #state: ReplicaState = reachable;
  #failures = 0;
  #reportedAt = -Infinity;
  #reportedRequests = 0;
  #slots: number;
  #tokensPerMs: number;
  #betweenTokensMs: number;
  #backlogTokens = 0;
  #backlogAt = 0;
  #sends: OwnSend[] = [];
  #ends: number[] = [];
  readonly #excessMs = DecayingValue.create(excessDecayMs);
  #observedGapMs = 0;
  #observedGapAt = -Infinity;

  private constructor(name: string, address: string, assumed: AssumedLoad) {
    this.name = name;
    this.address = address;
    this.#slots = assumed.slots;
    this.#tokensPerMs = assumed.prefillTokensPerSecond / millisecondsPerSecond;
    this.#betweenTokensMs = assumed.betweenTokensMs;
  }

  static create(
    endpoint: { readonly name: string; readonly address: string },
    assumed: AssumedLoad,
  ): ReplicaLoad {
    return new ReplicaLoad(endpoint.name, endpoint.address, assumed);
  }

  get state(): ReplicaState {
    return this.#state;
  }

  get slots(): number {
    return this.#slots;
  }

  /** Age of the last report in milliseconds; infinite before the first. */
  computeAge(now: number): number {
    return now - this.#reportedAt;
  }

  /** Whether a new request may be sent. */
  isUsable(now: number): boolean {
    switch (this.#state.kind) {
      case "reachable":
        return true;
      case "unreachable":
      case "suspect":
        return now >= this.#state.until;
      case "leaving":
      case "drained":
        return false;
    }
  }

  /** Estimated number of requests running and queued. */
  computeRequests(): number {
    const own = this.#sends.length - this.#ends.length;
    return Math.max(0, this.#reportedRequests + own);
  }

  /** Predicted wait for the input backlog, including the observed excess wait. */
  computeBacklogMs(now: number): number {
    this.#drainBacklog(now);
    return this.#backlogTokens / this.#tokensPerMs + this.#excessMs.read(now);
  }

  /** Prefill time of `tokens` input tokens. */
  computePrefillMs(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  /** Estimated number of requests that wait for a slot. */
  computeQueued(): number {
    return Math.max(0, this.computeRequests() - this.#slots);
  }

  /** Time between output tokens: the greater of reported and recently observed. */
  computeBetweenTokensMs(now: number): number {
    const isRecent = now - this.#observedGapAt < maxGapAgeMs;
    return isRecent
      ? Math.max(this.#betweenTokensMs, this.#observedGapMs)
      : this.#betweenTokensMs;
  }

  /** Records a report made at `reportedAt`; false when a newer one is known. */
  record(load: EndpointLoad, reportedAt: number): boolean {
    if (reportedAt <= this.#reportedAt) return false;
    this.#reportedAt = reportedAt;
    this.#reportedRequests = load.queued + load.running;
    this.#slots = Math.max(1, load.slots);
    this.#tokensPerMs = Math.max(1, load.prefillTokensPerSecond) /
      millisecondsPerSecond;
    // An idle replica reports 0, so the last value is kept.
    if (load.betweenTokensMs > 0) this.#betweenTokensMs = load.betweenTokensMs;
    this.#sends = this.#sends.filter((send) => send.at > reportedAt);
    this.#ends = this.#ends.filter((at) => at > reportedAt);
    this.#backlogTokens = load.queuedTokens;
    this.#backlogAt = reportedAt;
    for (const send of this.#sends) {
      this.#drainBacklog(send.at);
      this.#backlogTokens += send.tokens;
    }
    return true;
  }

  /** Records a request sent by this node, with its uncached input tokens. */
  recordSend(tokens: number, now: number): void {
    this.#drainBacklog(now);
    this.#backlogTokens += tokens;
    if (this.#sends.length === maxOwnEvents) {
      this.#sends.shift();
      this.#reportedRequests++;
    }
    this.#sends.push({ at: now, tokens });
    if (this.#failures > 0) this.#recordProbe(now);
  }

  /** Records that a request of this node ended. */
  recordEnd(now: number): void {
    if (this.#ends.length === maxOwnEvents) {
      this.#ends.shift();
      this.#reportedRequests--;
    }
    this.#ends.push(now);
  }

  /** Records a first token: clears failures and averages the excess wait. */
  recordFirstToken(excessMs: number, now: number): void {
    const previous = this.#excessMs.read(now);
    const next = previous + excessWeight * (excessMs - previous);
    this.#excessMs.write(Math.max(0, next), now);
    this.#failures = 0;
    if (this.#state.kind === "suspect" || this.#state.kind === "unreachable") {
      this.#state = reachable;
    }
  }

  /**
   * Adds an observed time between tokens to its moving average. A pause counts as a
   * small multiple of the average: taken for the engine's speed, it would refuse the
   * requests that show that it is over.
   */
  recordTokenGap(gapMs: number, now: number): void {
    const isRecent = now - this.#observedGapAt < maxGapAgeMs;
    const reportedMs = this.#betweenTokensMs > 0
      ? this.#betweenTokensMs
      : gapMs;
    const previous = isRecent
      ? this.#observedGapMs
      : Math.min(gapMs, reportedMs);
    const boundedMs = Math.min(gapMs, previous * maxGapGrowth);
    this.#observedGapMs = previous + gapWeight * (boundedMs - previous);
    this.#observedGapAt = now;
  }

  /** Records a failed call; a leaving replica stays leaving. */
  recordFailure(kind: "unreachable" | "suspect", now: number): void {
    this.#failures++;
    if (this.#state.kind === "leaving" || this.#state.kind === "drained") {
      return;
    }
    this.#state = { kind, until: now + this.#computeBackoff() };
  }

  /** Marks the replica as leaving; true when it was not marked before. */
  markLeaving(goneAt: number): boolean {
    if (this.#state.kind === "drained") return false;
    const known = this.#state.kind === "leaving";
    const earliest = this.#state.kind === "leaving"
      ? Math.min(goneAt, this.#state.goneAt)
      : goneAt;
    this.#state = { kind: "leaving", goneAt: earliest };
    return !known;
  }

  markDrained(): void {
    this.#state = { kind: "drained" };
  }

  /** Extends the backoff at each send, so that one request at a time probes. */
  #recordProbe(now: number): void {
    if (this.#state.kind !== "suspect" && this.#state.kind !== "unreachable") {
      return;
    }
    this.#state = {
      kind: this.#state.kind,
      until: now + this.#computeBackoff(),
    };
  }

  #computeBackoff(): number {
    return Math.min(maxBackoffMs, firstBackoffMs * 2 ** (this.#failures - 1));
  }

  #drainBacklog(now: number): void {
    const elapsed = Math.max(0, now - this.#backlogAt);
    const drained = elapsed * this.#tokensPerMs;
    this.#backlogTokens = Math.max(0, this.#backlogTokens - drained);
    this.#backlogAt = Math.max(now, this.#backlogAt);
  }
}

/**
 * Load of one replica as this node believes it to be now.
 *
 * Reports lag. What this node sent and what ended since the time of the last
 * report is added to it, and the backlog of input tokens is drained at the
 * replica's rate. Observed waits and token gaps correct replicas that report
 * less than they have.
 */

import type { EndpointLoad } from "@almondcrank/membership/membership.ts";

/** Whether a replica can take work. */
export type ReplicaState =
  | { readonly kind: "reachable" }
  /** No connection could be made; tried again after `until`. */
  | { readonly kind: "unreachable"; readonly until: number }
  /** A call failed or made no progress; tried again after `until`. */
  | { readonly kind: "suspect"; readonly until: number }
  /** Its host is reclaimed at `goneAt`; it stays leaving until replaced. */
  | { readonly kind: "leaving"; readonly goneAt: number }
  | { readonly kind: "drained" };

/** Load assumed of a replica of which nothing is known yet. */
export interface AssumedLoad {
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  readonly betweenTokensMs: number;
}

interface OwnSend {
  readonly at: number;
  readonly tokens: number;
}

const maxOwnEvents = 128;
const firstBackoffMs = 500;
const maxBackoffMs = 15_000;
/** Time constant after which an observed excess wait is forgotten. */
const excessDecayMs = 5_000;
const excessWeight = 0.3;
const gapWeight = 0.05;
/** Time for which observed token gaps count beside the reported ones. */
const gapFreshMs = 10_000;
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
  #excessMs = 0;
  #excessAt = 0;
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

  /** Whether new work may be sent. */
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

  /** Requests running and queued. */
  computeRequests(): number {
    const own = this.#sends.length - this.#ends.length;
    return Math.max(0, this.#reportedRequests + own);
  }

  /** Time until input sent now starts to be computed, backlog only. */
  computeBacklogMs(now: number): number {
    this.#drain(now);
    return this.#backlogTokens / this.#tokensPerMs + this.#readExcess(now);
  }

  /** Time to compute `tokens` input tokens. */
  computePrefillMs(tokens: number): number {
    return tokens / this.#tokensPerMs;
  }

  /** Requests that wait for one of the slots. */
  computeQueued(): number {
    return Math.max(0, this.computeRequests() - this.#slots);
  }

  /** Time between output tokens, the greater of reported and observed. */
  computeBetweenTokensMs(now: number): number {
    const fresh = now - this.#observedGapAt < gapFreshMs;
    return fresh
      ? Math.max(this.#betweenTokensMs, this.#observedGapMs)
      : this.#betweenTokensMs;
  }

  /** Takes a report made at `reportedAt`, unless a newer one is known. */
  record(load: EndpointLoad, reportedAt: number): boolean {
    if (reportedAt <= this.#reportedAt) return false;
    this.#reportedAt = reportedAt;
    this.#reportedRequests = load.queued + load.running;
    this.#slots = Math.max(1, load.slots);
    this.#tokensPerMs = Math.max(1, load.prefillTokensPerSecond) /
      millisecondsPerSecond;
    // An idle replica reports 0: it has no pace at the moment.
    if (load.betweenTokensMs > 0) this.#betweenTokensMs = load.betweenTokensMs;
    this.#sends = this.#sends.filter((send) => send.at > reportedAt);
    this.#ends = this.#ends.filter((at) => at > reportedAt);
    this.#backlogTokens = load.queuedTokens;
    this.#backlogAt = reportedAt;
    for (const send of this.#sends) {
      this.#drain(send.at);
      this.#backlogTokens += send.tokens;
    }
    return true;
  }

  /** Records a request of this node with its uncached input tokens. */
  recordSend(tokens: number, now: number): void {
    this.#drain(now);
    this.#backlogTokens += tokens;
    if (this.#sends.length === maxOwnEvents) {
      this.#sends.shift();
      this.#reportedRequests++;
    }
    this.#sends.push({ at: now, tokens });
    if (this.#failures > 0) this.#recordTry(now);
  }

  /** Records that a request of this node ended. */
  recordEnd(now: number): void {
    if (this.#ends.length === maxOwnEvents) {
      this.#ends.shift();
      this.#reportedRequests--;
    }
    this.#ends.push(now);
  }

  /** Records the first token: the replica works, and how late it was. */
  recordFirstToken(excessMs: number, now: number): void {
    const past = this.#readExcess(now);
    this.#excessMs = Math.max(0, past + excessWeight * (excessMs - past));
    this.#excessAt = now;
    this.#failures = 0;
    if (this.#state.kind === "suspect" || this.#state.kind === "unreachable") {
      this.#state = reachable;
    }
  }

  recordTokenGap(gapMs: number, now: number): void {
    const fresh = now - this.#observedGapAt < gapFreshMs;
    const past = fresh ? this.#observedGapMs : gapMs;
    this.#observedGapMs = past + gapWeight * (gapMs - past);
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

  /** Marks the replica as leaving; true when it was not known before. */
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

  /** Lets one request at a time try a replica that failed before. */
  #recordTry(now: number): void {
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

  #drain(now: number): void {
    const elapsed = Math.max(0, now - this.#backlogAt);
    const drained = elapsed * this.#tokensPerMs;
    this.#backlogTokens = Math.max(0, this.#backlogTokens - drained);
    this.#backlogAt = Math.max(now, this.#backlogAt);
  }

  #readExcess(now: number): number {
    if (this.#excessMs === 0) return 0;
    return this.#excessMs * Math.exp((this.#excessAt - now) / excessDecayMs);
  }
}

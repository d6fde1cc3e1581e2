/**
 * Holds a node's requests to the step of an operators' order.
 *
 * Each way in which a request reaches a replica goes through it: first sends,
 * retries, standbys and moves ask which replicas they may choose from, and each
 * send is counted and checked once more when its connection is ready. Where no
 * contract orders rollouts, `createOpenGate` lets all pass.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import {
  hasEnded,
  type RolloutRecord,
} from "@almondcrank/routing/rollouts/rollout.ts";
import {
  readShare,
  type RolloutBook,
  type VersionRule,
} from "@almondcrank/routing/rollouts/rollout_book.ts";
import {
  isSlowTime,
  RolloutEvidence,
  type VersionSums,
} from "@almondcrank/routing/rollouts/rollout_evidence.ts";
import type { OrderCounts } from "@almondcrank/routing/rollouts/rollout_control.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import {
  type AnswerCounts,
  type CountedAnswer,
  formatAnswerKind,
} from "./answer_counts.ts";

/** One answer of a replica. */
export type ReplicaAnswer = Omit<CountedAnswer, "side" | "isSlow">;

/** What decides on the version that a request may reach. */
export interface GateRequest {
  /** Software version that a stream has to continue at. */
  readonly version?: string | undefined;
  /**
   * Random number in [0, 1), the same each time that the request is chosen for: one
   * that waits must not get to the new version by asking often.
   */
  readonly draw: number;
}

/** Which replicas requests may reach. */
export interface VersionGate {
  /**
   * Lists the replicas that a request may be sent to, in the order of preference;
   * the second list counts if the first has no replica for the request.
   */
  listAllowed(
    service: string,
    states: readonly ReplicaState[],
    request: GateRequest,
  ): readonly (readonly ReplicaState[])[];
  /** Whether a request that was to be sent to a replica may still be. */
  maySend(state: ReplicaState): boolean;
  recordSend(state: ReplicaState): void;
  recordAnswer(state: ReplicaState, answer: ReplicaAnswer): void;
  /** Whether an order for the service is in progress. */
  isRollingOut(service: string): boolean;
}

/** Creates a gate that lets all requests pass. */
export function createOpenGate(): VersionGate {
  return {
    listAllowed: (_, states) => [states],
    maySend: () => true,
    recordSend: () => {},
    recordAnswer: () => {},
    isRollingOut: () => false,
  };
}

/** Dependencies of a gate. */
export interface RolloutGateOptions {
  readonly book: RolloutBook;
  readonly counts: AnswerCounts;
  /** Clock that includes time in which the host was suspended. */
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Time over which the rate of requests is measured, in milliseconds. */
const rateWindowMs = 3_000;
/** Time without which a rate is not known. */
const minRateWindowMs = 700;
/** Time after its end for which an order's counts are kept. */
const keepCountsMs = 10_000;

/** Rule by which the new version gets a share. */
type ShareRule = Extract<VersionRule, { kind: "share" }>;

/** What a node keeps of an order in progress. */
interface OrderWatch {
  readonly evidence: RolloutEvidence;
  /** Requests of all nodes at times of the rate's window. */
  sent: { readonly at: number; readonly all: number }[];
  /** Requests of all nodes to the new version as of the last check. */
  freshSent: number;
  /** Sums over all nodes as of the last check. */
  sums: VersionSums;
}

/** Gate of a node under a contract that orders rollouts. */
export class RolloutGate implements VersionGate {
  readonly #options: RolloutGateOptions;
  readonly #watches = new Map<number, OrderWatch>();
  readonly #warmAt = new WeakMap<ReplicaState, number>();

  private constructor(options: RolloutGateOptions) {
    this.#options = options;
  }

  static create(options: RolloutGateOptions): RolloutGate {
    return new RolloutGate(options);
  }

  listAllowed(
    service: string,
    states: readonly ReplicaState[],
    request: GateRequest,
  ): readonly (readonly ReplicaState[])[] {
    const rule = this.#readRule(service, states);
    switch (rule.kind) {
      case "any":
        return [states];
      case "not":
        return [excludeVersions(states, rule.versions)];
      case "share":
        return this.#listShares(
          this.#limitShare(service, rule),
          excludeVersions(states, rule.excluded),
          request,
        );
    }
  }

  maySend({ replica }: ReplicaState): boolean {
    const record = this.#options.book.find(replica.service);
    if (record === undefined) return true;
    const { softwareVersion: version } = replica;
    if (record.barred.includes(version)) return false;
    const isStopped = record.state === "reverted" ||
      record.state === "in_progress" && record.stopReason !== undefined;
    return !isStopped || version !== record.order.to;
  }

  recordSend(state: ReplicaState): void {
    const record = this.#findCounted(state);
    if (record === undefined) return;
    const side = readSide(record, state);
    const { counts, metrics } = this.#options;
    counts.recordSend(record.order.id, side);
    metrics.count("rollout_sends_total", { version: side });
  }

  recordAnswer(state: ReplicaState, answer: ReplicaAnswer): void {
    const record = this.#findCounted(state);
    if (record === undefined) return;
    const { counts, metrics } = this.#options;
    const side = readSide(record, state);
    // A replica is slow for a time after its start, whatever its version.
    const time = this.#isWarm(state) ? answer.time : undefined;
    const kind = formatAnswerKind(answer);
    const reference = this.#watch(record.order.id).sums.get(kind)?.old;
    const isSlow = time !== undefined && isSlowTime(time, reference);
    counts.recordAnswer(record.order.id, { ...answer, side, time, isSlow });
    const outcome = answer.hasFailed ? "failed" : "answered";
    metrics.count("rollout_answers_total", { version: side, outcome });
  }

  isRollingOut(service: string): boolean {
    const record = this.#options.book.find(service);
    return record !== undefined && !hasEnded(record);
  }

  /** Counts the replicas of a service that may get the new version's share. */
  countWarm(states: readonly ReplicaState[], to: string): number {
    return states.filter((state) =>
      state.replica.softwareVersion === to && this.#isWarm(state)
    ).length;
  }

  /** Reads what all nodes have counted of an order. */
  readCounts({ order }: RolloutRecord): OrderCounts {
    const { counts } = this.#options;
    const watch = this.#watch(order.id);
    return {
      sums: counts.readSums(order.id),
      sent: counts.readSent(order.id),
      requestsPerSecond: computeRate(watch),
      evidence: watch.evidence,
    };
  }

  /** Checks the evidence, and stops what every node can see to be bad. */
  check(): void {
    const { book, counts, clock, log } = this.#options;
    const now = clock.now();
    const kept = new Set<number>();
    for (const record of book.list()) {
      const { id, service, to } = record.order;
      if (hasEnded(record)) {
        if (now - (record.endedAt ?? 0) < keepCountsMs) kept.add(id);
        continue;
      }
      kept.add(id);
      const watch = this.#watch(id);
      const sums = counts.readSums(id);
      watch.sums = sums;
      const { all, fresh } = counts.readSent(id);
      watch.freshSent = fresh;
      watch.sent.push({ at: now, all });
      watch.sent = watch.sent.filter(({ at }) => now - at <= rateWindowMs);
      if (record.stopReason !== undefined) continue;
      const verdict = watch.evidence.checkStop(sums, now);
      watch.evidence.record(sums, now);
      if (verdict.kind !== "bad") continue;
      const { reason } = verdict;
      book.stop(service, reason);
      log.warn("a new version gets no more requests.", { service, to, reason });
    }
    book.forgetUnseen(now);
    counts.retain(kept);
    for (const id of this.#watches.keys()) {
      if (!kept.has(id)) this.#watches.delete(id);
    }
  }

  #watch(id: number): OrderWatch {
    const known = this.#watches.get(id);
    if (known !== undefined) return known;
    const watch = {
      evidence: RolloutEvidence.create(),
      sent: [],
      freshSent: 0,
      sums: new Map(),
    };
    this.#watches.set(id, watch);
    return watch;
  }

  #readRule(service: string, states: readonly ReplicaState[]): VersionRule {
    const { book, clock } = this.#options;
    const [first] = states;
    if (first === undefined) return { kind: "any" };
    const version = first.replica.softwareVersion;
    const isMixed = states.some(({ replica }) =>
      replica.softwareVersion !== version
    );
    const now = clock.now();
    const versions = isMixed ? listByStart(states) : [version];
    book.recordSeen(service, versions, now);
    return book.readRule(service, versions, now);
  }

  /** Gives the new version nothing once it has got what its step allows. */
  #limitShare(service: string, rule: ShareRule): ShareRule {
    const record = this.#options.book.find(service);
    if (record === undefined) return rule;
    const { freshSent } = this.#watch(record.order.id);
    return freshSent >= record.step.most ? { ...rule, share: 0 } : rule;
  }

  #listShares(
    { to, share, mayFallBack }: ShareRule,
    states: readonly ReplicaState[],
    { version, draw }: GateRequest,
  ): readonly (readonly ReplicaState[])[] {
    const fresh = states.filter(({ replica }) =>
      replica.softwareVersion === to
    );
    const old = states.filter(({ replica }) => replica.softwareVersion !== to);
    const chosen = this.#chooseFresh(fresh, { share, old: old.length });
    if (version !== undefined) {
      return [version === to ? (share > 0 ? chosen : []) : old];
    }
    // A stream that can't go to its share's side still goes to the old version.
    if (draw < share) return [chosen, old];
    const isLastResort = mayFallBack && old.length === 0;
    return isLastResort ? [fresh] : [old];
  }

  /**
   * Chooses as many of the new replicas as the share is worth, in the order of their
   * keys, so that nodes choose mostly the same: each gets as much as an old one, or
   * no fault under load would show.
   */
  #chooseFresh(
    fresh: readonly ReplicaState[],
    { share, old }: { readonly share: number; readonly old: number },
  ): readonly ReplicaState[] {
    if (share >= 1) return fresh;
    const count = Math.max(1, Math.floor(share * old));
    return fresh.filter((state) => this.#isWarm(state))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, count);
  }

  #isWarm(state: ReplicaState): boolean {
    const now = this.#options.clock.now();
    const known = this.#warmAt.get(state);
    const warmAt = known ?? now + (state.replica.coldMs ?? 0);
    if (known === undefined) this.#warmAt.set(state, warmAt);
    return now >= warmAt;
  }

  #findCounted({ replica }: ReplicaState): RolloutRecord | undefined {
    const record = this.#options.book.find(replica.service);
    if (record === undefined || hasEnded(record)) return undefined;
    // A barred version is on neither side.
    return record.barred.includes(replica.softwareVersion) ? undefined : record;
  }
}

function excludeVersions(
  states: readonly ReplicaState[],
  versions: readonly string[],
): readonly ReplicaState[] {
  return states.filter(({ replica }) =>
    !versions.includes(replica.softwareVersion)
  );
}

function readSide(
  { order }: RolloutRecord,
  { replica }: ReplicaState,
): "fresh" | "old" {
  return replica.softwareVersion === order.to ? "fresh" : "old";
}

/** Lists versions, that of the replica that started first in front. */
function listByStart(states: readonly ReplicaState[]): readonly string[] {
  const startedAt = new Map<string, number>();
  for (const { replica } of states) {
    const { softwareVersion: version, startedAtMs = Infinity } = replica;
    const earliest = startedAt.get(version) ?? Infinity;
    startedAt.set(version, Math.min(earliest, startedAtMs));
  }
  return [...startedAt].sort(([, a], [, b]) => (a < b ? -1 : a > b ? 1 : 0))
    .map(([version]) => version);
}

function computeRate({ sent }: OrderWatch): number {
  const [first] = sent;
  const last = sent.at(-1);
  if (first === undefined || last === undefined) return 0;
  if (last.at - first.at < minRateWindowMs) return 0;
  return (last.all - first.all) / (last.at - first.at) * 1_000;
}

/** Formats the step in force, for people. */
export function formatStep(record: RolloutRecord, now: number): string {
  if (hasEnded(record)) return record.state;
  if (record.stopReason !== undefined) return "stopped";
  return `${Math.round(readShare(record, now) * 1_000) / 10} %`;
}

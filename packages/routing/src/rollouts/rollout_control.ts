/**
 * Moves orders on: takes them up, plans their steps and ends them.
 *
 * It runs on the holder of the duty, from the entries as the store has them and
 * from the evidence of all nodes, and decides which states are due to be written.
 * What a successor needs is in the records that all nodes have; it reads the
 * entries and plans anew. Where no record is left, nobody knows how much an order
 * in progress has used of its bound, so it is taken back. So is one on which the
 * evidence is thin at its end: that costs operators a second order, while a bad
 * version that takes over costs callers their answers.
 */

import {
  readStoreEra,
  readStoreRevision,
} from "@almondcrank/infrastructure/store_version.ts";
import {
  hasEnded,
  listBarred,
  type RolloutRecord,
  type RolloutState,
} from "./rollout.ts";
import type { RolloutBook } from "./rollout_book.ts";
import type { RolloutEvidence, VersionSums } from "./rollout_evidence.ts";
import {
  computeStep,
  type ExposureLimit,
  type PlanStep,
  readPlannedShare,
} from "./rollout_plan.ts";

/** An operators' entry as the store has it. */
export interface RolloutEntry {
  readonly service: string;
  /** Undefined if missing or not a name. */
  readonly to: string | undefined;
  /** Undefined if missing or not a positive number. */
  readonly durationMs: number | undefined;
  /** Version of the object in the store. */
  readonly version: number;
  /** State that was written for this `to`; undefined if none was. */
  readonly state: RolloutState | undefined;
}

/** What the holder sees of a service. */
export interface ServiceView {
  /** Versions of its usable replicas. */
  readonly versions: readonly string[];
  readonly isConfigured: boolean;
  readonly oldReplicas: number;
  readonly freshReplicas: number;
}

/** What all nodes have counted of an order. */
export interface OrderCounts {
  readonly sums: VersionSums;
  readonly sent: { readonly all: number; readonly fresh: number };
  readonly requestsPerSecond: number;
  readonly evidence: RolloutEvidence;
}

/** A state that is due to be written. */
export interface DueState {
  readonly service: string;
  readonly to: string;
  readonly state: RolloutState;
  /** Version of the object on which the write is conditional. */
  readonly version: number;
}

/** A decision, for the log. */
export interface RolloutEvent {
  readonly kind:
    | "taken"
    | "ignored"
    | "withdrawn"
    | "step"
    | "stopped"
    | "ended"
    | "restored";
  readonly service: string;
  readonly to: string | undefined;
  readonly reason: string;
}

/** Dependencies of the control. */
export interface RolloutControlOptions {
  readonly book: RolloutBook;
  readonly limit: ExposureLimit;
  readonly readView: (service: string, to: string) => ServiceView;
  readonly readCounts: (record: RolloutRecord) => OrderCounts;
  readonly onEvent: (event: RolloutEvent) => void;
}

/** Number of requests that no order reaches. */
const unlimited = 1e9;
/** Steps that one holder can number. */
const stepsPerHolder = 1_000_000;
/** Time after the end for which the answer to a completion is waited for. */
const unknownEndMs = 5_000;

/** Control of all orders. Times are monotonic, in milliseconds. */
export class RolloutControl {
  readonly #options: RolloutControlOptions;
  readonly #entries = new Map<string, RolloutEntry>();
  readonly #ignored = new Map<string, string>();
  /** Kind of the last planned step, by service. */
  readonly #lastKinds = new Map<string, PlanStep["kind"]>();
  #steps = 0;
  /** Time that the last write took. */
  #writeMs = 0;

  private constructor(options: RolloutControlOptions) {
    this.#options = options;
  }

  static create(options: RolloutControlOptions): RolloutControl {
    return new RolloutControl(options);
  }

  /**
   * Applies all entries of the store.
   *
   * @param absentAt Latest time at which entries that are new were not there.
   */
  applyAll(
    entries: readonly RolloutEntry[],
    { era, absentAt, now }: {
      readonly era: number;
      readonly absentAt: number;
      readonly now: number;
    },
  ): void {
    this.#entries.clear();
    for (const entry of entries) this.applyEntry(entry, { absentAt, now });
    for (const record of this.#options.book.list()) {
      if (this.#entries.has(record.order.service)) continue;
      this.#applyMissing(record, era, now);
    }
  }

  /** Applies one entry, also one that answers a write whose condition failed. */
  applyEntry(
    entry: RolloutEntry,
    times: { readonly absentAt: number; readonly now: number },
  ): void {
    const { book } = this.#options;
    const { service, to } = entry;
    this.#entries.set(service, entry);
    const known = book.find(service);
    if (known !== undefined && known.order.to === to) {
      this.#applyKnown(entry, known, times);
      return;
    }
    const isRewound = known !== undefined &&
      readStoreEra(entry.version) > readStoreEra(known.order.id) &&
      readStoreRevision(entry.version) <= readStoreRevision(known.order.id);
    if (isRewound) {
      this.#ignore(entry, "the store came back older than the last order");
    } else this.#applyNew(entry, times);
  }

  /** Plans the step of each order in progress. */
  step(now: number, fencingToken: number): void {
    for (const record of this.#options.book.list()) {
      if (hasEnded(record) || record.stopReason !== undefined) continue;
      this.#stepOrder(record, now, fencingToken);
    }
  }

  /** Lists the states that are due to be written. */
  listDue(): readonly DueState[] {
    return this.#options.book.list().flatMap((record) => {
      const { service, to } = record.order;
      const entry = this.#entries.get(service);
      if (entry === undefined || entry.to !== to) return [];
      const state = this.#findDueState(record);
      const isDue = state !== entry.state;
      return isDue ? [{ service, to, state, version: entry.version }] : [];
    });
  }

  /** Records that a state was written. */
  recordWritten(
    { service, to, state }: DueState,
    version: number,
    now: number,
  ): void {
    const entry = this.#entries.get(service);
    if (entry !== undefined) {
      this.#entries.set(service, { ...entry, state, version });
    }
    const record = this.#options.book.find(service);
    if (record === undefined || record.order.to !== to) return;
    if (state === "in_progress") return;
    const reason = record.stopReason ?? "no fault was seen";
    this.#end(record, { state, reason, now });
  }

  /** Records how long a write took, answered or not. */
  recordWriteTime(ms: number): void {
    this.#writeMs = ms;
  }

  #findDueState(record: RolloutRecord): RolloutState {
    if (hasEnded(record)) return record.state;
    if (record.stopReason !== undefined) return "reverted";
    const { service } = record.order;
    return this.#lastKinds.get(service) === "complete"
      ? "completed"
      : "in_progress";
  }

  #end(
    record: RolloutRecord,
    { state, reason, now }: {
      readonly state: RolloutState;
      readonly reason: string;
      readonly now: number;
    },
  ): void {
    if (hasEnded(record)) return;
    const { book, onEvent } = this.#options;
    book.set({ ...record, state, endedAt: now });
    this.#lastKinds.delete(record.order.service);
    const { service, to } = record.order;
    onEvent({ kind: "ended", service, to, reason: `${state}: ${reason}` });
  }

  #applyMissing(record: RolloutRecord, era: number, now: number): void {
    const { book, onEvent } = this.#options;
    const { service, to, id } = record.order;
    if (hasEnded(record)) return;
    const isRestored = era !== readStoreEra(id);
    const reason = isRestored
      ? "the store came back without the order"
      : "operators withdrew the order";
    book.set({
      ...record,
      state: "reverted",
      stopReason: reason,
      endedAt: now,
    });
    onEvent({ kind: "withdrawn", service, to, reason });
  }

  #applyKnown(
    entry: RolloutEntry,
    known: RolloutRecord,
    times: { readonly absentAt: number; readonly now: number },
  ): void {
    if (!hasEnded(known)) {
      if (entry.state === "completed" || entry.state === "reverted") {
        const reason = "the store has this end";
        this.#end(known, { state: entry.state, reason, now: times.now });
      }
      return;
    }
    if (entry.state === known.state) return;
    const isSameEra =
      readStoreEra(entry.version) === readStoreEra(known.order.id);
    const isLater = entry.version > known.order.id;
    if (isSameEra && isLater && entry.state === undefined) {
      this.#applyNew(entry, times);
      return;
    }
    // What was decided stays: the store came back older, or a second holder was
    // late. The end is written again; see `listDue`.
    const { service, to } = entry;
    const reason = `the store says ${entry.state ?? "nothing"}, the order is ` +
      known.state;
    this.#options.onEvent({ kind: "restored", service, to, reason });
  }

  #applyNew(
    entry: RolloutEntry,
    { absentAt, now }: { readonly absentAt: number; readonly now: number },
  ): void {
    const { service, to, durationMs, version, state } = entry;
    if (to === undefined) return this.#ignore(entry, "it names no version");
    if (durationMs === undefined) {
      return this.#ignore(entry, "it has no duration above 0");
    }
    const { book, onEvent, readView } = this.#options;
    const { versions, isConfigured } = readView(service, to);
    if (!isConfigured) return this.#ignore(entry, "the service is not known");
    this.#ignored.delete(service);
    const before = book.find(service);
    const barred = listBarred(before, to);
    const others = versions.filter((other) => other !== to);
    const from = others.filter((other) => !barred.includes(other));
    // Beside versions that were taken back, the one before them runs already.
    const isRunning = state === undefined && from.length === 0 &&
      versions.includes(to) &&
      (others.length === 0 || before?.from.includes(to) === true);
    const record: RolloutRecord = {
      order: { id: version, service, to, durationMs },
      // The replicas that an earlier completion stopped are gone.
      from: state === "completed" ? [] : from,
      barred,
      startedAt: absentAt,
      state: state === undefined || state === "in_progress"
        ? (isRunning ? "completed" : "in_progress")
        : state,
      step: {
        number: 0,
        share: 0,
        most: 0,
        issuedAt: now,
        isFinishing: false,
      },
      stopReason: state === "in_progress"
        ? "no node knows how far it had got"
        : undefined,
    };
    this.#lastKinds.delete(service);
    book.set(hasEnded(record) ? { ...record, endedAt: now } : record);
    const reason = isRunning
      ? "the version runs already"
      : `from ${from.join(", ")} within ${durationMs} ms`;
    onEvent({ kind: "taken", service, to, reason });
    if (record.stopReason === undefined) return;
    onEvent({ kind: "stopped", service, to, reason: record.stopReason });
  }

  #ignore({ service, to, version }: RolloutEntry, reason: string): void {
    const key = `${version} ${reason}`;
    if (this.#ignored.get(service) === key) return;
    this.#ignored.set(service, key);
    this.#options.onEvent({ kind: "ignored", service, to, reason });
  }

  #stepOrder(record: RolloutRecord, now: number, fencingToken: number): void {
    const { book, limit, readView, readCounts } = this.#options;
    const { service, to, durationMs } = record.order;
    const { oldReplicas, freshReplicas } = readView(service, to);
    const { sent, requestsPerSecond, sums, evidence } = readCounts(record);
    const elapsedMs = now - record.startedAt;
    const plan = computeStep({
      durationMs,
      elapsedMs,
      sent,
      requestsPerSecond,
      limit,
      oldReplicas,
      freshReplicas,
      writeMs: this.#writeMs,
    });
    const verdict = plan.kind === "shift" || plan.kind === "complete"
      ? evidence.checkEnd(sums, now)
      : evidence.checkStop(sums, now);
    if (verdict.kind !== "sound") return this.#stop(record, verdict.reason);
    const { isFinishing } = record.step;
    if (plan.kind === "late") {
      const isUnknown = isFinishing && elapsedMs < durationMs + unknownEndMs;
      if (!isUnknown) return this.#stop(record, "it was not completed in time");
    }
    this.#reportStep(record, plan, sent);
    this.#lastKinds.set(service, plan.kind);
    this.#steps += 1;
    book.set({
      ...record,
      step: {
        number: fencingToken * stepsPerHolder + this.#steps,
        share: readPlannedShare(plan),
        most: plan.kind === "share" ? Math.round(plan.most) : unlimited,
        issuedAt: now,
        isFinishing: isFinishing || plan.kind === "complete",
      },
    });
  }

  #stop({ order: { service, to } }: RolloutRecord, reason: string): void {
    this.#options.book.stop(service, reason);
    this.#options.onEvent({ kind: "stopped", service, to, reason });
  }

  /** Reports a step that differs in kind, or clearly in its share. */
  #reportStep(
    { order: { service, to }, step }: RolloutRecord,
    plan: PlanStep,
    { all, fresh }: OrderCounts["sent"],
  ): void {
    const share = readPlannedShare(plan);
    const isSame = this.#lastKinds.get(service) === plan.kind &&
      Math.abs(share - step.share) < 0.5 * Math.max(share, step.share);
    if (isSame) return;
    const reason = `${plan.kind}, share ${share.toFixed(3)}, sent ${fresh} ` +
      `of ${all} requests`;
    this.#options.onEvent({ kind: "step", service, to, reason });
  }
}

/**
 * Plays one order on a driven clock: the nodes' books, the control of the holder,
 * and the evidence, with requests and answers of replicas that are drawn.
 *
 * Nodes that hear the same reports are one group: news and sums reach it after its
 * own delay. A step of the clock is 20 ms.
 */

import { Random } from "@almondcrank/common/random.ts";
import { composeStoreVersion } from "@almondcrank/infrastructure/store_version.ts";
import type { RolloutRecord } from "../rollouts/rollout.ts";
import { readShare, RolloutBook } from "../rollouts/rollout_book.ts";
import { RolloutControl } from "../rollouts/rollout_control.ts";
import {
  type AnswerSums,
  encodeTime,
  isSlowTime,
  noAnswers,
  RolloutEvidence,
  type VersionSums,
} from "../rollouts/rollout_evidence.ts";

/** What is wrong with the new version. */
export type VersionFault =
  | "none"
  | "fails"
  | "fails_late"
  | "slow"
  | "slow_late"
  | "fails_under_load"
  | "fails_on_one_route";

/** Setting of one play. */
export interface RolloutPlayOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly durationMs: number;
  readonly fault: VersionFault;
  /** Whether replicas of both versions have trouble of their own meanwhile. */
  readonly hasTrouble: boolean;
  readonly requestsPerSecond: number;
  readonly replicas: number;
}

/** How it ended. */
export interface RolloutPlayResult {
  readonly state: string;
  /** Part of the bound that the new version got before the duration's end. */
  readonly usedBound: number;
  /** Time from its 50th bad answer to its last request; 0 if there was none. */
  readonly lastAfterMs: number;
  readonly reason: string | undefined;
}

export const simulatedLimit = { share: 0.1, tolerance: 50 };

const tickMs = 20;
const stepMs = 200;
const routes = [0.6, 0.25, 0.15];
const service = "models";
/** Up to so many nodes exchange reports directly; more of them use relays. */
const meshNodes = 13;
/** Number of nodes from which on they report in the long interval. */
const longTickNodes = 130;
/** Largest number of groups of nodes that are told apart. */
const largestGroups = 24;
/** Time that a datagram takes, with the work at both ends. */
const hopMs = 20;

interface Group {
  readonly book: RolloutBook;
  readonly evidence: RolloutEvidence;
  readonly delayMs: number;
}

interface Sums {
  readonly at: number;
  readonly sums: VersionSums;
  readonly sent: { readonly all: number; readonly fresh: number };
}

interface Answer {
  readonly at: number;
  readonly route: number;
  readonly isFresh: boolean;
  readonly hasFailed: boolean;
  readonly isBad: boolean;
  readonly ms: number;
}

/** Plays one order. */
export function playRollout(options: RolloutPlayOptions): RolloutPlayResult {
  return RolloutPlay.create(options).run();
}

class RolloutPlay {
  readonly #options: RolloutPlayOptions;
  readonly #random: Random;
  readonly #groups: readonly Group[];
  readonly #control: RolloutControl;
  readonly #pending: Answer[] = [];
  readonly #told: { readonly at: number; readonly record: RolloutRecord }[] =
    [];
  readonly #history: Sums[] = [];
  readonly #bad: { readonly part: number; readonly factor: number };
  readonly #turnsBadAt: number;
  readonly #speeds: readonly number[];
  #sums = new Map<string, { fresh: AnswerSums; old: AnswerSums }>();
  #sent = { all: 0, fresh: 0 };
  #now = 0;
  #badAnswers = 0;
  #fiftiethAt = Infinity;
  #lastAfterMs = 0;
  #isWriting = false;
  #reason: string | undefined;

  private constructor(options: RolloutPlayOptions) {
    this.#options = options;
    const random = Random.create(options.seed);
    this.#random = random;
    const count = Math.min(options.nodes, largestGroups);
    this.#groups = Array.from({ length: count }, () => ({
      book: RolloutBook.create(),
      evidence: RolloutEvidence.create(),
      delayMs: drawDelay(options.nodes, random),
    }));
    const isLate = options.fault.endsWith("late");
    this.#turnsBadAt = isLate
      ? options.durationMs * (0.2 + 0.55 * random.next())
      : 0;
    this.#bad = {
      part: 0.2 + 0.4 * random.next(),
      factor: 3 + 3 * random.next(),
    };
    this.#speeds = Array.from(
      { length: 8 },
      () => Math.exp(0.1 * (random.next() + random.next() - 1)),
    );
    const [holder] = this.#groups;
    if (holder === undefined) throw new Error("there are no nodes");
    this.#control = RolloutControl.create({
      book: holder.book,
      limit: simulatedLimit,
      readView: () => ({
        versions: ["v1", "v2"],
        isConfigured: true,
        oldReplicas: options.replicas,
        freshReplicas: options.replicas,
      }),
      readCounts: () => {
        const { sums, sent } = this.#readView(holder);
        const before = this.#findAt(this.#now - holder.delayMs - 3_000);
        const overMs = this.#now - holder.delayMs - before.at;
        const requestsPerSecond = overMs < 700
          ? 0
          : (sent.all - before.sent.all) / overMs * 1_000;
        return { sums, sent, requestsPerSecond, evidence: holder.evidence };
      },
      onEvent: ({ kind, reason }) => {
        if (kind === "stopped") this.#reason ??= reason;
      },
    });
  }

  static create(options: RolloutPlayOptions): RolloutPlay {
    return new RolloutPlay(options);
  }

  run(): RolloutPlayResult {
    const { durationMs } = this.#options;
    this.#history.push({ at: 0, sums: new Map(), sent: this.#sent });
    const entry = {
      service,
      to: "v2",
      durationMs,
      version: composeStoreVersion({ era: 1, revision: 7 }),
      state: undefined,
    };
    this.#control.applyEntry(entry, { absentAt: 0, now: 0 });
    let used = 0;
    let all = 0;
    for (; this.#now < durationMs + 6_000; this.#now += tickMs) {
      this.#settleAnswers();
      if (this.#now % 100 === 0) this.#keepSums();
      if (this.#now % stepMs === 0) this.#step();
      this.#deliver();
      this.#sendRequests();
      if (this.#now >= durationMs) continue;
      used = this.#sent.fresh;
      all = this.#sent.all;
    }
    const record = this.#groups[0]?.book.find(service);
    const bound = simulatedLimit.share * all + simulatedLimit.tolerance;
    return {
      state: record?.state ?? "none",
      usedBound: used / bound,
      lastAfterMs: this.#lastAfterMs,
      reason: this.#reason,
    };
  }

  #step(): void {
    const now = this.#now;
    for (const { book, evidence, delayMs } of this.#groups) {
      const record = book.find(service);
      if (record?.state !== "in_progress") continue;
      const { sums } = this.#findAt(now - delayMs);
      const verdict = evidence.checkStop(sums, now);
      evidence.record(sums, now);
      if (verdict.kind !== "bad") continue;
      book.stop(service, verdict.reason);
      this.#reason ??= verdict.reason;
    }
    this.#control.step(now, 1);
    const [due] = this.#control.listDue();
    if (due === undefined || this.#isWriting) return;
    this.#isWriting = true;
    this.#pendingWrite = {
      at: now + 5 + 60 * this.#random.next(),
      finish: () =>
        this.#control.recordWritten(due, due.version + 1, this.#now),
    };
  }

  #pendingWrite:
    | { readonly at: number; readonly finish: () => void }
    | undefined;

  /** Passes on what groups know, and ends the write that is on its way. */
  #deliver(): void {
    if (
      this.#pendingWrite !== undefined && this.#pendingWrite.at <= this.#now
    ) {
      this.#pendingWrite.finish();
      this.#pendingWrite = undefined;
      this.#isWriting = false;
    }
    if (this.#now % 100 !== 0) return;
    for (const { book } of this.#groups) {
      const record = book.find(service);
      if (record !== undefined) this.#told.push({ at: this.#now, record });
    }
    while ((this.#told[0]?.at ?? Infinity) < this.#now - 2_000) {
      this.#told.shift();
    }
    for (const group of this.#groups) {
      for (const { at, record } of this.#told) {
        const ageMs = this.#now - at - group.delayMs;
        if (ageMs < 0 || ageMs >= 100) continue;
        group.book.learn(record, this.#now);
      }
    }
  }

  #sendRequests(): void {
    const { requestsPerSecond } = this.#options;
    const mean = requestsPerSecond * tickMs / 1_000;
    let count = Math.floor(mean);
    if (this.#random.next() < mean - count) count += 1;
    for (let at = 0; at < count; at += 1) this.#sendRequest();
  }

  #sendRequest(): void {
    const at = Math.floor(this.#random.next() * this.#groups.length);
    const record = this.#groups[at]?.book.find(service);
    const share = record === undefined
      ? 0
      : readCurrentShare(record, this.#now);
    const isFresh = this.#random.next() < share;
    this.#sent = {
      all: this.#sent.all + 1,
      fresh: this.#sent.fresh + (isFresh ? 1 : 0),
    };
    if (isFresh && this.#fiftiethAt < this.#now) {
      this.#lastAfterMs = this.#now - this.#fiftiethAt;
    }
    this.#pending.push(this.#drawAnswer(isFresh, share));
  }

  #drawAnswer(isFresh: boolean, share: number): Answer {
    const { fault, hasTrouble, replicas, durationMs } = this.#options;
    const draw = this.#random.next();
    const route = draw < routes[0]!
      ? 0
      : draw < routes[0]! + routes[1]!
      ? 1
      : 2;
    const isLoaded = share >= 0.9 / replicas;
    const isBad = isFresh && this.#now >= this.#turnsBadAt &&
      fault !== "none" && (fault !== "fails_under_load" || isLoaded) &&
      (fault !== "fails_on_one_route" || route === 1) &&
      this.#random.next() < this.#bad.part;
    const isTroubled = hasTrouble && this.#now > durationMs * 0.3 &&
      this.#now < durationMs * 0.6;
    const failsAnyway = this.#random.next() < (isTroubled ? 0.15 : 0.002);
    const isSlow = isBad && fault.startsWith("slow");
    const canary = Math.max(1, Math.floor(share * replicas));
    const replica = Math.floor(this.#random.next() * Math.min(8, canary));
    const speed = isFresh ? this.#speeds[replica] ?? 1 : 1;
    const spread = 0.35 * (this.#drawNormal()) + (isTroubled ? 0.5 : 0);
    const ms = 45 * (1 + route) * speed * Math.exp(spread) *
      (isSlow ? this.#bad.factor : 1);
    const hasFailed = failsAnyway || isBad && !isSlow;
    return { at: this.#now + ms, route, isFresh, hasFailed, isBad, ms };
  }

  #drawNormal(): number {
    const angle = 2 * Math.PI * this.#random.next();
    return Math.sqrt(-2 * Math.log(1 - this.#random.next())) * Math.cos(angle);
  }

  #settleAnswers(): void {
    for (let index = this.#pending.length - 1; index >= 0; index -= 1) {
      const answer = this.#pending[index];
      if (answer === undefined || answer.at > this.#now) continue;
      this.#pending.splice(index, 1);
      this.#settle(answer);
    }
  }

  #settle({ route, isFresh, hasFailed, isBad, ms }: Answer): void {
    const key = `route-${route}`;
    const both = this.#sums.get(key) ?? { fresh: noAnswers, old: noAnswers };
    const before = isFresh ? both.fresh : both.old;
    const value = hasFailed ? 0 : encodeTime(ms);
    const view = this.#findAt(this.#now - 600).sums.get(key)?.old;
    const isSlow = !hasFailed && isSlowTime(ms, view);
    const after: AnswerSums = {
      answers: before.answers + 1,
      failures: before.failures + (hasFailed ? 1 : 0),
      slow: before.slow + (isSlow ? 1 : 0),
      times: before.times + (hasFailed ? 0 : 1),
      sumTime: before.sumTime + value,
      sumTimeSquares: before.sumTimeSquares + value * value,
    };
    this.#sums.set(
      key,
      isFresh ? { ...both, fresh: after } : { ...both, old: after },
    );
    if (!isFresh || !isBad) return;
    this.#badAnswers += 1;
    if (this.#badAnswers === 50) this.#fiftiethAt = this.#now;
  }

  #keepSums(): void {
    this.#history.push({
      at: this.#now,
      sums: new Map(this.#sums),
      sent: this.#sent,
    });
  }

  #readView({ delayMs }: Group): Sums {
    return this.#findAt(this.#now - delayMs);
  }

  #findAt(at: number): Sums {
    const index = Math.min(this.#history.length - 1, Math.floor(at / 100));
    const found = this.#history[Math.max(0, index)];
    return found ?? { at: 0, sums: new Map(), sent: { all: 0, fresh: 0 } };
  }
}

/** Time until a report has reached a node: one hop, or three over relays. */
function drawDelay(nodes: number, random: Random): number {
  const hops = nodes <= meshNodes ? 1 : 3;
  const reportMs = nodes >= longTickNodes ? 400 : 200;
  let delayMs = 0;
  for (let hop = 0; hop < hops; hop += 1) {
    delayMs += hopMs + reportMs * random.next();
  }
  return delayMs;
}

function readCurrentShare(record: RolloutRecord, now: number): number {
  switch (record.state) {
    case "completed":
      return 1;
    case "reverted":
      return 0;
    case "in_progress":
      return readShare(record, now);
  }
}

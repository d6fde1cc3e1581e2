/**
 * Counts the requests and answers of services that move to another version, on
 * this node and by the reports of the others.
 */

import type { TallySource } from "../cluster/report_tallies.ts";
import {
  type AnswerSums,
  encodeTime,
  noAnswers,
  type VersionSums,
} from "@almondcrank/routing/rollouts/rollout_evidence.ts";

/** Side of an order that a replica's version is on. */
export type VersionSide = "fresh" | "old";

/** One answer. */
export interface CountedAnswer {
  readonly side: VersionSide;
  readonly route: string;
  /** What was measured, such as the time to the first event. */
  readonly measure: string;
  readonly hasFailed: boolean;
  /** Time in milliseconds, or a ratio; undefined if it says nothing. */
  readonly time: number | undefined;
  /** Whether the time is several times that of the old version. */
  readonly isSlow: boolean;
}

const sumNames = [
  "answers",
  "failures",
  "slow",
  "times",
  "sumTime",
  "sumTimeSquares",
] as const;

/** Separates the parts of a sum's name; routes contain none. */
const separator = "|";

/** Counts of one node. Sums are kept by order, side, route and measure. */
export class AnswerCounts implements TallySource {
  readonly name = "rollouts";
  readonly #own = new Map<string, number>();
  readonly #peers = new Map<string, number>();

  static create(): AnswerCounts {
    return new AnswerCounts();
  }

  listOwn(): readonly (readonly [string, number])[] {
    return [...this.#own];
  }

  applyPeer(name: string, change: number): void {
    addTo(this.#peers, name, change);
  }

  recordSend(order: number, side: VersionSide): void {
    addTo(this.#own, formatName([order, side, "", "", "sent"]), 1);
  }

  recordAnswer(order: number, answer: CountedAnswer): void {
    const { side, route, measure, hasFailed, time, isSlow } = answer;
    const record = (name: string, change: number): void => {
      if (change === 0) return;
      addTo(this.#own, formatName([order, side, route, measure, name]), change);
    };
    record("answers", 1);
    record("failures", hasFailed ? 1 : 0);
    if (time === undefined) return;
    const value = encodeTime(time);
    record("times", 1);
    record("slow", isSlow ? 1 : 0);
    record("sumTime", value);
    record("sumTimeSquares", value * value);
  }

  /** Reads the requests sent by all nodes. */
  readSent(order: number): { readonly all: number; readonly fresh: number } {
    const read = (side: VersionSide): number =>
      this.#read(formatName([order, side, "", "", "sent"]));
    const fresh = read("fresh");
    return { all: fresh + read("old"), fresh };
  }

  /** Reads the answers to all nodes. */
  readSums(order: number): VersionSums {
    const sums = new Map<string, { fresh: AnswerSums; old: AnswerSums }>();
    const names = new Set([...this.#own.keys(), ...this.#peers.keys()]);
    for (const name of names) {
      const [id, side, route, measure, sum] = name.split(separator);
      const isSum = sumNames.some((known) => known === sum);
      if (id !== String(order) || sum === undefined || !isSum) continue;
      const key = formatAnswerKind({ route, measure });
      const both = sums.get(key) ?? { fresh: noAnswers, old: noAnswers };
      const isFresh = side === "fresh";
      const before = isFresh ? both.fresh : both.old;
      const after = { ...before, [sum]: this.#read(name) };
      sums.set(
        key,
        isFresh ? { ...both, fresh: after } : { ...both, old: after },
      );
    }
    return sums;
  }

  /** Forgets the counts of all but these orders. */
  retain(orders: ReadonlySet<number>): void {
    for (const counts of [this.#own, this.#peers]) {
      for (const name of counts.keys()) {
        const [id] = name.split(separator);
        if (!orders.has(Number(id))) counts.delete(name);
      }
    }
  }

  #read(name: string): number {
    return (this.#own.get(name) ?? 0) + (this.#peers.get(name) ?? 0);
  }
}

/** Formats the key of the sums of a route and a measure. */
export function formatAnswerKind(
  { route = "", measure = "" }: {
    readonly route?: string | undefined;
    readonly measure?: string | undefined;
  },
): string {
  return `${route} ${measure}`;
}

function formatName(parts: readonly (string | number)[]): string {
  return parts.join(separator);
}

function addTo(
  counts: Map<string, number>,
  name: string,
  change: number,
): void {
  counts.set(name, (counts.get(name) ?? 0) + change);
}

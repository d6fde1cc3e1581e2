/**
 * Passes what a node knows of operators' orders on to the others.
 *
 * Times are told as ages, since each node has its own clock. The time on the way
 * adds to them unseen; it is short against the time for which a step is in force.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import {
  hasEnded,
  maxBarredVersions,
  type RolloutRecord,
} from "@almondcrank/routing/rollouts/rollout.ts";
import type { RolloutBook } from "@almondcrank/routing/rollouts/rollout_book.ts";
import { z } from "zod";
import type { NewsSource } from "../cluster/report_news.ts";

const toldRecord = z.object({
  id: z.number(),
  service: z.string(),
  to: z.string(),
  durationMs: z.number(),
  from: z.array(z.string()),
  // Nodes of an earlier release tell none.
  barred: z.array(z.string()).max(maxBarredVersions).default([]),
  startedAgoMs: z.number(),
  state: z.enum(["in_progress", "completed", "reverted"]),
  number: z.number(),
  share: z.number(),
  most: z.number(),
  issuedAgoMs: z.number(),
  isFinishing: z.boolean(),
  stopReason: z.string().optional(),
});
const toldNews = z.object({
  records: z.array(toldRecord),
  checked: z.array(z.tuple([z.string(), z.array(z.string())])),
});

/** Largest number of orders, and of services whose versions are told. */
const maxRecords = 8;
const maxServices = 16;
/** Longest reason that is passed on, in characters. */
const maxReasonLength = 120;

/** Dependencies of the news. */
export interface RolloutNewsOptions {
  readonly book: RolloutBook;
  /** Clock that includes time in which the host was suspended. */
  readonly clock: Clock;
  /** Called with each record that changed by what a peer told. */
  readonly onLearned: (record: RolloutRecord) => void;
}

/** Creates the source of news. */
export function createRolloutNews(
  { book, clock, onLearned }: RolloutNewsOptions,
): NewsSource {
  return {
    name: "rollouts",
    maxBytes: 4_000,
    compose: () => {
      const now = clock.now();
      // Those in progress come first, then those that ended last.
      const known = book.list().toReversed();
      const records = [
        ...known.filter((record) => !hasEnded(record)),
        ...known.filter(hasEnded),
      ].slice(0, maxRecords).map((record) => composeRecord(record, now));
      const checked = book.listChecked().slice(0, maxServices)
        .map(([service, versions]): [string, string[]] => [
          service,
          [...versions],
        ]);
      const isEmpty = records.length === 0 && checked.length === 0;
      return isEmpty ? undefined : { records, checked };
    },
    apply: (news) => {
      const told = toldNews.safeParse(news);
      if (!told.success) return;
      const now = clock.now();
      for (const record of told.data.records) {
        const learned = decodeRecord(record, now);
        if (!book.learn(learned, now)) continue;
        onLearned(book.find(record.service) ?? learned);
      }
      for (const [service, versions] of told.data.checked) {
        book.recordChecked(service, versions);
      }
    },
  };
}

function composeRecord(
  { order, from, barred, startedAt, state, step, stopReason }: RolloutRecord,
  now: number,
): z.infer<typeof toldRecord> {
  const { id, service, to, durationMs } = order;
  return {
    id,
    service,
    to,
    durationMs,
    from: [...from],
    barred: [...barred],
    startedAgoMs: Math.round(now - startedAt),
    state,
    number: step.number,
    share: step.share,
    most: step.most,
    issuedAgoMs: Math.round(now - step.issuedAt),
    isFinishing: step.isFinishing,
    ...(stopReason === undefined
      ? {}
      : { stopReason: stopReason.slice(0, maxReasonLength) }),
  };
}

function decodeRecord(
  told: z.infer<typeof toldRecord>,
  now: number,
): RolloutRecord {
  const { id, service, to, durationMs, from, barred, state, stopReason } = told;
  return {
    order: { id, service, to, durationMs },
    from,
    barred,
    startedAt: now - told.startedAgoMs,
    state,
    step: {
      number: told.number,
      share: told.share,
      most: told.most,
      issuedAt: now - told.issuedAgoMs,
      isFinishing: told.isFinishing,
    },
    stopReason,
  };
}

/**
 * Creates the parts of a node that carry out rollouts, for deployments whose
 * contract has them.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import { RolloutBook } from "@almondcrank/routing/rollouts/rollout_book.ts";
import type { NewsSource } from "../cluster/report_news.ts";
import { AnswerCounts } from "./answer_counts.ts";
import { createRolloutNews } from "./rollout_news.ts";
import { formatStep, RolloutGate } from "./version_gate.ts";

/** Parts of one node. */
export interface RolloutParts {
  readonly book: RolloutBook;
  readonly gate: RolloutGate;
  readonly counts: AnswerCounts;
  readonly news: NewsSource;
}

/** What they depend on. */
export interface RolloutPartsOptions {
  /** Clock that includes time in which the host was suspended. */
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Creates the parts. */
export function createRolloutParts(
  options: RolloutPartsOptions,
): RolloutParts {
  const { clock, log } = options;
  const book = RolloutBook.create();
  const counts = AnswerCounts.create();
  const gate = RolloutGate.create({ ...options, book, counts });
  const lastSteps = new Map<string, string>();
  const news = createRolloutNews({
    book,
    clock,
    onLearned: (record) => {
      const { service, to } = record.order;
      const step = formatStep(record, clock.now());
      if (lastSteps.get(service) === `${to} ${step}`) return;
      lastSteps.set(service, `${to} ${step}`);
      log.info("a rollout's step was learnt.", {
        service,
        to,
        step,
        issuedAgoMs: Math.round(clock.now() - record.step.issuedAt),
        reason: record.stopReason,
      });
    },
  });
  return { book, gate, counts, news };
}

/**
 * News that all nodes pass on to each other with their reports.
 *
 * A source tells what this node knows, whoever learnt it first, with its age; the
 * receiver decides what is newer. News are part of every report, whatever nodes
 * it counts, and are bounded in bytes: a source beyond its bound is left out and
 * counted, so that it can't displace the rest of the report.
 */

import type { Metrics } from "@almondcrank/common/metrics.ts";

/** News of one part of the node. */
export interface NewsSource {
  /** Name in the reports. */
  readonly name: string;
  /** Largest size of its news, in bytes of JSON. */
  readonly maxBytes: number;
  /** Composes what to tell; undefined if there is nothing to tell. */
  compose(now: number): unknown;
  /** Applies what a peer told; it may be malformed. */
  apply(news: unknown, now: number): void;
}

/** The sources of one node. */
export class ReportNews {
  readonly #sources: readonly NewsSource[];
  readonly #metrics: Metrics;

  private constructor(sources: readonly NewsSource[], metrics: Metrics) {
    this.#sources = sources;
    this.#metrics = metrics;
  }

  static create(sources: readonly NewsSource[], metrics: Metrics): ReportNews {
    return new ReportNews(sources, metrics);
  }

  /** Composes the news of all sources, or of one, by their names. */
  compose(now: number, only?: string): Record<string, unknown> {
    const news: Record<string, unknown> = {};
    for (const source of this.#sources) {
      if (only !== undefined && source.name !== only) continue;
      const told = source.compose(now);
      if (told === undefined) continue;
      const { name, maxBytes } = source;
      if (Buffer.byteLength(JSON.stringify(told)) > maxBytes) {
        this.#metrics.count("report_news_dropped_total", { source: name });
        continue;
      }
      news[name] = told;
    }
    return news;
  }

  /** Applies the news of a report; those of unknown sources are ignored. */
  apply(news: Readonly<Record<string, unknown>>, now: number): void {
    for (const source of this.#sources) {
      const told = news[source.name];
      if (told !== undefined) source.apply(told, now);
    }
  }
}

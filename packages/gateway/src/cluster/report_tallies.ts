/**
 * Sums over all nodes, kept for parts of the node that decide by what all of them
 * have seen.
 *
 * A source counts what this node sees. Its sums travel with the reports and are
 * added up there like the other counters, so a lost report loses nothing and each
 * event counts once on every node.
 */

import type { Metrics } from "@almondcrank/common/metrics.ts";

/** Sums of one part of the node; they never decrease while it runs. */
export interface TallySource {
  /** Distinguishes its sums from those of other sources; contains no slash. */
  readonly name: string;
  /** Lists the sums of this node since its start, by name. */
  listOwn(): readonly (readonly [string, number])[];
  /** Adds what other nodes have counted since their last report. */
  applyPeer(name: string, change: number, now: number): void;
}

/** Largest number of sums of one source in a report; further ones aren't told. */
const maxTalliesPerSource = 256;

/** The sources of one node. */
export class ReportTallies {
  readonly #sources: ReadonlyMap<string, TallySource>;
  readonly #metrics: Metrics;

  private constructor(sources: readonly TallySource[], metrics: Metrics) {
    this.#sources = new Map(sources.map((source) => [source.name, source]));
    this.#metrics = metrics;
  }

  static create(
    sources: readonly TallySource[],
    metrics: Metrics,
  ): ReportTallies {
    return new ReportTallies(sources, metrics);
  }

  /** Lists the sums of this node, with the name of their source before a slash. */
  listOwn(): [string, number][] {
    return [...this.#sources.values()].flatMap((source) => {
      const sums = source.listOwn();
      const dropped = Math.max(0, sums.length - maxTalliesPerSource);
      this.#metrics.setGauge("report_tallies_dropped", dropped, {
        source: source.name,
      });
      return sums.slice(0, maxTalliesPerSource)
        .map((
          [name, sum],
        ): [string, number] => [`${source.name}/${name}`, sum]);
    });
  }

  /** Applies a change of one sum; sums of unknown sources are ignored. */
  applyPeer(key: string, change: number, now: number): void {
    const slash = key.indexOf("/");
    const source = this.#sources.get(key.slice(0, slash));
    source?.applyPeer(key.slice(slash + 1), change, now);
  }
}

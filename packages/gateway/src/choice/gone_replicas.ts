/**
 * Tells other nodes which registrations have gone, ahead of the copies that lack
 * them. What a node of the build before does not know, it ignores.
 */

import type { NewsSource } from "../cluster/report_news.ts";
import type { ReplicaTable } from "./replica_table.ts";

/** Most bytes of the list: some fifty replicas. */
const maxBytes = 2_000;

/** Registrations that went, as one node knows them. */
export class GoneReplicas implements NewsSource {
  readonly name = "gone";
  readonly maxBytes = maxBytes;
  readonly #table: ReplicaTable;

  private constructor(table: ReplicaTable) {
    this.#table = table;
  }

  static create(table: ReplicaTable): GoneReplicas {
    return new GoneReplicas(table);
  }

  compose(now: number): unknown {
    const gone = this.#table.listToldGone(now);
    return gone.length === 0 ? undefined : gone;
  }

  apply(news: unknown, now: number): void {
    if (!Array.isArray(news)) return;
    for (const entry of news) {
      if (!Array.isArray(entry)) continue;
      const [key, asOf] = entry;
      if (typeof key !== "string" || typeof asOf !== "number") continue;
      this.#table.recordGone(key, asOf, now);
    }
  }
}

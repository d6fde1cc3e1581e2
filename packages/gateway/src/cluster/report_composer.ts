/**
 * Composes the reports that nodes send each other: that of this node, the sums of
 * its zone, and those of the system.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { PartQuarantine } from "@almondcrank/routing/quarantine/part_quarantine.ts";
import type { RetryBudget } from "@almondcrank/routing/repeats/retry_budget.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import type { UsageCounts } from "../duties/usage_counts.ts";
import type { WorkMeter } from "../duties/work_meter.ts";
import type { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import { composeAlive } from "./alive_members.ts";
import type { MemberTable } from "./member_table.ts";
import type { PeerReport } from "./peer_messages.ts";
import { listLimits, listOwnLoads } from "./replica_reports.ts";
import type { ReportCollector } from "./report_collector.ts";
import {
  addCounters,
  composeCounterLists,
  type Counters,
  readCounters,
} from "./report_counters.ts";
import type { ReportNews } from "./report_news.ts";
import { LoadSums } from "./report_sums.ts";
import type { ReportTallies } from "./report_tallies.ts";
import { formatSuspects } from "./suspect_reports.ts";

/** Time in which the reports of one tick are composed. */
const sameTickMs = 20;

/** Dependencies of a report composer. */
export interface ReportComposerOptions {
  readonly zone: string;
  /** Clock of membership and feeds; it includes time of suspension. */
  readonly clock: Clock;
  /** Clock of limits. */
  readonly limitsClock: Clock;
  readonly members: MemberTable;
  readonly rateLimiter: TenantRateLimiter;
  readonly budget: RetryBudget;
  readonly table: ReplicaTable;
  readonly usage: UsageCounts;
  readonly work: WorkMeter;
  readonly quarantine: PartQuarantine;
  readonly tallies: ReportTallies;
  readonly news: ReportNews;
}

/** Options of a report. */
export interface ReportOptions {
  /** Whether to list the other nodes, for receivers that lack some. */
  readonly withMembers: boolean;
}

/** What all reports tell, whatever their scope. */
type ToldNews = Pick<PeerReport, "leaving" | "suspects" | "limits" | "news">;

/** A report that tells nothing. */
const emptyReport: PeerReport = {
  allowances: [],
  budgets: [],
  work: [],
  tallies: [],
  loads: [],
  news: {},
  leaving: [],
  suspects: [],
  limits: [],
  usage: [],
  alive: [],
  members: [],
};

/** Report composer of one node. */
export class ReportComposer {
  readonly #options: ReportComposerOptions;
  readonly #collector: ReportCollector;
  /** Counters of this node as of its last report. */
  #ownCounters: Counters = new Map();
  #levels: ReadonlyMap<string, number> = new Map();
  /** News of the last reports, and the time at which they were listed. */
  #told: ToldNews | undefined;
  #toldAt = -Infinity;

  private constructor(
    options: ReportComposerOptions,
    collector: ReportCollector,
  ) {
    this.#options = options;
    this.#collector = collector;
  }

  /** Creates a composer of reports with the sums of a collector. */
  static create(
    options: ReportComposerOptions,
    collector: ReportCollector,
  ): ReportComposer {
    return new ReportComposer(options, collector);
  }

  /** Composes the report of this node. */
  composeNode({ withMembers }: ReportOptions): PeerReport {
    const { limitsClock, rateLimiter, budget, table, usage, work, tallies } =
      this.#options;
    const allowances = rateLimiter.reportLevels(limitsClock.now());
    this.#levels = new Map(allowances.map(([name, level]) => [name, level]));
    const lists = {
      allowances: allowances.map((entry): [string, number, number] => [
        ...entry,
      ]),
      budgets: budget.listSums().map((entry): [string, number, number] => [
        ...entry,
      ]),
      work: work.listSums().map((entry): [string, number, number] => [
        ...entry,
      ]),
      tallies: tallies.listOwn(),
    };
    this.#ownCounters = readCounters(lists);
    return {
      ...lists,
      loads: listOwnLoads(table),
      ...this.#listNews(),
      usage: usage.listRecent(),
      alive: [],
      members: withMembers ? this.#listMembers() : [],
    };
  }

  /** Composes a report that only lists the members, for a node that started. */
  composeMemberList(): PeerReport {
    return {
      ...emptyReport,
      ...this.#listNews(),
      leaving: [],
      members: this.#listMembers(),
    };
  }

  /**
   * Composes a report that only lists the replicas that are leaving; undefined if
   * none is. It passes from node to node without waiting for a copy of the feeds.
   */
  composeLeaving(): PeerReport | undefined {
    const { table, news, limitsClock } = this.#options;
    const now = limitsClock.now();
    const leaving = table.listToldLeaving(now);
    const gone = news.compose(now, "gone");
    const isEmpty = leaving.length === 0 && Object.keys(gone).length === 0;
    return isEmpty ? undefined : { ...emptyReport, leaving, news: gone };
  }

  /** Composes the sums of this relay's zone, as of its last own report. */
  composeZone(): PeerReport {
    const { zone, table, usage, members, clock } = this.#options;
    const counters = new Map(this.#collector.readCountedOfZone(zone));
    addCounters(counters, this.#ownCounters);
    const loads = LoadSums.create();
    loads.add(listOwnLoads(table));
    for (const list of this.#collector.listNodeLoads()) loads.add(list);
    const neighbours = members.listAlive(clock.now())
      .filter((member) => member.zone === zone);
    return {
      ...composeCounterLists(counters, (name) => this.#levels.get(name) ?? 0),
      loads: loads.list(),
      ...this.#listNews(),
      usage: usage.listZoneSums(),
      alive: composeAlive(neighbours, clock.now()),
      members: [],
    };
  }

  /** Composes the sums of all nodes that this relay knows of. */
  composeSystem({ withMembers }: ReportOptions): PeerReport {
    const { table, usage, members, clock } = this.#options;
    const counters = this.#collector.sumCounted();
    addCounters(counters, this.#ownCounters);
    const loads = this.#collector.sumLoads();
    loads.add(listOwnLoads(table));
    return {
      ...composeCounterLists(counters, (name) => this.#levels.get(name) ?? 0),
      loads: loads.list(),
      ...this.#listNews(),
      usage: usage.listSystemSums(),
      alive: composeAlive(members.listAlive(clock.now()), clock.now()),
      members: withMembers ? this.#listMembers() : [],
    };
  }

  /** Lists what all reports tell, whatever their scope; the same in one tick. */
  #listNews(): ToldNews {
    const { table, quarantine, news, limitsClock } = this.#options;
    const now = limitsClock.now();
    if (this.#told !== undefined && now - this.#toldAt < sameTickMs) {
      return this.#told;
    }
    this.#toldAt = now;
    return this.#told = {
      leaving: table.listToldLeaving(now),
      suspects: formatSuspects(quarantine.listTold(now)),
      limits: listLimits(table, now),
      news: news.compose(now),
    };
  }

  #listMembers(): PeerReport["members"] {
    const { members, clock } = this.#options;
    return members.listKnown(clock.now())
      .map(({ node, ip, zone }) => ({ node, ip, zone }));
  }
}

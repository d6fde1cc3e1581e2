/**
 * Collects the reports of other nodes and counts what they tell.
 *
 * In a small system each node reports for itself. Where relays sum the reports, a
 * relay collects those of its zone's nodes and the sums of the other zones, and any
 * other node the sums of the system.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { WorkMeter } from "../duties/work_meter.ts";
import type { UsageCounts, UsageSource } from "../duties/usage_counts.ts";
import { summedPeers } from "../limits/peer_use.ts";
import type { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import type { RetryBudget } from "@almondcrank/routing/repeats/retry_budget.ts";
import type { Member, MemberTable } from "./member_table.ts";
import type {
  IncludedReport,
  PeerMessage,
  PeerReport,
} from "./peer_messages.ts";
import {
  addCounters,
  type Counters,
  parseCounterKey,
  readCounters,
  subtractCounters,
} from "./report_counters.ts";
import { LoadSums, ReportSums } from "./report_sums.ts";
import type { ReportTallies } from "./report_tallies.ts";

/** Uptime below which a node's first report to a relay counts from its start. */
const justStartedMs = 1_500;
/** Age up to which a sum of loads is used. */
const maxLoadAgeMs = 2_400;
/** Whose reports a node collects. */
export type CollectorRole =
  /** Those of all nodes. */
  | "mesh"
  /** Those of its zone's nodes, and the sums of other zones. */
  | "relay"
  /** The sums of the system. */
  | "listener";

/** Dependencies of a collector. */
export interface ReportCollectorOptions {
  readonly zone: string;
  /** Clock of membership. */
  readonly clock: Clock;
  /** Clock of limits. */
  readonly limitsClock: Clock;
  readonly members: MemberTable;
  readonly rateLimiter: TenantRateLimiter;
  readonly budget: RetryBudget;
  readonly usage: UsageCounts;
  readonly work: WorkMeter;
  readonly tallies: ReportTallies;
}

/** Last report of a node that reports to this one directly. */
interface NodeReport {
  readonly incarnation: string;
  readonly zone: string;
  readonly counters: Counters;
  /** Changes of its counters that this node has counted. */
  readonly counted: ReadonlyMap<string, number>;
  readonly loads: PeerReport["loads"];
  /** Whether it was received in another role than the present one. */
  readonly isOfOtherRole: boolean;
  /** Monotonic time at which it arrived, in milliseconds. */
  readonly at: number;
}

/** Reports that one node has collected. */
export class ReportCollector {
  readonly #options: ReportCollectorOptions;
  readonly #startedAt: number;
  #role: CollectorRole = "mesh";
  readonly #nodes = new Map<string, NodeReport>();
  /** Sums of other zones, for a relay. */
  readonly #zones = new Map<string, ReportSums>();
  /** Sums of the whole system, for a listener. */
  #system = ReportSums.create();
  /** Changes counted so far, by zone of the nodes they come from. */
  readonly #countedByZone = new Map<string, Map<string, number>>();

  private constructor(options: ReportCollectorOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  static create(options: ReportCollectorOptions): ReportCollector {
    return new ReportCollector(options);
  }

  /**
   * Sets whose reports count. What was told to another role since then was counted
   * there, so reports of the new role count from their next ones on.
   */
  setRole(role: CollectorRole): void {
    if (role === this.#role) return;
    this.#role = role;
    this.#zones.clear();
    this.#system = ReportSums.create();
    for (const [node, report] of this.#nodes) {
      this.#nodes.set(node, { ...report, isOfOtherRole: true });
    }
    if (role !== "mesh") this.#forgetOtherZones();
  }

  /** Applies a report that counts for this node's role; others are ignored. */
  apply(message: PeerMessage, report: PeerReport, now: number): void {
    const isRelay = this.#role === "relay";
    switch (message.scope) {
      case "none":
        return;
      case "node": {
        // A node that has just started reports to all nodes that it knows.
        const isOwnZone = message.zone === this.#options.zone;
        if (this.#role === "mesh" || (isRelay && isOwnZone)) {
          this.#applyNode(message, report, now);
        }
        return;
      }
      case "zone":
        if (isRelay) this.#applyZone(message, report, now);
        return;
      case "system":
        if (this.#role === "listener") this.#applySystem(message, report, now);
        return;
    }
  }

  /** Counters of a zone's nodes that were counted, without this node's own. */
  readCountedOfZone(zone: string): Counters {
    return this.#countedByZone.get(zone) ?? new Map<string, number>();
  }

  /** The same of all zones. */
  sumCounted(): Map<string, number> {
    const sums = new Map<string, number>();
    for (const counted of this.#countedByZone.values()) {
      addCounters(sums, counted);
    }
    return sums;
  }

  /** Lists the nodes that report to this relay at present. */
  listReporters(): readonly Member[] {
    const { members, clock } = this.#options;
    const now = clock.now();
    return [...this.#nodes].flatMap(([node, { at }]) => {
      const member = members.find(node);
      return member !== undefined && now - at <= maxLoadAgeMs ? [member] : [];
    });
  }

  /** Part of a report of the system that comes from its receiver. */
  composeIncluded({ node, incarnation }: Member): IncludedReport {
    const report = this.#nodes.get(node);
    const usage = this.#options.usage.listNodeCounts(node, incarnation);
    return {
      counters: [...report?.counted ?? []],
      loads: report?.loads ?? [],
      usage: usage.map(([window, counts]) => [window, { ...counts }]),
    };
  }

  /** Sums the loads of all other nodes, from whatever reports count. */
  sumLoads(): LoadSums {
    const now = this.#options.clock.now();
    const sums = LoadSums.create();
    if (this.#role === "listener") {
      sums.add(this.#system.listLoads(now, maxLoadAgeMs));
      return sums;
    }
    for (const loads of this.listNodeLoads()) sums.add(loads);
    for (const zone of this.#zones.values()) {
      sums.add(zone.listLoads(now, maxLoadAgeMs));
    }
    return sums;
  }

  /** Loads of the nodes that report to this one directly and are alive. */
  listNodeLoads(): readonly PeerReport["loads"][] {
    const { members, clock } = this.#options;
    const alive = new Set(
      members.listAlive(clock.now()).map(({ node }) => node),
    );
    return [...this.#nodes]
      .filter(([node]) => alive.has(node))
      .map(([, { loads }]) => loads);
  }

  /** Forgets single nodes of other zones, of which relays report sums. */
  #forgetOtherZones(): void {
    const { zone, usage } = this.#options;
    for (const [node, report] of this.#nodes) {
      if (report.zone === zone) continue;
      this.#nodes.delete(node);
      usage.forgetNode(node);
    }
  }

  #applyNode(message: PeerMessage, report: PeerReport, now: number): void {
    const { node, incarnation, zone } = message;
    const previous = this.#nodes.get(node);
    const isSameIncarnation = previous?.incarnation === incarnation;
    const counters = readCounters(report);
    const isBaseline = isSameIncarnation
      ? previous.isOfOtherRole
      : this.#isLongRunning(message, now);
    if (isBaseline && !isSameIncarnation) this.#adoptLevels(message, report);
    const earlier = isSameIncarnation
      ? previous.counters
      : new Map<string, number>();
    const changes = subtractCounters(counters, isBaseline ? counters : earlier);
    this.#applyChanges(node, zone, changes);
    const counted = new Map(previous?.counted ?? []);
    addCounters(counted, changes);
    const { loads } = report;
    this.#nodes.set(node, {
      incarnation,
      zone,
      counters,
      counted,
      loads,
      isOfOtherRole: false,
      at: now,
    });
    this.#applyUsage({ kind: "node", node, incarnation }, report.usage);
  }

  /** Whether a node's earlier activity is part of what this node has adopted. */
  #isLongRunning({ upMs }: PeerMessage, now: number): boolean {
    return this.#role === "mesh"
      ? upMs > now - this.#startedAt
      : upMs > justStartedMs;
  }

  #applyZone(message: PeerMessage, report: PeerReport, now: number): void {
    const { zone } = message;
    if (zone === this.#options.zone) return;
    let sums = this.#zones.get(zone);
    if (sums === undefined) {
      sums = ReportSums.create();
      this.#zones.set(zone, sums);
    }
    const content = { counters: readCounters(report), loads: report.loads };
    const changes = sums.apply(formatSender(message), content, now);
    this.#applyUsage({ kind: "zone", zone }, report.usage);
    if (changes !== undefined) this.#applyChanges(summedPeers, zone, changes);
  }

  #applySystem(message: PeerMessage, report: PeerReport, now: number): void {
    const { included } = message;
    if (included === null) return;
    if (message.upMs > now - this.#startedAt) {
      this.#adoptLevels(message, report);
    }
    const counters = subtractCounters(
      readCounters(report),
      new Map(included.counters),
    );
    const loads = LoadSums.create();
    loads.add(report.loads);
    loads.add(included.loads, -1);
    const content = { counters, loads: loads.list() };
    const changes = this.#system.apply(formatSender(message), content, now);
    this.#applyUsage({ kind: "system" }, subtractUsage(report.usage, included));
    if (changes !== undefined) {
      this.#applyChanges(summedPeers, message.zone, changes);
    }
  }

  #applyChanges(peer: string, zone: string, changes: Counters): void {
    const { rateLimiter, budget, work, tallies, limitsClock } = this.#options;
    const now = limitsClock.now();
    rateLimiter.recordHeard(now);
    for (const [key, change] of changes) {
      const { kind, name } = parseCounterKey(key);
      switch (kind) {
        case "cost":
          rateLimiter.applyPeerCharge(
            { peer, tenant: name, cost: change },
            now,
          );
          break;
        case "requests":
          budget.applyPeerCounts(name, { requests: change, retries: 0 }, now);
          break;
        case "retries":
          budget.applyPeerCounts(name, { requests: 0, retries: change }, now);
          break;
        case "work":
          work.applyPeerWork(name, change, now);
          break;
        case "tally":
          tallies.applyPeer(name, change, now);
          break;
      }
    }
    const counted = this.#countedByZone.get(zone) ?? new Map<string, number>();
    addCounters(counted, changes);
    this.#countedByZone.set(zone, counted);
  }

  #adoptLevels({ upMs }: PeerMessage, { allowances }: PeerReport): void {
    this.#options.rateLimiter.recordTold(upMs);
    for (const [tenant, level] of allowances) {
      this.#options.rateLimiter.adoptLevel(tenant, level);
    }
  }

  #applyUsage(source: UsageSource, list: PeerReport["usage"]): void {
    for (const [window, counts] of list) {
      this.#options.usage.applyPeerCounts(source, { window, counts });
    }
  }
}

function formatSender({ node, incarnation }: PeerMessage): string {
  return `${node}/${incarnation}`;
}

/** Takes the counts of a receiver out of the sums of the system. */
function subtractUsage(
  sums: PeerReport["usage"],
  { usage }: IncludedReport,
): PeerReport["usage"] {
  const included = new Map(usage);
  return sums.map(([window, counts]) => {
    const own = included.get(window) ?? {};
    const entries = Object.entries(counts)
      .map(([tenant, count]) => [tenant, count - (own[tenant] ?? 0)]);
    return [window, Object.fromEntries(entries)];
  });
}

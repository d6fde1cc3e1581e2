/**
 * Composes the messages that nodes send each other, and applies received ones.
 *
 * It has no sockets: `composeHeader` and `composeReport` compose the parts of a
 * datagram, and `apply` applies a received one.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { readStoreEra } from "@almondcrank/infrastructure/store_version.ts";
import type { NodeLoad } from "../choice/replica_state.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import type { WorkMeter } from "../duties/work_meter.ts";
import type { UsageCounts } from "../duties/usage_counts.ts";
import type { FeedKind, FeedState } from "../feed/feed_state.ts";
import type { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import type { RetryBudget } from "../limits/retry_budget.ts";
import type { Member, MemberTable } from "./member_table.ts";
import type {
  FeedStatus,
  PeerHeader,
  PeerMessage,
  PeerReport,
} from "./peer_messages.ts";

/** Dependencies of a peer exchange. */
export interface PeerExchangeOptions {
  readonly node: string;
  readonly incarnation: string;
  readonly ip: string;
  /** Clock of membership and feeds; it includes time of suspension. */
  readonly clock: Clock;
  /** Clock of limits. */
  readonly limitsClock: Clock;
  readonly members: MemberTable;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  readonly rateLimiter: TenantRateLimiter;
  readonly budget: RetryBudget;
  readonly table: ReplicaTable;
  readonly usage: UsageCounts;
  readonly work: WorkMeter;
  readonly isDraining: () => boolean;
  /** Whether this node currently does not reach the store. */
  readonly isStoreUnreachable: () => boolean;
  /** Fencing token while this node holds the duties' lease. */
  readonly readFencingToken: () => number | undefined;
  /** Pulls the newer copy of a peer. */
  readonly pullFeed: (kind: FeedKind, ip: string) => void;
}

/** Options of a report. */
export interface ReportOptions {
  /** Whether to list the other nodes, for receivers that lack some. */
  readonly withMembers: boolean;
}

type Counters = ReadonlyMap<string, readonly [number, number]>;

/** Last reported counters and loads of one peer. */
interface PeerCounters {
  readonly incarnation: string;
  readonly allowances: Counters;
  readonly budgets: Counters;
  readonly work: Counters;
  readonly loads: PeerReport["loads"];
}

/** Peer exchange of one node. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #startedAt: number;
  readonly #peers = new Map<string, PeerCounters>();

  private constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  /** Composes the header of a datagram for one receiver. */
  composeHeader(receiver: Member | undefined): PeerHeader {
    const { clock } = this.#options;
    const now = clock.now();
    return {
      node: this.#options.node,
      incarnation: this.#options.incarnation,
      ip: this.#options.ip,
      upMs: now - this.#startedAt,
      isDraining: this.#options.isDraining(),
      isStoreUnreachable: this.#options.isStoreUnreachable(),
      sentAt: now,
      wallTime: clock.wallTime(),
      echo: receiver === undefined
        ? null
        : { sentAt: receiver.sentAt, heldMs: now - receiver.lastSeenAt },
      configuration: this.#composeStatus("configuration", now),
      replicas: this.#composeStatus("replicas", now),
      duty: this.#options.readFencingToken() ?? null,
    };
  }

  /** Composes the report of this node. */
  composeReport({ withMembers }: ReportOptions): PeerReport {
    const {
      clock,
      limitsClock,
      members,
      rateLimiter,
      budget,
      table,
      usage,
      work,
    } = this.#options;
    const known = withMembers ? members.listKnown(clock.now()) : [];
    return {
      allowances: rateLimiter.reportLevels(limitsClock.now())
        .map((entry) => [...entry]),
      budgets: budget.listSums().map((entry) => [...entry]),
      work: work.listSums().map((entry) => [...entry]),
      loads: this.#listLoads(),
      leaving: table.listAnnouncedLeaving(),
      usage: usage.listRecent(),
      members: known.map(({ node, ip }) => [node, ip]),
    };
  }

  /** Applies a datagram; returns whether its sender is a new incarnation. */
  apply(message: PeerMessage): boolean {
    const { node, members, clock, usage } = this.#options;
    if (message.node === node) return false;
    const now = clock.now();
    const isNew = members.record({
      node: message.node,
      incarnation: message.incarnation,
      ip: message.ip,
      isDraining: message.isDraining,
      isStoreUnreachable: message.isStoreUnreachable,
      lastSeenAt: now,
      wallTimeOffset: message.wallTime - now,
      fencingToken: message.duty ?? undefined,
      sentAt: message.sentAt,
    });
    this.#applyStatus("configuration", message);
    this.#applyStatus("replicas", message);
    const { report } = message;
    if (report === undefined) return isNew;
    for (const [name, ip] of report.members) {
      if (name !== node) members.addAddress(ip, now);
    }
    this.#applyReport(message, report, now);
    for (const [window, counts] of report.usage) {
      usage.applyPeerCounts(message.node, message.incarnation, {
        window,
        counts,
      });
    }
    return isNew;
  }

  /**
   * Updates the peers' load of each replica, and this node's share of limits.
   *
   * @param rounds Number of ticks after which each peer has received a report.
   */
  refresh(rounds: number): void {
    const { members, clock, table, rateLimiter, budget } = this.#options;
    const now = clock.now();
    const limitsNow = this.#options.limitsClock.now();
    const heard = members.listAlive(now);
    const known = members.listKnown(now);
    const listNames = (members: readonly Member[]): readonly string[] =>
      members.map((member) => member.node).sort();
    rateLimiter.setPeers(
      {
        known: listNames(known),
        heard: listNames(heard),
        reportsPerRound: rounds,
      },
      limitsNow,
    );
    budget.setShare((heard.length + 1) / (known.length + 1));
    const totals = new Map<string, NodeLoad>();
    for (const member of heard) this.#addLoads(totals, member);
    for (const state of table.listAll()) {
      state.setPeerLoad(
        totals.get(state.key) ??
          { active: 0, pendingTokens: 0, activeTokens: 0 },
      );
    }
  }

  #addLoads(totals: Map<string, NodeLoad>, member: Member): void {
    for (const entry of this.#peers.get(member.node)?.loads ?? []) {
      const [key, active, pendingTokens, activeTokens] = entry;
      const total = totals.get(key);
      totals.set(key, {
        active: active + (total?.active ?? 0),
        pendingTokens: pendingTokens + (total?.pendingTokens ?? 0),
        activeTokens: activeTokens + (total?.activeTokens ?? 0),
      });
    }
  }

  #listLoads(): PeerReport["loads"] {
    const loads: PeerReport["loads"] = [];
    for (const { key, ownLoad: own } of this.#options.table.listAll()) {
      if (own.active === 0) continue;
      loads.push([key, own.active, own.pendingTokens, own.activeTokens]);
    }
    return loads;
  }

  #composeStatus(kind: FeedKind, now: number): FeedStatus {
    const state = this.#options.feeds[kind];
    const formatAge = (time: number): number | null =>
      Number.isFinite(time) ? now - time : null;
    return {
      ...state.version,
      ageMs: formatAge(state.confirmedAt),
      outageMs: formatAge(state.lastOutageAt),
      readMs: formatAge(state.lastReadAt),
    };
  }

  /** Confirms this node's copy by an equal one, or pulls a newer one. */
  #applyStatus(kind: FeedKind, message: PeerMessage): void {
    const { feeds, clock } = this.#options;
    const state = feeds[kind];
    const status = message[kind];
    const isBefore = message.node < this.#options.node;
    if (isBefore && status.readMs !== null) {
      state.recordPrecedingRead(clock.now() - status.readMs);
    }
    const { digest } = state.version;
    const isSame = status.digest === digest && state.isSynced;
    if (!isSame) return this.#handleOtherCopy(kind, status, message.ip);
    const { echo } = message;
    if (echo === null || status.ageMs === null) return;
    // The peer received our datagram after we sent it, so a confirmation counted
    // from our own timestamp never appears more recent than it is.
    if (echo.sentAt > clock.now()) return;
    state.confirm(echo.sentAt + echo.heldMs - status.ageMs);
    if (status.outageMs !== null) {
      state.recordOutage(clock.now() - status.outageMs);
    }
  }

  /** Pulls the copy of a peer if it may hold something newer. */
  #handleOtherCopy(kind: FeedKind, { asOf }: FeedStatus, ip: string): void {
    const { feeds, clock, pullFeed } = this.#options;
    const state = feeds[kind];
    const own = state.version.asOf;
    const now = clock.now();
    // A node that started after a restore learns of it from its peers.
    const isBeforeRestore = asOf > 0 && state.isSynced &&
      readStoreEra(asOf) < readStoreEra(own);
    if (isBeforeRestore && !state.isMerging(now)) state.recordRestore(now);
    if (asOf > own || (asOf > 0 && state.isMerging(now))) pullFeed(kind, ip);
  }

  #applyReport(message: PeerMessage, report: PeerReport, now: number): void {
    const { rateLimiter, budget, table, limitsClock } = this.#options;
    const limitsNow = limitsClock.now();
    for (const key of report.leaving) table.recordLeaving(key, limitsNow);
    const previous = this.#peers.get(message.node);
    const isSameIncarnation = previous?.incarnation === message.incarnation;
    // What a peer did before this node started is part of the adopted levels.
    const isOlderPeer = message.upMs > now - this.#startedAt;
    const isBaseline = !isSameIncarnation && isOlderPeer;
    for (const [tenant, level, admitted] of report.allowances) {
      if (isBaseline) rateLimiter.adoptLevel(tenant, level);
      const before = isSameIncarnation
        ? previous?.allowances.get(tenant)?.[1] ?? 0
        : 0;
      if (!isBaseline) {
        const cost = admitted - before;
        rateLimiter.applyPeerCharge(
          { peer: message.node, tenant, cost },
          limitsNow,
        );
      }
    }
    for (const [service, requests, retries] of report.budgets) {
      const before = isSameIncarnation
        ? previous?.budgets.get(service) ?? [0, 0]
        : [0, 0];
      const delta = {
        requests: requests - (before[0] ?? 0),
        retries: retries - (before[1] ?? 0),
      };
      if (!isBaseline) budget.applyPeerCounts(service, delta, limitsNow);
    }
    for (const [service, ms] of report.work) {
      const before = isSameIncarnation
        ? previous?.work.get(service)?.[0] ?? 0
        : 0;
      if (!isBaseline) {
        this.#options.work.applyPeerWork(service, ms - before, limitsNow);
      }
    }
    this.#peers.set(message.node, {
      incarnation: message.incarnation,
      allowances: indexCounters(report.allowances),
      budgets: indexCounters(report.budgets),
      work: indexCounters(report.work),
      loads: report.loads,
    });
  }
}

function indexCounters(
  entries: readonly (readonly [string, number, number])[],
): Counters {
  return new Map(
    entries.map(([name, first, second]) => [name, [first, second]]),
  );
}

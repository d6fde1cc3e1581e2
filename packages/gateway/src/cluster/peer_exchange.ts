/**
 * Composes the headers of the messages that nodes send each other, and applies
 * received messages.
 *
 * It has no sockets: `composeHeader` and `reports` compose the parts of a datagram,
 * and `apply` applies a received one. The topology decides whose reports count:
 * those of single nodes, of zones, or of the system.
 */

import type { Event } from "@almondcrank/common/emitter.ts";
import type { FeedKind, FeedState } from "../feed/feed_state.ts";
import type { LimitShares } from "@almondcrank/routing/limits/limit_shares.ts";
import { FeedStatuses } from "./feed_statuses.ts";
import type { Member } from "./member_table.ts";
import type {
  AliveMember,
  IncludedReport,
  PeerHeader,
  PeerMessage,
  PeerReport,
  ReportScope,
} from "./peer_messages.ts";
import { applyLimits } from "./replica_reports.ts";
import { RelayWatch } from "./relay_watch.ts";
import { ReportCollector } from "./report_collector.ts";
import {
  ReportComposer,
  type ReportComposerOptions,
} from "./report_composer.ts";
import { parseSuspects } from "./suspect_reports.ts";
import {
  chooseTickMs,
  chooseTopology,
  chooseZoneShare,
  type ReportTopology,
} from "./report_topology.ts";

/** Reports on the way from a node over two relays to another node. */
const reportsToCrossZones = 3;
/** Shortest time assumed for reports over relays, in case one is lost. */
const minRoundMs = 600;
/** Time for which a node that sent the sums of its zone gets those of this one. */
const zoneSenderMs = 2_400;

/** Dependencies of a peer exchange. */
export interface PeerExchangeOptions extends ReportComposerOptions {
  readonly node: string;
  readonly incarnation: string;
  readonly ip: string;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  readonly limitShares: LimitShares;
  readonly isDraining: () => boolean;
  /** Whether this node currently does not reach the store. */
  readonly isStoreUnreachable: () => boolean;
  /** Fencing token while this node holds the duties' lease. */
  readonly readFencingToken: () => number | undefined;
  /** Pulls the newer copy of a peer. */
  readonly pullFeed: (kind: FeedKind, ip: string) => void;
}

/** Names of the nodes that share limits with this one, and of those it hears. */
interface Sharers {
  readonly known: readonly string[];
  readonly heard: readonly string[];
  /** Whether this node has just started and hears nobody. */
  readonly isAlone: boolean;
}

/** What a header says of the report behind it. */
export interface HeaderOptions {
  readonly scope: ReportScope;
  /** Part of the report that comes from its receiver. */
  readonly included?: IncludedReport | null;
  /** Time since the report was composed, in milliseconds. */
  readonly heldMs?: number;
}

/** Peer exchange of one node. */
export class PeerExchange {
  /** Composes the reports of this node. */
  readonly reports: ReportComposer;
  readonly #options: PeerExchangeOptions;
  readonly #startedAt: number;
  readonly #collector: ReportCollector;
  readonly #statuses: FeedStatuses;
  #topology: ReportTopology = { kind: "mesh" };
  readonly #relays = RelayWatch.create();
  /** Time of the last sums of its zone that each relay sent to this one. */
  readonly #zoneSenders = new Map<string, number>();

  private constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#collector = ReportCollector.create(options);
    this.reports = ReportComposer.create(options, this.#collector);
    this.#statuses = FeedStatuses.create(options);
  }

  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  /** Fired when a replica starts to leave, as far as this node knows. */
  get onLeaving(): Event<unknown> {
    return this.#options.table.onLeaving;
  }

  /** Receivers of this node's reports, as of the last `refresh`. */
  get topology(): ReportTopology {
    return this.#topology;
  }

  /** Lists the nodes that report to this relay at present. */
  listReporters(): readonly Member[] {
    return this.#collector.listReporters();
  }

  /** Composes the header of a datagram for one receiver. */
  composeHeader(
    receiver: Member | undefined,
    { scope, included = null, heldMs = 0 }: HeaderOptions,
  ): PeerHeader {
    const { clock, members } = this.#options;
    const now = clock.now();
    const datagram = receiver?.datagram;
    return {
      node: this.#options.node,
      incarnation: this.#options.incarnation,
      ip: this.#options.ip,
      zone: this.#options.zone,
      scope,
      upMs: now - this.#startedAt,
      isDraining: this.#options.isDraining(),
      isStoreUnreachable: this.#options.isStoreUnreachable(),
      sentAt: now,
      heldMs,
      wallTime: clock.wallTime(),
      // The receivers of a relay hear few clocks themselves.
      medianTime: this.#isRelay
        ? members.computeWallTime(now, clock.wallTime())
        : null,
      echo: datagram === undefined
        ? null
        : { sentAt: datagram.sentAt, heldMs: now - datagram.receivedAt },
      ...this.#statuses.compose(now),
      duty: this.#options.readFencingToken() ?? null,
      included,
    };
  }

  /** Composes what the sums of the system have of one receiver at this moment. */
  composeIncluded(receiver: Member): IncludedReport {
    return this.#collector.composeIncluded(receiver);
  }

  /** Applies a datagram; returns whether its sender is a new incarnation. */
  apply(message: PeerMessage): boolean {
    const { node, members, clock } = this.#options;
    if (message.node === node) return false;
    const now = clock.now();
    const isNew = members.record({
      node: message.node,
      incarnation: message.incarnation,
      ip: message.ip,
      zone: message.zone,
      isDraining: message.isDraining,
      isStoreUnreachable: message.isStoreUnreachable,
      lastSeenAt: now,
      fencingToken: message.duty ?? undefined,
      datagram: {
        receivedAt: now,
        sentAt: message.sentAt,
        wallTimeOffset: this.#chooseTime(message) - now,
      },
    });
    this.#statuses.apply(message);
    if (message.report !== undefined) {
      this.#applyReport(message, message.report, now);
    }
    return isNew;
  }

  /** Updates the topology, the peers' load of each replica, and the limits. */
  refresh(): ReportTopology {
    const { members, clock, node, zone, isDraining } = this.#options;
    const now = clock.now();
    const known = members.listKnown(now);
    const self = { node, zone, isDraining: isDraining() };
    this.#topology = chooseTopology(
      self,
      known,
      (member) => this.#relays.isEligible(member, now),
    );
    this.#relays.record(this.#listChosenRelays(), now);
    const isMesh = this.#topology.kind === "mesh";
    this.#collector.setRole(
      isMesh ? "mesh" : this.#isRelay ? "relay" : "listener",
    );
    const tickMs = chooseTickMs(this.#topology);
    // Signs of life pass over relays.
    members.setRoundMs(isMesh ? tickMs : Math.max(minRoundMs, tickMs * 2));
    const sharers = this.#listSharers(known);
    this.#refreshLimits(sharers);
    this.#refreshReplicas(sharers);
    return this.#topology;
  }

  /** Updates the peers' load of each replica, and this node's share of its limit. */
  #refreshReplicas({ known, heard, isAlone }: Sharers): void {
    const { table, limitsClock, limitShares, node, members, isDraining } =
      this.#options;
    const now = limitsClock.now();
    // On average a load is told half a round after it was measured.
    const ageMs = members.roundMs / 2;
    const sharers = known.filter((name) =>
      members.find(name)?.isDraining !== true
    );
    limitShares.setNodes(isDraining() ? sharers : [...sharers, node], {
      areHeard: heard.length >= known.length,
      isAlone,
    });
    const loads = this.#collector.sumLoads();
    for (const state of table.listAll()) {
      state.setPeerLoad(loads.read(state.key), { now, ageMs });
      limitShares.apply(state.key, state.limit, now);
    }
  }

  /** Lists the relays from which this node should hear in every tick. */
  #listChosenRelays(): readonly Member[] {
    const topology = this.#topology;
    if (topology.kind === "mesh") return [];
    return topology.isRelay
      ? [...topology.ownRelays, ...topology.otherRelays]
      : topology.ownRelays;
  }

  /**
   * Lists the nodes to which this relay sends the sums of its zone: the relays of
   * the other zones, and nodes that act as such.
   */
  listZoneReceivers(): readonly Member[] {
    if (this.#topology.kind === "mesh") return [];
    const { members, clock } = this.#options;
    const now = clock.now();
    const receivers = new Map(
      this.#topology.otherRelays.map((member) => [member.node, member]),
    );
    for (const [node, at] of this.#zoneSenders) {
      const member = members.find(node);
      if (member === undefined || now - at > zoneSenderMs) {
        this.#zoneSenders.delete(node);
      } else receivers.set(node, member);
    }
    return [...receivers.values()];
  }

  /**
   * Lists the nodes that this relay tells at once which replicas leave: its share of
   * its zone. The other relays of the zone tell the rest.
   */
  listZoneShare(): readonly Member[] {
    const topology = this.#topology;
    return topology.kind === "mesh" || !topology.isRelay
      ? []
      : chooseZoneShare(this.#options.node, topology);
  }

  /** Time of day in a datagram that counts for this node. */
  #chooseTime({ wallTime, medianTime }: PeerMessage): number {
    const takesMedians = this.#topology.kind === "zones" && !this.#isRelay;
    return takesMedians ? medianTime ?? wallTime : wallTime;
  }

  get #isRelay(): boolean {
    return this.#topology.kind === "zones" && this.#topology.isRelay;
  }

  #refreshLimits({ known, heard }: Sharers): void {
    const { rateLimiter, budget, limitsClock } = this.#options;
    const now = limitsClock.now();
    const isMesh = this.#topology.kind === "mesh";
    const reportsPerRound = isMesh ? 1 : reportsToCrossZones;
    rateLimiter.setPeers({
      known,
      heard,
      reportsPerRound,
      reportMs: chooseTickMs(this.#topology),
    }, now);
    budget.refresh({
      known: known.length + 1,
      heard: heard.length + 1,
      refreshesPerRound: reportsPerRound,
    }, now);
  }

  /**
   * Lists the names of those that share limits with this node. One that ended as
   * announced no longer does.
   */
  #listSharers(known: readonly Member[]): Sharers {
    const { members, clock } = this.#options;
    const heard = members.listHeard(clock.now()).map(({ node }) => node);
    const heardNames = new Set(heard);
    const sharers = known.filter(({ node, isDraining }) =>
      !isDraining || heardNames.has(node)
    ).map(({ node }) => node);
    // A node that hears nobody after its start does not know who shares its limits.
    const unconfirmed = heard.length === 0
      ? members.listUnconfirmed(clock.now())
      : [];
    return {
      known: [...sharers.sort(), ...unconfirmed],
      heard: heard.sort(),
      isAlone: sharers.length === 0 && unconfirmed.length > 0,
    };
  }

  #applyReport(message: PeerMessage, report: PeerReport, now: number): void {
    const { members, table, quarantine, news, limitsClock } = this.#options;
    // Ages count from the time at which the report was composed.
    const composedAt = limitsClock.now() - message.heldMs;
    news.apply(report.news, composedAt);
    quarantine.learn(parseSuspects(report.suspects), composedAt);
    for (const member of report.members) members.introduce(member, now);
    this.#applyAlive(report.alive, now - message.heldMs);
    applyLimits(table, report.limits, composedAt);
    for (const key of report.leaving) {
      table.recordLeaving(key, limitsClock.now());
    }
    if (this.#isRelay && message.scope === "zone") {
      this.#zoneSenders.set(message.node, now);
    }
    this.#collector.apply(message, report, now);
  }

  #applyAlive(alive: readonly AliveMember[], now: number): void {
    for (const entry of alive) {
      this.#options.members.recordReported({
        node: entry.node,
        isDraining: entry.isDraining ?? false,
        isStoreUnreachable: entry.isStoreUnreachable ?? false,
        lastSeenAt: now - entry.ageMs,
        fencingToken: entry.duty,
      });
    }
  }
}

/**
 * Membership of one node: heartbeats, exchanges and announcements.
 *
 * A few times a second, each node pulls what it lacks from one member of its
 * data centre (anti-entropy): heartbeats, loads and demand of that data centre,
 * and the members and leaving endpoints of the whole system. Delegates also
 * pull summaries from other data centres. Small systems form a single group, as
 * if all nodes were in one data centre.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { Event } from "@almondcrank/common/emitter.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import { Announcer } from "./announcer.ts";
import { ClusterView } from "./cluster_view.ts";
import type { ConfigurationDelta } from "./configuration_delta.ts";
import { ExchangeLoops } from "./exchange_loops.ts";
import {
  defaultMemberLimits,
  type MemberLimits,
  MemberTable,
} from "./member_table.ts";
import type {
  EndpointLoad,
  LeavingEndpoint,
  Member,
  Membership,
  NodeIdentity,
  NodeReport,
  TeamDemand,
} from "./membership.ts";
import type {
  Announcement,
  ExchangeRequest,
  ExchangeResponse,
  ToldPart,
} from "./messages.ts";
import { MessageHandler, type RevisionHint } from "./message_handler.ts";
import { OriginTable } from "./origin_table.ts";
import type { ExchangeTarget } from "./peer_selector.ts";
import type { PeerTransport } from "./peer_transport.ts";
import { ClusterState } from "./cluster_state.ts";
import { computeSummary, type ZoneAggregate } from "./zone_summary.ts";

/** Periods of the loops, in milliseconds. */
export interface MembershipPeriods {
  readonly heartbeatMs: number;
  readonly exchangeMs: number;
  /** Period of a delegate's exchanges with other data centres. */
  readonly remoteExchangeMs: number;
}

/** Periods that apply where the options name none. */
export const defaultMembershipPeriods: MembershipPeriods = {
  heartbeatMs: 1_000,
  exchangeMs: 500,
  remoteExchangeMs: 500,
};

const heartbeatsPerSummary = 4;
/** Overdue heartbeats beyond which this process counts as paused. */
const minPauseHeartbeats = 2;

/** Options of a node's membership. */
export interface ClusterMembershipOptions {
  readonly self: NodeIdentity;
  /** Peer addresses of some other nodes, from the settings. */
  readonly seeds: readonly Address[];
  readonly transport: PeerTransport;
  readonly hasher: Hasher;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly periods?: Partial<MembershipPeriods>;
  readonly limits?: Partial<MemberLimits>;
  /** Finds an endpoint's service, for the summaries to other data centres. */
  readonly findService?: (endpoint: string) => string | undefined;
}

/** The system's members as one node sees them. */
export class ClusterMembership implements Membership, Disposable {
  readonly self: NodeIdentity;
  readonly #options: ClusterMembershipOptions;
  readonly #periods: MembershipPeriods;
  readonly #disposables = DisposableStore.create();
  readonly #stopped = new AbortController();
  readonly #table: MemberTable;
  readonly #origins: OriginTable;
  readonly #clusterState: ClusterState;
  readonly #view: ClusterView;
  readonly #announcer: Announcer;
  readonly #messages: MessageHandler;
  readonly #loops: ExchangeLoops;
  #revision = 0;
  #listParts: () => readonly ToldPart[] = () => [];

  private constructor(options: ClusterMembershipOptions) {
    const { self, clock, hasher, transport, metrics } = options;
    this.self = self;
    this.#options = options;
    this.#periods = { ...defaultMembershipPeriods, ...options.periods };
    const limits = { ...defaultMemberLimits, ...options.limits };
    this.#table = MemberTable.create({ self, clock, limits });
    this.#origins = OriginTable.create(self, clock);
    this.#clusterState = ClusterState.create(hasher, clock);
    this.#view = ClusterView.create({ self, table: this.#table, hasher });
    this.#loops = ExchangeLoops.create({
      ...options,
      ...this.#periods,
      view: this.#view,
      table: this.#table,
      exchange: (target) => this.#exchange(target),
    });
    this.#announcer = Announcer.create({
      self,
      hasher,
      transport,
      metrics,
      view: this.#view,
    });
    this.#messages = MessageHandler.create({
      ...options,
      view: this.#view,
      table: this.#table,
      origins: this.#origins,
      clusterState: this.#clusterState,
      announcer: this.#announcer,
      readRevision: () => this.#revision,
      listParts: () => this.#listParts(),
    });
    this.#disposables.register(this.#messages);
    this.#disposables.register(this.#table);
    this.#disposables.register(this.#clusterState);
    this.#clusterState.setMember({ identity: self, leaving: false });
    this.onChange(({ identity, state }) => {
      metrics.count("membership_changes_total", { state });
      options.log.info("a member changed its state.", {
        node: identity.node,
        state,
      });
    });
  }

  static create(options: ClusterMembershipOptions): ClusterMembership {
    return new ClusterMembership(options);
  }

  get onChange(): Event<Member> {
    return this.#table.onChange;
  }

  get onNodeReport(): Event<NodeReport> {
    return this.#messages.onNodeReport;
  }

  /** Fires with the load and demand of another data centre. */
  get onAggregate(): Event<ZoneAggregate> {
    return this.#messages.onAggregate;
  }

  /** Fires once for each endpoint that is marked as leaving. */
  get onLeaving(): Event<LeavingEndpoint> {
    return this.#clusterState.leaving.onAdd;
  }

  /** Fires with what a peer tells of parts of prompts that crash replicas. */
  get onParts(): Event<readonly ToldPart[]> {
    return this.#messages.onParts;
  }

  /** Fires when a peer has a newer configuration than this node. */
  get onNewerRevision(): Event<RevisionHint> {
    return this.#messages.onNewerRevision;
  }

  /** Starts heartbeats and exchanges. */
  start(): void {
    void this.#runHeartbeats();
    this.#loops.start(this.#stopped.signal);
  }

  list(): readonly Member[] {
    return this.#table.list();
  }

  find(node: string): Member | undefined {
    return this.#table.find(node);
  }

  /** Names of nodes that take work, this one included unless it is leaving. */
  listAlive(zone?: string): readonly string[] {
    return this.#view.listAlive(zone);
  }

  /** Whether this node is a delegate of its data centre. */
  isDelegate(): boolean {
    return this.#view.isDelegate();
  }

  /** Lists endpoints known to be leaving. */
  listLeaving(): readonly LeavingEndpoint[] {
    return this.#clusterState.leaving.list();
  }

  isLeaving(endpoint: string): boolean {
    return this.#clusterState.leaving.has(endpoint);
  }

  /** Marks endpoints as leaving and announces that to every node. */
  markLeaving(leaving: readonly LeavingEndpoint[]): void {
    const added = leaving.filter((endpoint) =>
      this.#clusterState.addLeaving(endpoint)
    );
    if (added.length === 0) return;
    void this.#announcer.announceToAll(
      this.#messages.createAnnouncement({ leaving: added }),
    );
  }

  /** Sets the loads that this node publishes. */
  setLoads(loads: readonly EndpointLoad[]): void {
    this.#origins.setOwnLoads(loads);
  }

  /** Sets the demand that this node publishes. */
  setDemand(demand: readonly TeamDemand[]): void {
    this.#origins.setOwnDemand(demand);
  }

  /**
   * Sets what lists the parts of prompts that crash replicas; each exchange tells
   * them. A peer that learns of one tells it in turn.
   */
  setPartList(list: () => readonly ToldPart[]): void {
    this.#listParts = list;
  }

  /** Sets the configuration revision in force here; ignores a lower one. */
  setRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /**
   * Announces the revision in force to all nodes or to this data centre.
   *
   * @param deltas Changes that lead to it, if they are few enough to send.
   */
  async announceRevision(
    scope: "all" | "zone",
    deltas?: readonly ConfigurationDelta[],
  ): Promise<void> {
    const announcement = this.#messages.createAnnouncement(
      deltas === undefined ? {} : { deltas },
    );
    await (scope === "all"
      ? this.#announcer.announceToAll(announcement)
      : this.#announcer.announceToZone(announcement));
  }

  /** Records whether another component's call to a member succeeded. */
  recordCall(node: string, succeeded: boolean): void {
    if (succeeded) this.#table.recordSuccess(node);
    else this.#table.recordFailure(node);
  }

  /** Announces that this node leaves; it goes on answering until disposed. */
  async leave(): Promise<void> {
    this.#view.setLeaving();
    const member = { identity: this.self, leaving: true };
    this.#clusterState.setMember(member);
    this.#messages.removeCursor();
    await this.#announcer.announceToAll(
      this.#messages.createAnnouncement({ members: [member] }),
    );
  }

  /** Answers a peer's exchange. */
  handleExchange(request: ExchangeRequest): ExchangeResponse {
    return this.#messages.handleExchange(request);
  }

  /** Applies a peer's announcement. */
  handleAnnouncement(announcement: Announcement): void {
    this.#messages.handleAnnouncement(announcement);
  }

  dispose(): void {
    this.#stopped.abort();
    this.#disposables.dispose();
  }

  async #runHeartbeats(): Promise<void> {
    const { clock } = this.#options;
    const { heartbeatMs } = this.#periods;
    const { signal } = this.#stopped;
    let last = clock.now();
    for (let beat = 0; !signal.aborted; beat++) {
      const lateMs = clock.now() - last - heartbeatMs;
      last = clock.now();
      if (lateMs > heartbeatMs * minPauseHeartbeats) this.#handlePause(lateMs);
      if (beat % heartbeatsPerSummary === 0) this.#updateOwnSummary();
      this.#origins.recordOwnHeartbeat(this.#revision);
      this.#refresh();
      await clock.sleep(heartbeatMs, signal);
    }
  }

  async #exchange(target: ExchangeTarget): Promise<void> {
    const { transport, metrics } = this.#options;
    const request = this.#messages.createRequest(target);
    const result = await transport.exchange(target.address, request);
    if (this.#stopped.signal.aborted) return;
    result.caseOf({
      Left: ({ kind }) => {
        metrics.count("membership_exchange_failures_total", { reason: kind });
        if (target.node !== undefined) this.#table.recordFailure(target.node);
      },
      Right: (response) => this.#messages.handleResponse(response),
    });
  }

  #refresh(): void {
    const forgotten = this.#table.refresh((zone) => this.#view.isRemote(zone));
    for (const node of forgotten) {
      this.#origins.remove(node);
      this.#messages.removeCursor(node);
      this.#clusterState.removeMember(node);
      this.#options.log.info("removed a silent member.", { node });
    }
    this.#clusterState.removeEnded();
    for (const state of ["alive", "leaving", "suspected"] as const) {
      const members = this.#table.list().filter((m) => m.state === state);
      this.#options.metrics
        .setGauge("membership_members", members.length, { state });
    }
  }

  #handlePause(lateMs: number): void {
    this.#options.metrics.count("membership_pauses_total");
    this.#options.log.warn("this process was paused.", {
      ms: Math.round(lateMs),
    });
    this.#table.recordPause(lateMs);
  }

  #updateOwnSummary(): void {
    const isSummaryOwner = !this.#view.isSmallSystem() &&
      this.#view.isFirstDelegate();
    if (!isSummaryOwner) return this.#origins.removeOwnSummary();
    const alive = this.listAlive(this.self.zone);
    const revisions = this.#table.list()
      .filter(({ identity }) => alive.includes(identity.node))
      .map(({ revision }) => revision);
    const findService = (endpoint: string): string | undefined =>
      this.#clusterState.leaving.has(endpoint)
        ? undefined
        : this.#options.findService?.(endpoint);
    this.#origins.setOwnSummary(computeSummary({
      alive,
      revision: Math.min(this.#revision, ...revisions),
      loads: this.#origins.listLoads(),
      demand: this.#origins.listDemand(alive),
      findService,
    }));
  }
}

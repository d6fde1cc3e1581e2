/**
 * Membership of one node: heartbeats, exchanges, urgent news.
 *
 * Each node pulls from one member of its data centre a few times a second what
 * it lacks: heartbeats with loads and demand of the data centre, and slow facts
 * (members, leaving endpoints) of the whole system. Delegates also pull
 * summaries from other data centres. Small systems are one group throughout.
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
  Digest,
  EndpointLoad,
  LeavingEndpoint,
  Member,
  Membership,
  NodeIdentity,
  TeamDemand,
} from "./membership.ts";
import type {
  Announcement,
  ExchangeRequest,
  ExchangeResponse,
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
  /** Of a delegate's exchanges with other data centres. */
  readonly remoteExchangeMs: number;
}

export const defaultMembershipPeriods: MembershipPeriods = {
  heartbeatMs: 1_000,
  exchangeMs: 500,
  remoteExchangeMs: 500,
};

const summaryHeartbeats = 4;
/** Heartbeats that must be overdue for this process to count as paused. */
const pauseHeartbeats = 2;

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
  /** Service of an endpoint, for aggregates told to other data centres. */
  readonly findService?: (endpoint: string) => string | undefined;
}

/** The system's processes as one node sees them. */
export class ClusterMembership implements Membership, Disposable {
  readonly self: NodeIdentity;
  readonly #options: ClusterMembershipOptions;
  readonly #periods: MembershipPeriods;
  readonly #disposables = DisposableStore.create();
  readonly #stopped = new AbortController();
  readonly #table: MemberTable;
  readonly #origins: OriginTable;
  readonly #facts: ClusterState;
  readonly #view: ClusterView;
  readonly #announcer: Announcer;
  readonly #messages: MessageHandler;
  readonly #loops: ExchangeLoops;
  #revision = 0;

  private constructor(options: ClusterMembershipOptions) {
    const { self, clock, hasher, transport, metrics } = options;
    this.self = self;
    this.#options = options;
    this.#periods = { ...defaultMembershipPeriods, ...options.periods };
    const limits = { ...defaultMemberLimits, ...options.limits };
    this.#table = MemberTable.create({ self, clock, limits });
    this.#origins = OriginTable.create(self, clock);
    this.#facts = ClusterState.create(hasher, clock);
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
      clusterState: this.#facts,
      announcer: this.#announcer,
      readRevision: () => this.#revision,
    });
    this.#disposables.register(this.#messages);
    this.#disposables.register(this.#table);
    this.#disposables.register(this.#facts);
    this.#facts.setMember({ identity: self, leaving: false });
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

  get onDigest(): Event<Digest> {
    return this.#messages.onDigest;
  }

  /** Fires with load and demand of another data centre. */
  get onAggregate(): Event<ZoneAggregate> {
    return this.#messages.onAggregate;
  }

  /** Fires once for each endpoint that becomes known to be leaving. */
  get onLeaving(): Event<LeavingEndpoint> {
    return this.#facts.leaving.onAdd;
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

  /** Whether this node speaks for its data centre. */
  isDelegate(): boolean {
    return this.#view.isDelegate();
  }

  /** Endpoints known to be leaving. */
  listLeaving(): readonly LeavingEndpoint[] {
    return this.#facts.leaving.list();
  }

  isLeaving(endpoint: string): boolean {
    return this.#facts.leaving.has(endpoint);
  }

  /** Marks endpoints as leaving, and tells every node at once. */
  markLeaving(leaving: readonly LeavingEndpoint[]): void {
    const added = leaving.filter((endpoint) =>
      this.#facts.addLeaving(endpoint)
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

  /** Sets the revision in force here. It only grows. */
  setRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /**
   * Tells all nodes, or those of the own data centre, the revision in force.
   *
   * @param deltas Changes that lead to it, sent along when they are few.
   */
  async announceRevision(
    reach: "all" | "zone",
    deltas?: readonly ConfigurationDelta[],
  ): Promise<void> {
    const news = this.#messages.createAnnouncement(
      deltas === undefined ? {} : { deltas },
    );
    await (reach === "all"
      ? this.#announcer.announceToAll(news)
      : this.#announcer.announceToZone(news));
  }

  /** Records how a call of another part of the node to a member ended. */
  recordCall(node: string, succeeded: boolean): void {
    if (succeeded) this.#table.recordSuccess(node);
    else this.#table.recordFailure(node);
  }

  /** Announces that this node leaves; it goes on answering until disposed. */
  async leave(): Promise<void> {
    this.#view.setLeaving();
    const member = { identity: this.self, leaving: true };
    this.#facts.setMember(member);
    this.#messages.removeCursor();
    await this.#announcer.announceToAll(
      this.#messages.createAnnouncement({ members: [member] }),
    );
  }

  /** Answers a peer's exchange. */
  handleExchange(request: ExchangeRequest): ExchangeResponse {
    return this.#messages.handleExchange(request);
  }

  /** Takes in a peer's urgent news. */
  handleAnnouncement(news: Announcement): void {
    this.#messages.handleAnnouncement(news);
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
      if (lateMs > heartbeatMs * pauseHeartbeats) this.#handlePause(lateMs);
      if (beat % summaryHeartbeats === 0) this.#setSummary();
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
      this.#facts.removeMember(node);
      this.#options.log.info("forgot a silent member.", { node });
    }
    this.#facts.removeEnded();
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

  #setSummary(): void {
    const isTask = !this.#view.isSmallSystem() && this.#view.isFirstDelegate();
    if (!isTask) return this.#origins.removeOwnSummary();
    const alive = this.listAlive(this.self.zone);
    const revisions = this.#table.list()
      .filter(({ identity }) => alive.includes(identity.node))
      .map(({ revision }) => revision);
    const findService = (endpoint: string): string | undefined =>
      this.#facts.leaving.has(endpoint)
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

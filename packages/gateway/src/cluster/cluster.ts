/**
 * Communication of a node with its peers: sends and receives datagrams, and
 * exchanges copies of the store's objects over HTTP.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Event } from "@almondcrank/common/emitter.ts";
import { listen } from "@almondcrank/common/listen.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { type FeedKind, feedKinds } from "../feed/feed_state.ts";
import { formatBareReply } from "../relay/client_error.ts";
import { handOverPath } from "../relay/hand_over.ts";
import { ControlPages, type ControlPagesOptions } from "./control_pages.ts";
import { askForCopy, FeedPulls } from "./feed_pulls.ts";
import type { Member, MemberTable } from "./member_table.ts";
import {
  encodePeerReport,
  type PeerHeader,
  type PeerMessage,
  type PeerReport,
  type ReportScope,
} from "./peer_messages.ts";
import type { PeerExchange } from "./peer_exchange.ts";
import { chooseTickMs, type ReportTopology } from "./report_topology.ts";
import { SpreadSends, type WaitingSend } from "./spread_sends.ts";

/** Interval, in ticks, at which reports list the other nodes. */
const membersEveryTicks = 12;
const minSendIntervalMs = 30;
/** Lost nodes to which an isolated node sends in one tick. */
const lostNodesPerTick = 3;
const busyStatus = 503;

/** Approximate size of a header without counters of its receiver, in bytes. */
const headerBytes = 1_000;

/** Socket for datagrams between nodes. */
export interface DatagramSocket {
  /** Fired for each datagram that can be decoded. */
  readonly onReceived: Event<PeerMessage>;
  /** Sends a datagram without confirmation. */
  send(header: PeerHeader, report: Buffer | undefined, ip: string): void;
}

/** Dependencies of a cluster. */
export interface ClusterOptions extends ControlPagesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: DatagramSocket;
  readonly members: MemberTable;
  readonly exchange: PeerExchange;
  /** Whether this node currently reads the store or does duties for the others. */
  readonly isLeading: () => boolean;
  /** Speed of this node's link; undefined if it is not known. */
  readonly linkBytesPerMs: number | undefined;
  /** Connections of all servers of the node. */
  readonly connections: ServerConnections;
  /** Port of the control listener, the same on all nodes. */
  readonly controlPort: number;
  /** Handles requests that other nodes hand over, below `handOverPath`. */
  readonly handleHanded: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
}

/** Peer communication of one node. */
export class Cluster implements Disposable {
  readonly #options: ClusterOptions;
  readonly #server: Server;
  readonly #pages: ControlPages;
  readonly #stopped = new AbortController();
  readonly #spreadSends: SpreadSends;
  readonly #pulls: FeedPulls;
  readonly #subscriptions: Disposable[] = [];
  #tickCount = 0;
  /** Names of nodes that have started and may not know the others yet. */
  readonly #newMembers = new Set<string>();
  #lastSentAt = -Infinity;
  #isSendScheduled = false;
  #isPassScheduled = false;

  private constructor(options: ClusterOptions) {
    this.#options = options;
    this.#pages = ControlPages.create(options);
    this.#pulls = FeedPulls.create({
      ...options,
      askPeer: (kind, ip) => askForCopy(kind, `${ip}:${options.controlPort}`),
    });
    this.#spreadSends = SpreadSends.create({
      clock: options.clock,
      linkBytesPerMs: options.linkBytesPerMs,
      signal: this.#stopped.signal,
    });
    this.#server = createServer((request, response) => {
      const url = request.url ?? "/";
      if (!url.startsWith(`${handOverPath}/`)) {
        return void this.#pages.answer(url, response);
      }
      request.url = url.slice(handOverPath.length);
      options.handleHanded(request, response);
    });
    options.connections.guard(this.#server, {
      listener: "control",
      busyText: formatBareReply(busyStatus, "Service Unavailable"),
    });
  }

  static create(options: ClusterOptions): Cluster {
    return new Cluster(options);
  }

  /**
   * Listens on the control address if one is given, and starts sending; rejects
   * when that cannot be bound, and may be called again then.
   */
  async open(address: string | undefined): Promise<void> {
    if (address !== undefined) await this.#listen(address);
    this.#start();
  }

  /** Sends before the next tick, at most once per 30 ms. */
  scheduleSend(): void {
    if (this.#isSendScheduled) return;
    this.#isSendScheduled = true;
    const { clock } = this.#options;
    const waitMs = this.#lastSentAt + minSendIntervalMs - clock.now();
    void clock.sleep(Math.max(0, waitMs), this.#stopped.signal)
      .then(() => this.#sendAll());
  }

  /** Pulls the copy of a peer; see `FeedPulls`. */
  async pullFeed(kind: FeedKind, ip: string): Promise<void> {
    await this.#pulls.pull(kind, ip);
  }

  dispose(): void {
    this.#stopped.abort();
    for (const subscription of this.#subscriptions) subscription.dispose();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #start(): void {
    const { socket, feeds } = this.#options;
    this.#subscriptions.push(
      socket.onReceived((message) => {
        if (!this.#options.exchange.apply(message)) return;
        this.#newMembers.add(message.node);
        this.scheduleSend();
      }),
    );
    for (const kind of feedKinds) {
      this.#subscriptions.push(
        feeds[kind].onChanged(() => this.scheduleSend()),
      );
    }
    this.#subscriptions.push(
      this.#options.exchange.onLeaving(() => this.#schedulePass()),
    );
    void this.#run();
  }

  /** Makes a relay tell its part of the zone which replicas leave, soon. */
  #schedulePass(): void {
    const { clock, exchange } = this.#options;
    if (this.#isPassScheduled || exchange.listZoneShare().length === 0) return;
    this.#isPassScheduled = true;
    void clock.sleep(minSendIntervalMs, this.#stopped.signal).then(() => {
      this.#isPassScheduled = false;
      if (this.#stopped.signal.aborted) return;
      const leaving = exchange.reports.composeLeaving();
      if (leaving === undefined) return;
      this.#send(exchange.listZoneShare(), "none", leaving);
    });
  }

  async #run(): Promise<void> {
    const { clock, exchange } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const topology = exchange.refresh();
      this.#tickCount += 1;
      const tickMs = chooseTickMs(topology);
      void this.#spreadSends.run(this.#listReports(topology), tickMs);
      await clock.sleep(tickMs, signal);
    }
  }

  /** Lists the reports of a tick to those that the topology names. */
  #listReports(topology: ReportTopology): readonly WaitingSend[] {
    const { exchange, members, clock } = this.#options;
    const withMembers = this.#takeMembersDue();
    const report = exchange.reports.composeNode({ withMembers });
    this.#greetUnconfirmed();
    switch (topology.kind) {
      case "mesh":
        return this.#listSends(members.listKnown(clock.now()), "node", report);
      case "zones": {
        const sends = this.#listSends(topology.ownRelays, "node", report);
        if (topology.isRelay) return [...sends, ...this.#listSums(withMembers)];
        if (this.#options.isLeading()) this.#announce(topology);
        return sends;
      }
    }
  }

  /** Lists the sums of this relay's zone and of the system. */
  #listSums(withMembers: boolean): readonly WaitingSend[] {
    const { exchange } = this.#options;
    const receivers = exchange.listZoneReceivers();
    const reporters = exchange.listReporters();
    const sums = exchange.reports.composeSystem({ withMembers });
    return [
      ...this.#listSends(receivers, "zone", exchange.reports.composeZone()),
      ...this.#listSends(reporters, "system", sums),
    ];
  }

  /**
   * Sends the state of this node to all relays and its zone, and which replicas are
   * leaving.
   */
  #announce(
    { otherRelays, neighbours }: Extract<ReportTopology, { kind: "zones" }>,
  ): void {
    const reporters = this.#options.exchange.listReporters();
    const receivers = [...otherRelays, ...neighbours, ...reporters];
    const byNode = new Map(receivers.map((member) => [member.node, member]));
    const leaving = this.#options.exchange.reports.composeLeaving();
    const scope = leaving === undefined ? "node" : "none";
    this.#send([...byNode.values()], scope, leaving);
  }

  /** Sends after a change, or to nodes that have just started. */
  #sendAll(): void {
    if (this.#stopped.signal.aborted) return;
    const { clock, members, exchange } = this.#options;
    this.#lastSentAt = clock.now();
    this.#isSendScheduled = false;
    this.#greetUnconfirmed();
    const { topology } = exchange;
    switch (topology.kind) {
      case "mesh": {
        const report = exchange.reports.composeNode({
          withMembers: this.#newMembers.size > 0,
        });
        this.#send(members.listKnown(this.#lastSentAt), "node", report);
        return;
      }
      case "zones":
        this.#greetNewMembers();
        if (topology.isRelay || this.#options.isLeading()) {
          this.#announce(topology);
        }
        return;
    }
  }

  /** Whether the next report lists the members: at times, and for new ones. */
  #takeMembersDue(): boolean {
    const isDue = this.#newMembers.size > 0 ||
      this.#tickCount % membersEveryTicks === 0;
    this.#newMembers.clear();
    return isDue;
  }

  /** Tells nodes that have just started which nodes there are. */
  #greetNewMembers(): void {
    const { exchange, members } = this.#options;
    const started = [...this.#newMembers]
      .flatMap((node) => members.find(node) ?? []);
    if (started.length === 0) return;
    this.#send(started, "none", exchange.reports.composeMemberList());
  }

  /**
   * Sends a first datagram to addresses at which a node may run, and, in turn, to
   * nodes that this one has lost sight of: whoever answers tells the members.
   */
  #greetUnconfirmed(): void {
    const { members, clock, socket, exchange } = this.#options;
    const unconfirmed = members.listUnconfirmed(clock.now());
    for (const ip of [...unconfirmed, ...this.#listLostInTurn()]) {
      socket.send(
        exchange.composeHeader(undefined, { scope: "node" }),
        undefined,
        ip,
      );
    }
  }

  /** Lists a few nodes that this one has lost sight of, if it is isolated. */
  #listLostInTurn(): readonly string[] {
    const { members, clock } = this.#options;
    const now = clock.now();
    if (!members.isIsolated(now)) return [];
    const lost = members.listLost(now);
    const first = this.#tickCount * lostNodesPerTick % Math.max(1, lost.length);
    return [...lost.slice(first), ...lost.slice(0, first)]
      .slice(0, lostNodesPerTick).map(({ ip }) => ip);
  }

  #send(
    receivers: readonly Member[],
    scope: ReportScope,
    report?: PeerReport,
  ): void {
    for (const { send } of this.#listSends(receivers, scope, report)) send();
  }

  /** Encodes a report once and lists its sends; each has the header of its time. */
  #listSends(
    receivers: readonly Member[],
    scope: ReportScope,
    report?: PeerReport,
  ): readonly WaitingSend[] {
    if (receivers.length === 0) return [];
    const { socket, exchange, clock } = this.#options;
    const composedAt = clock.now();
    const encoded = report === undefined ? undefined : encodePeerReport(report);
    return receivers.map((receiver) => {
      // What the report counts of its receiver has to be of the same moment.
      const included = scope === "system"
        ? exchange.composeIncluded(receiver)
        : null;
      return {
        bytes: headerBytes + (encoded?.length ?? 0),
        send: () => {
          const heldMs = clock.now() - composedAt;
          const header = exchange.composeHeader(receiver, {
            scope,
            included,
            heldMs,
          });
          socket.send(header, encoded, receiver.ip);
        },
      };
    });
  }

  #listen(address: string): Promise<void> {
    return listen(this.#server, address, {
      onError: ({ message }) =>
        this.#options.log.warn("the control listener failed.", {
          reason: message,
        }),
    });
  }
}

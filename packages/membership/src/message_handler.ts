/**
 * Creates and handles messages between nodes: requests and responses of
 * exchanges, and announcements.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { AnnouncementBody, Announcer } from "./announcer.ts";
import type { ClusterView } from "./cluster_view.ts";
import type { ConfigurationDelta } from "./configuration_delta.ts";
import type { MemberTable } from "./member_table.ts";
import type { NodeReport } from "./membership.ts";
import type {
  Announcement,
  Change,
  ExchangeRequest,
  ExchangeResponse,
  MemberRecord,
  OriginRecord,
  ToldPart,
} from "./messages.ts";
import type { OriginTable } from "./origin_table.ts";
import type { ExchangeTarget } from "./peer_selector.ts";
import { parseSeen } from "./seen_versions.ts";
import type { ClusterState } from "./cluster_state.ts";
import { createAggregate, type ZoneAggregate } from "./zone_summary.ts";

/** Notice that a peer has a newer configuration in force. */
export interface RevisionHint {
  readonly revision: number;
  readonly node: string;
  readonly address: Address;
  readonly zone: string;
  /** Whether the sender asks this node to relay it to its data centre. */
  readonly relay: boolean;
  /** Changes that lead to the revision; empty when none were sent. */
  readonly deltas: readonly ConfigurationDelta[];
}

/** Options of a message handler: the state that messages carry and change. */
export interface MessageHandlerOptions {
  readonly view: ClusterView;
  readonly table: MemberTable;
  readonly origins: OriginTable;
  readonly clusterState: ClusterState;
  readonly announcer: Announcer;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Reads the configuration revision in force at this node. */
  readonly readRevision: () => number;
  /** Lists what this node tells of parts of prompts. */
  readonly listParts: () => readonly ToldPart[];
}

interface PeerCursor {
  readonly incarnation: string;
  /** Position up to which this node has read the peer's changes. */
  readonly cursor: number;
  readonly knowsSelf: boolean;
}

/** Handles all membership messages of one node. */
export class MessageHandler implements Disposable {
  readonly #options: MessageHandlerOptions;
  readonly #cursors = new Map<string, PeerCursor>();
  readonly #nodeReports = Emitter.create<NodeReport>();
  readonly #aggregates = Emitter.create<ZoneAggregate>();
  readonly #hints = Emitter.create<RevisionHint>();
  readonly #parts = Emitter.create<readonly ToldPart[]>();

  private constructor(options: MessageHandlerOptions) {
    this.#options = options;
  }

  static create(options: MessageHandlerOptions): MessageHandler {
    return new MessageHandler(options);
  }

  get onNodeReport(): Event<NodeReport> {
    return this.#nodeReports.event;
  }

  get onAggregate(): Event<ZoneAggregate> {
    return this.#aggregates.event;
  }

  get onNewerRevision(): Event<RevisionHint> {
    return this.#hints.event;
  }

  /** Fires with what a peer tells of parts of prompts. */
  get onParts(): Event<readonly ToldPart[]> {
    return this.#parts.event;
  }

  /** Removes the cursor of one peer, or of all; exchanges then start anew. */
  removeCursor(node?: string): void {
    if (node === undefined) this.#cursors.clear();
    else this.#cursors.delete(node);
  }

  dispose(): void {
    this.#nodeReports.dispose();
    this.#aggregates.dispose();
    this.#hints.dispose();
    this.#parts.dispose();
  }

  /** Answers a peer's exchange with what the peer lacks. */
  handleExchange(request: ExchangeRequest): ExchangeResponse {
    const { node, incarnation, revision } = request;
    if (request.self !== undefined) this.#applyMember(request.self);
    this.#checkIdentity(node, incarnation);
    this.#options.table.recordHeartbeat({
      node,
      incarnation,
      revision,
      ageMs: 0,
    });
    this.#checkRevision(node, { revision, relay: false, deltas: [] });
    this.#recordSeen(request);
    const parts = this.#createParts();
    if (request.parts !== undefined) this.#parts.fire(request.parts);
    const isUpToDate = request.checksum === this.#options.clusterState.checksum;
    const isWanted = (origin: string): boolean =>
      request.scope === "all" ||
      this.#options.view.findZone(origin) === request.zone;
    return {
      node: this.#options.view.self.node,
      incarnation: this.#options.view.self.incarnation,
      version: this.#options.origins.version,
      revision: this.#options.readRevision(),
      cursor: this.#options.clusterState.position,
      known:
        this.#options.table.find(node)?.identity.incarnation === incarnation,
      changes: isUpToDate
        ? []
        : this.#options.clusterState.list(request.cursor),
      origins: this.#options.origins.listRecords({
        seen: request.seen,
        isWanted,
        requester: node,
      }),
      ...parts,
    };
  }

  /** Applies a peer's announcement, and relays what was new if asked to. */
  handleAnnouncement(announcement: Announcement): void {
    const { node, incarnation, revision } = announcement;
    this.#options.table.recordHeartbeat({
      node,
      incarnation,
      revision,
      ageMs: 0,
    });
    const members = announcement.members.filter((member) =>
      this.#applyMember(member)
    );
    const leaving = announcement.leaving
      .filter((endpoint) => this.#options.clusterState.addLeaving(endpoint));
    const { relay, deltas = [] } = announcement;
    this.#checkRevision(node, { revision, relay, deltas });
    if (!announcement.relay || members.length + leaving.length === 0) return;
    void this.#options.announcer.announceToZone(
      this.createAnnouncement({ members, leaving }),
    );
  }

  /** Creates the request for what this node lacks. */
  createRequest({ node }: ExchangeTarget): ExchangeRequest {
    const { self } = this.#options.view;
    const cursor = this.#cursors.get(node ?? "");
    const knowsSelf = cursor?.knowsSelf === true;
    const member = { identity: self, leaving: this.#options.view.isLeaving };
    return {
      node: self.node,
      incarnation: self.incarnation,
      zone: self.zone,
      version: this.#options.origins.version,
      revision: this.#options.readRevision(),
      scope: this.#options.view.isSmallSystem() ? "all" : "zone",
      ...(knowsSelf ? {} : { self: member }),
      cursor: cursor?.cursor ?? 0,
      checksum: this.#options.clusterState.checksum,
      seen: this.#options.origins.listSeen((node) =>
        this.#options.table.findAgeMs(node)
      ),
      ...this.#createParts(),
    };
  }

  /** Applies the response to a request of this node. */
  handleResponse(response: ExchangeResponse): void {
    const { node, incarnation, revision, cursor, known } = response;
    if (node === this.#options.view.self.node) return;
    for (const change of response.changes) this.#applyChange(change);
    const last = this.#cursors.get(node);
    const restarted = last !== undefined && last.incarnation !== incarnation;
    this.#cursors.set(node, {
      incarnation,
      cursor: restarted ? 0 : cursor,
      knowsSelf: known,
    });
    this.#options.table.recordSuccess(node);
    for (const record of response.origins) this.#applyRecord(record);
    if (response.parts !== undefined) this.#parts.fire(response.parts);
    this.#checkRevision(node, { revision, relay: false, deltas: [] });
  }

  /** Creates the field of what this node tells of parts; none mostly. */
  #createParts(): { readonly parts?: readonly ToldPart[] } {
    const parts = this.#options.listParts();
    return parts.length === 0 ? {} : { parts };
  }

  #applyChange(change: Change): void {
    switch (change.kind) {
      case "member":
        this.#applyMember(change.member);
        break;
      case "leaving":
        if (
          this.#options.clusterState.addLeaving(change.leaving) &&
          this.#options.view.isDelegate()
        ) {
          const announcement = this.createAnnouncement({
            leaving: [change.leaving],
          });
          void this.#options.announcer.announceToZone(announcement);
        }
        break;
    }
  }

  #applyMember(member: MemberRecord): boolean {
    const added = this.#options.table.apply(member);
    if (added) this.#options.clusterState.setMember(member);
    return added;
  }

  #applyRecord(record: OriginRecord): void {
    const { node, incarnation, revision, ageMs } = record;
    const applied = this.#options.origins.apply(record);
    if (applied === undefined) return;
    this.#options.table.recordHeartbeat({ node, incarnation, revision, ageMs });
    const zone = this.#options.view.findZone(node);
    if (zone !== undefined && this.#options.view.isRemote(zone)) {
      this.#applySummary(zone, record);
      return;
    }
    const { loads, demand } = applied;
    const leaving = this.#options.clusterState.leaving.list();
    this.#nodeReports.fire({ node, incarnation, demand, loads, leaving });
  }

  /** Records the heartbeats that a peer has heard from others. */
  #recordSeen({ seen }: ExchangeRequest): void {
    for (const { identity, revision } of this.#options.table.list()) {
      const { node, incarnation } = identity;
      const heard = parseSeen(seen[node], incarnation);
      if (heard === undefined) continue;
      const { ageMs } = heard;
      this.#options.table.recordHeartbeat({
        node,
        incarnation,
        revision,
        ageMs,
      });
    }
  }

  #applySummary(zone: string, record: OriginRecord): void {
    const summary = this.#options.origins.findSummary(record.node);
    if (summary === undefined) return;
    this.#options.table.recordSummary(zone, {
      alive: new Set(summary.alive),
      revision: summary.revision,
      ageMs: record.ageMs,
    });
    if (record.summary === undefined) return;
    this.#aggregates.fire(createAggregate(zone, record.summary));
  }

  #checkRevision(
    node: string,
    hint: Pick<RevisionHint, "revision" | "relay" | "deltas">,
  ): void {
    if (hint.revision <= this.#options.readRevision()) return;
    const identity = this.#options.table.find(node)?.identity;
    if (identity === undefined) return;
    const { peerAddress: address, zone } = identity;
    this.#hints.fire({ ...hint, node, address, zone });
  }

  #checkIdentity(node: string, incarnation: string): void {
    if (
      node !== this.#options.view.self.node ||
      incarnation === this.#options.view.self.incarnation
    ) {
      return;
    }
    this.#options.metrics.count("membership_identity_conflicts_total");
    this.#options.log.error(
      "another process uses this node's name; give each node its own name.",
      { node, incarnation },
    );
  }

  /** Creates an announcement from this node. */
  createAnnouncement(
    content: Partial<
      Pick<AnnouncementBody, "leaving" | "members" | "deltas">
    >,
  ): AnnouncementBody {
    const { node, incarnation } = this.#options.view.self;
    return {
      node,
      incarnation,
      revision: this.#options.readRevision(),
      leaving: content.leaving ?? [],
      members: content.members ?? [],
      ...(content.deltas === undefined ? {} : { deltas: content.deltas }),
    };
  }
}

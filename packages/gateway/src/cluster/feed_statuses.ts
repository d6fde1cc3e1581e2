/**
 * Tells peers how current this node's copies of the feeds are, and applies what they
 * tell: an equal copy confirms this node's one, a newer one is pulled.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { readStoreEra } from "@almondcrank/infrastructure/store_version.ts";
import {
  type FeedKind,
  feedKinds,
  type FeedState,
} from "../feed/feed_state.ts";
import type { FeedStatus, PeerHeader, PeerMessage } from "./peer_messages.ts";

/** Dependencies of the statuses. */
export interface FeedStatusesOptions {
  readonly node: string;
  readonly clock: Clock;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  /** Pulls the newer copy of a peer. */
  readonly pullFeed: (kind: FeedKind, ip: string) => void;
}

/** Statuses of one node's feeds. */
export class FeedStatuses {
  readonly #options: FeedStatusesOptions;

  private constructor(options: FeedStatusesOptions) {
    this.#options = options;
  }

  static create(options: FeedStatusesOptions): FeedStatuses {
    return new FeedStatuses(options);
  }

  /** Composes the statuses for a header. */
  compose(now: number): Pick<PeerHeader, FeedKind> {
    return {
      configuration: this.#compose("configuration", now),
      replicas: this.#compose("replicas", now),
    };
  }

  /** Applies the statuses of a datagram. */
  apply(message: PeerMessage): void {
    for (const kind of feedKinds) this.#apply(kind, message);
  }

  #compose(kind: FeedKind, now: number): FeedStatus {
    const state = this.#options.feeds[kind];
    const formatAge = (time: number): number | null =>
      Number.isFinite(time) ? now - time : null;
    const reader = state.findReader(this.#options.node, now);
    return {
      ...state.version,
      ageMs: formatAge(state.confirmedAt),
      outageMs: formatAge(state.lastOutageAt),
      readMs: formatAge(state.lastReadAt),
      reader: reader === undefined
        ? null
        : { node: reader.node, ageMs: now - reader.at },
    };
  }

  #apply(kind: FeedKind, message: PeerMessage): void {
    const { feeds, clock } = this.#options;
    const state = feeds[kind];
    const status = message[kind];
    this.#applyReader(state, status);
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

  #applyReader(state: FeedState, { reader }: FeedStatus): void {
    const { node, clock } = this.#options;
    if (reader === null || reader.node === node) return;
    const at = clock.now() - reader.ageMs;
    state.recordReader({ node: reader.node, at });
    if (reader.node < node) state.recordPrecedingRead(at);
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
}

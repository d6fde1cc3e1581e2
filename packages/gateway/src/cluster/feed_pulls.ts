/**
 * Takes over newer copies of the feeds from peers.
 *
 * A copy that is newer than this node's one is pulled from the peer that told of it.
 * One pull of each feed runs at a time.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { FeedKind, FeedState } from "../feed/feed_state.ts";
import { sendControlCall } from "../relay/control_call.ts";
import { decodeFeedSnapshot } from "./feed_snapshots.ts";

/** Path of a copy at a node's control address, without its kind. */
export const copyPath = "/peer/copy/";
/** Largest encoded copy of a feed, in bytes. */
const maxCopyBytes = 16 * 1_048_576;
const pullTimeoutMs = 2_000;

/** Dependencies of the pulls. */
export interface FeedPullsOptions {
  readonly clock: Clock;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  /** Asks a peer for its encoded copy; `undefined` if it gave none in time. */
  readonly askPeer: (kind: FeedKind, ip: string) => Promise<Buffer | undefined>;
}

/** Pulls of one node. */
export class FeedPulls {
  readonly #options: FeedPullsOptions;
  readonly #pulling = new Set<FeedKind>();

  private constructor(options: FeedPullsOptions) {
    this.#options = options;
  }

  static create(options: FeedPullsOptions): FeedPulls {
    return new FeedPulls(options);
  }

  /** Pulls the copy of a peer; only one call per feed runs at a time. */
  async pull(kind: FeedKind, ip: string): Promise<void> {
    if (this.#pulling.has(kind)) return;
    this.#pulling.add(kind);
    try {
      const { clock, feeds, askPeer } = this.#options;
      const bytes = await askPeer(kind, ip);
      if (bytes === undefined) return;
      const snapshot = await decodeFeedSnapshot(bytes);
      if (snapshot === undefined) return;
      feeds[kind].applySnapshot(snapshot, clock.now());
    } finally {
      this.#pulling.delete(kind);
    }
  }
}

/** Asks a node at its control address for its encoded copy of a feed. */
export async function askForCopy(
  kind: FeedKind,
  address: string,
): Promise<Buffer | undefined> {
  const answer = await sendControlCall(
    { method: "GET", path: copyPath + kind, body: "" },
    { address, timeoutMs: pullTimeoutMs, maxBytes: maxCopyBytes },
  );
  return answer?.statusCode === 200 ? answer.body : undefined;
}

/**
 * Keeps this node's copy of the store's objects of one kind current.
 *
 * Nodes share the reads of the store: a node reads only if no peer has confirmed
 * its copy within a takeover time, which grows with the node's rank. So usually
 * one node reads for all, the node of the next rank takes over within a fraction
 * of a second if it fails, and a node without peers reads for itself. A node that
 * has taken over reads without a pause until a node of lower rank reads again.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import type { FeedKind, FeedState } from "./feed_state.ts";

/** Longest wait of one watch; also the usual age of a confirmation. */
const watchWaitMs = 800;
/** The same right after a restore, to confirm the copy as soon as possible. */
const heldWatchWaitMs = 100;
/** Time without a confirmation after which the node of rank 1 reads. */
const firstTakeoverMs = 1_050;
/**
 * Additional takeover time for each doubling of the rank, so that even when most
 * nodes are gone, one of the rest reads soon and few do at once.
 */
const takeoverStepMs = 200;
/** Longest sleep before the rank is read again. */
const pollMs = 100;
const firstRetryMs = 30;
const lastRetryMs = 400;
/** Additional pause after a failure for each rank, relative to the pause. */
const retryRankShare = 0.25;
const longestRetryMs = 4_000;
/** Time after its last failure in which a reader counts as failing. */
const failingMs = 5_000;
/** Time that a starting node waits for a copy of a peer before it reads. */
const peerCopyWaitMs = 1_000;
/** Pause after a change, so that changes close together cost one call. */
const coalesceMs = 150;

/** Dependencies of a reader. */
export interface FeedReaderOptions {
  readonly kind: FeedKind;
  /** Prefix of the keys of the objects in the store. */
  readonly prefix: string;
  readonly state: FeedState;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /**
   * Reads the rank of this node among the readers, 0 first; those whose reads
   * fail come last.
   */
  readonly readRank: (isFailing: boolean) => number;
  /** Whether this node reads at its start without waiting for a peer's copy. */
  readonly isFirstToRead: boolean;
  /** Time that a confirmation takes to reach all nodes. */
  readonly readStatusDelayMs: () => number;
}

/** Reader of one feed. */
export class FeedReader implements Disposable {
  readonly #options: FeedReaderOptions;
  readonly #stopped = new AbortController();
  readonly #startedAt: number;
  readonly #peerCopyWaitMs: number;
  #failures = 0;
  #lastFailureAt = -Infinity;
  /** Time of the last confirmation from this node's own reads. */
  #ownConfirmedAt = -Infinity;

  private constructor(options: FeedReaderOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#peerCopyWaitMs = options.isFirstToRead
      ? 0
      : peerCopyWaitMs * (1 + options.random.next());
  }

  /** Creates a reader and starts it. */
  static create(options: FeedReaderOptions): FeedReader {
    const reader = new FeedReader(options);
    void reader.#run();
    return reader;
  }

  dispose(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const waitMs = this.#computeWaitMs();
      if (waitMs > 0) await clock.sleep(Math.min(waitMs, pollMs), signal);
      else await this.#readOnce();
    }
  }

  /** Computes the time until this node should read; 0 or less for now. */
  #computeWaitMs(): number {
    const { state, clock, readRank } = this.#options;
    const now = clock.now();
    const rank = readRank(this.isFailing);
    if (!state.isSynced) return this.#startedAt + this.#peerCopyWaitMs - now;
    if (rank === 0) return 0;
    const isPrecedingNodeReading =
      now - state.precedingReadAt < firstTakeoverMs;
    if (this.isActiveReader && !isPrecedingNodeReading) return 0;
    const takeoverMs = firstTakeoverMs + Math.log2(rank) * takeoverStepMs +
      this.#options.readStatusDelayMs();
    // A reader that waits in a watch confirms nothing meanwhile, but its status
    // shows when the store last answered it.
    const lastReaderAt = Math.max(state.confirmedAt, state.precedingReadAt);
    return takeoverMs - (now - lastReaderAt);
  }

  async #readOnce(): Promise<void> {
    const { state, store, clock, prefix } = this.#options;
    const sentAt = clock.now();
    const revision = state.watchRevision;
    if (revision === undefined) {
      const list = await store.list(prefix);
      return await list.caseOf<Promise<void>>({
        Left: (error) => this.#recordFailure(error),
        Right: (list) => {
          this.#recordSuccess(sentAt);
          state.applyList(list, sentAt);
          return Promise.resolve();
        },
      });
    }
    const waitMs = state.isHeld(sentAt) ? heldWatchWaitMs : watchWaitMs;
    const watch = await store.watch(prefix, revision, waitMs);
    await watch.caseOf<Promise<void>>({
      Left: (error) => this.#recordFailure(error),
      Right: async (outcome) => {
        this.#recordSuccess(sentAt);
        switch (outcome.kind) {
          case "expired":
            return state.requireList();
          case "changes":
            state.applyBatch(outcome.batch, sentAt);
            if (outcome.batch.changes.length === 0) return;
            await clock.sleep(coalesceMs, this.#stopped.signal);
        }
      },
    });
  }

  /** Whether the last call of this node to the store failed, a short time ago. */
  get isFailing(): boolean {
    return this.#failures > 0 &&
      this.#options.clock.now() - this.#lastFailureAt < failingMs;
  }

  /** Whether the latest confirmation of the copy is a read of this node. */
  get isActiveReader(): boolean {
    return Number.isFinite(this.#ownConfirmedAt) &&
      this.#options.state.confirmedAt === this.#ownConfirmedAt;
  }

  #recordSuccess(sentAt: number): void {
    const { state, clock } = this.#options;
    this.#ownConfirmedAt = sentAt;
    state.recordOwnRead(clock.now());
    if (this.#failures > 0) {
      const { log, kind } = this.#options;
      log.info(`the store answers again for ${kind}.`, {
        failures: this.#failures,
      });
    }
    this.#failures = 0;
  }

  async #recordFailure(error: PlatformError): Promise<void> {
    const { state, clock, log, kind, random } = this.#options;
    if (this.#failures === 0) {
      log.warn(`the store does not answer for ${kind}.`, {
        reason: error.message,
      });
    }
    this.#lastFailureAt = clock.now();
    state.recordOutage(this.#lastFailureAt);
    state.requireList();
    const pauseMs = Math.min(lastRetryMs, firstRetryMs * 2 ** this.#failures);
    this.#failures += 1;
    // When the store fails for all nodes, few of them try it often.
    const rank = this.#options.readRank(true);
    const rankedMs = Math.min(
      longestRetryMs,
      pauseMs * (1 + rank * retryRankShare),
    );
    await clock.sleep(rankedMs * (0.5 + random.next()), this.#stopped.signal);
  }
}

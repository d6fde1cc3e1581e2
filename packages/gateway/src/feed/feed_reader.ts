/**
 * Keeps this node's copies of the store's objects current.
 *
 * Nodes share the work: a node reads the store itself only when no peer has
 * proven its copy for a while, and that while is longer for each node further
 * back in their order. So one node usually reads for all, the next follows within
 * a fraction of a second when it fails, and a node that hears nobody reads alone.
 * A node that stepped in goes on without a pause until one before it in the order
 * reads again.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import type { FeedKind, FeedState } from "./feed_state.ts";

/** Longest wait of one watch; also the usual age of a proof. */
const watchWaitMs = 800;
/** Silence of the readers after which the second node in order reads too. */
const firstTakeoverMs = 1_050;
const takeoverStepMs = 200;
const pollMs = 25;
const firstRetryMs = 30;
const lastRetryMs = 400;
/** Pause after an event, so that events that come together cost one call. */
const coalesceMs = 60;

/** What a reader needs. */
export interface FeedReaderOptions {
  readonly kind: FeedKind;
  /** Kind of the objects in the store. */
  readonly prefix: string;
  readonly state: FeedState;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** This node's place in the order of readers, 0 first. */
  readonly readRank: () => number;
  /** Time that a proof takes to reach all nodes. */
  readonly readStatusDelayMs: () => number;
}

/** Reader of one kind. */
export class FeedReader implements Disposable {
  readonly #options: FeedReaderOptions;
  readonly #stopped = new AbortController();
  #failures = 0;
  /** Time of the last proof that came from this node's own reading. */
  #ownProvenAt = -Infinity;

  private constructor(options: FeedReaderOptions) {
    this.#options = options;
  }

  /** Starts reading at once. */
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

  /** Time until this node's turn to read. */
  #computeWaitMs(): number {
    const { state, clock, readRank } = this.#options;
    const rank = readRank();
    if (rank === 0 || !state.isSynced) return 0;
    const isFirstReading =
      clock.now() - state.precedingReadAt < firstTakeoverMs;
    if (this.isActiveReader && !isFirstReading) return 0;
    const takeoverMs = firstTakeoverMs + (rank - 1) * takeoverStepMs +
      this.#options.readStatusDelayMs();
    // A reader whose watch waits for news proves little for a while, but tells
    // that the store answers it.
    const signAt = Math.max(state.confirmedAt, state.precedingReadAt);
    return takeoverMs - (clock.now() - signAt);
  }

  async #readOnce(): Promise<void> {
    const { state, store, clock, prefix } = this.#options;
    const sentAt = clock.now();
    const from = state.watchRevision;
    if (from === undefined) {
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
    const watch = await store.watch(prefix, from, watchWaitMs);
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

  /** Whether this node's last call to the store failed. */
  get isFailing(): boolean {
    return this.#failures > 0;
  }

  /** Whether the newest proof of the copy came from this node's reading. */
  get isActiveReader(): boolean {
    return this.#options.state.confirmedAt === this.#ownProvenAt;
  }

  #recordSuccess(sentAt: number): void {
    const { state, clock } = this.#options;
    this.#ownProvenAt = sentAt;
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
    state.recordOutage(clock.now());
    state.requireList();
    const pauseMs = Math.min(lastRetryMs, firstRetryMs * 2 ** this.#failures);
    this.#failures += 1;
    await clock.sleep(
      pauseMs * (0.5 + random.next()),
      this.#stopped.signal,
    );
  }
}

/**
 * A stream that another node owns, read over the peers' channel.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { ModelStream, StreamEvent } from "../routers/model_router.ts";
import { Refusal } from "../admission/refusal.ts";
import type { EventBatch, StreamPeers } from "./stream_peers.ts";

const waitMs = 1_000;
const firstPauseMs = 50;
/** Rounds over all possible owners before the stream counts as lost. */
const maxRounds = 5;

/** Options of a peer's stream. */
export interface PeerStreamOptions {
  readonly id: string;
  readonly team: string;
  /** Node that owned it when it was found. */
  readonly node: string;
  readonly peers: StreamPeers;
  readonly clock: Clock;
  /** Nodes that may own it now, the likeliest first. */
  readonly owners: () => readonly string[];
}

/** Stream of another node. */
export class PeerStream implements ModelStream {
  readonly id: string;
  readonly #options: PeerStreamOptions;
  #node: string;

  private constructor(options: PeerStreamOptions) {
    this.id = options.id;
    this.#options = options;
    this.#node = options.node;
  }

  static create(options: PeerStreamOptions): PeerStream {
    return new PeerStream(options);
  }

  async *read(
    from: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent, void, void> {
    let next = from;
    while (!signal.aborted) {
      const batch = await this.#readBatch(next, signal);
      if (signal.aborted) return;
      if (batch === undefined) {
        yield { kind: "failed", refusal: createLost(next) };
        return;
      }
      for (const event of batch.events) {
        if (event.kind === "token") next = event.index + 1;
        yield event;
        if (signal.aborted) return;
      }
      if (batch.done) return;
    }
  }

  cancel(): void {
    const { peers, id, team } = this.#options;
    void peers.cancel(this.#node, id, team);
  }

  /** Asks the known owner, then all possible ones, a few times. */
  async #readBatch(
    from: number,
    signal: AbortSignal,
  ): Promise<EventBatch | undefined> {
    const { peers, id, team, clock, owners } = this.#options;
    let pauseMs = firstPauseMs;
    for (let round = 0; round < maxRounds; round++) {
      for (const node of new Set([this.#node, ...owners()])) {
        if (signal.aborted) return undefined;
        const batch = await peers.readEvents({ node, id, team, from, waitMs });
        if (batch.isLeft()) continue;
        this.#node = node;
        return batch.unsafeCoerce();
      }
      await clock.sleep(pauseMs, signal);
      pauseMs *= 2;
    }
    return undefined;
  }
}

function createLost(tokens: number): Refusal {
  return Refusal.create({
    kind: "stream_lost",
    run: tokens > 0 ? "ran" : "unknown",
    retryAfterMs: undefined,
    message: "the node that held the stream is gone; " +
      "send the request again if the rest is needed",
  });
}

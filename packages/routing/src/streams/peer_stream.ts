/**
 * A stream that another node owns, read from that node by long polling.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { ModelStream, StreamEvent } from "../routers/model_router.ts";
import { Refusal } from "../admission/refusal.ts";
import { askOwners } from "./owner_search.ts";
import type { EventBatch, StreamPeers } from "./stream_peers.ts";

/** Time a peer waits for the next event before it answers with none. */
const longPollMs = 1_000;

/** Options of a `PeerStream`. */
export interface PeerStreamOptions {
  readonly id: string;
  readonly model: string;
  readonly team: string;
  /** Node that owned the stream when it was found. */
  readonly node: string;
  readonly peers: StreamPeers;
  readonly clock: Clock;
  /** Nodes that may own the stream now, the most likely first. */
  readonly owners: () => readonly string[];
}

/** Reads a stream of another node and follows it when its owner changes. */
export class PeerStream implements ModelStream {
  readonly id: string;
  readonly model: string;
  readonly #options: PeerStreamOptions;
  #node: string;

  private constructor(options: PeerStreamOptions) {
    this.id = options.id;
    this.model = options.model;
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
        yield { kind: "failed", refusal: createLostRefusal(next) };
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

  /** Asks the last known owner, then all candidates, with backoff. */
  async #readBatch(
    from: number,
    signal: AbortSignal,
  ): Promise<EventBatch | undefined> {
    const { peers, id, team, clock, owners } = this.#options;
    const found = await askOwners({
      clock,
      signal,
      owners: () => [this.#node, ...owners()],
      ask: (node) =>
        peers.readEvents({ node, id, team, from, waitMs: longPollMs }),
      mayMove: true,
    });
    if (found === undefined) return undefined;
    this.#node = found.node;
    return found.answer;
  }
}

function createLostRefusal(tokens: number): Refusal {
  return Refusal.create({
    kind: "stream_lost",
    run: tokens > 0 ? "ran" : "unknown",
    retryAfterMs: undefined,
    message: "the node that held the stream cannot be reached; " +
      "send the request again if the rest is needed",
  });
}

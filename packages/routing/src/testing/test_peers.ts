/**
 * Peer channel between routers of one process, for tests.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { NodeModelRouter } from "../routers/node_model_router.ts";
import type {
  EventBatch,
  PeerFailure,
  ReadEventsRequest,
  StreamHandOver,
  StreamPeers,
} from "../streams/stream_peers.ts";
import { TestPeerFailure } from "./model_setup.ts";

const slowMs = 500;

/** Routers by node name, with faults of the channel between them. */
export class TestPeers {
  readonly #nodes = new Map<string, NodeModelRouter>();
  /** Nodes that have crashed and are no members any more. */
  readonly disconnected = new Set<string>();
  /** Nodes that are alive but answer no request. */
  readonly silent = new Set<string>();
  /** Nodes that take `slowMs` to answer a hand-over. */
  readonly slow = new Set<string>();
  /** Nodes that are left out of the list of peers. */
  readonly leaving = new Set<string>();
  /** Nodes that accept a hand-over but whose answer is lost. */
  readonly losingAnswers = new Set<string>();

  /** Clock of the slow nodes. */
  clock: Clock | undefined;

  static create(): TestPeers {
    return new TestPeers();
  }

  add(node: string, router: NodeModelRouter): void {
    this.#nodes.set(node, router);
  }

  /** Creates the channel of one node to the others. */
  createChannel(self: string): StreamPeers {
    return {
      list: () =>
        [...this.#nodes.keys()].filter((node) =>
          node !== self && !this.leaving.has(node) &&
          !this.disconnected.has(node)
        ),
      readEvents: (request) => this.#readEvents(request),
      cancel: (node, id, team) => {
        this.#find(node)?.exchange.cancel(id, team);
        return Promise.resolve();
      },
      handOver: (node, stream) => this.#handOver(node, stream),
    };
  }

  async #readEvents(
    request: ReadEventsRequest,
  ): Promise<Either<PeerFailure, EventBatch>> {
    const router = this.#find(request.node);
    if (router === undefined) {
      const kind = this.#isMember(request.node)
        ? "peer_unreachable"
        : "unknown_peer";
      return Left(TestPeerFailure.create(kind));
    }
    const batch = await router.exchange.readEvents(request);
    return batch === undefined
      ? Left(TestPeerFailure.create("unknown_stream"))
      : Right(batch);
  }

  async #handOver(
    node: string,
    stream: StreamHandOver,
  ): Promise<Either<PeerFailure, void>> {
    const router = this.#find(node);
    if (this.slow.has(node)) await this.clock?.sleep(slowMs);
    const accepted = router?.exchange.acceptHandOver(stream);
    if (accepted === undefined || this.losingAnswers.has(node)) {
      return Left(TestPeerFailure.create("peer_unreachable"));
    }
    return accepted.mapLeft(() => TestPeerFailure.create("refused"));
  }

  #isMember(node: string): boolean {
    return this.#nodes.has(node) && !this.disconnected.has(node);
  }

  #find(node: string): NodeModelRouter | undefined {
    const answers = !this.disconnected.has(node) && !this.silent.has(node);
    return answers ? this.#nodes.get(node) : undefined;
  }
}

/**
 * Calls of the data plane to other nodes: streams and calls with an idempotency
 * key.
 */

import { type Either, Left, Right } from "purify-ts";
import { KindError } from "@almondcrank/common/kind_error.ts";
import type { Membership } from "@almondcrank/membership/membership.ts";
import type { PeerClients } from "@almondcrank/membership/peer_clients.ts";
import {
  type ForwardedCall,
  type ForwardedOutcome,
  forwardedOutcomeSchema,
  type KeyBatch,
  type KeyOwner,
  KeyPeerError,
  type KeyPeers,
} from "@almondcrank/routing/keyed_calls/key_peers.ts";
import type {
  EventBatch,
  PeerFailure,
  ReadEventsRequest,
  StreamHandOver,
  StreamPeers,
} from "@almondcrank/routing/streams/stream_peers.ts";
import type { NodeRouter } from "./peer_router.ts";
import {
  decodeEventBatch,
  encodeHandOver,
  eventBatchSchema,
} from "./stream_wire.ts";

const callTimeoutMs = 2_000;
/** Timeout of a forwarded call, which includes the call to the endpoint. */
const forwardTimeoutMs = 60_000;

type StreamPeerErrorKind = PeerFailure["kind"];

class StreamPeerError extends KindError<
  { readonly kind: StreamPeerErrorKind }
> {
  static create(kind: StreamPeerErrorKind): StreamPeerError {
    return new StreamPeerError({ kind }, formatStreamPeerError(kind));
  }
}

function formatStreamPeerError(kind: StreamPeerErrorKind): string {
  switch (kind) {
    case "unknown_stream":
      return "the peer does not hold the stream; ask another peer";
    case "peer_unreachable":
      return "the peer did not answer; ask it again or another peer";
    case "refused":
      return "the peer does not take the stream over; offer it to another peer";
    case "unknown_peer":
      return "the peer is no member; ask another peer";
  }
}

/** Options of the classes in this module. */
export interface RequestPeersOptions {
  readonly membership: Membership;
  readonly clients: PeerClients<NodeRouter>;
}

/** Reads, cancels and hands over streams at other nodes. */
export class NodeStreamPeers implements StreamPeers {
  readonly #options: RequestPeersOptions;

  private constructor(options: RequestPeersOptions) {
    this.#options = options;
  }

  static create(options: RequestPeersOptions): NodeStreamPeers {
    return new NodeStreamPeers(options);
  }

  list(): readonly string[] {
    return this.#options.membership.list()
      .filter((member) => member.state === "alive")
      .map((member) => member.identity.node);
  }

  async readEvents(
    request: ReadEventsRequest,
  ): Promise<Either<PeerFailure, EventBatch>> {
    const { node, ...query } = request;
    const address = this.#findAddress(node);
    if (address === undefined) {
      return Left(StreamPeerError.create("unknown_peer"));
    }
    const answer = await this.#options.clients.call(address, {
      timeoutMs: callTimeoutMs + query.waitMs,
      send: ({ client, signal }) => client.readEvents.mutate(query, { signal }),
    });
    return answer.mapLeft(createUnreachableError).chain((message) => {
      const parsed = eventBatchSchema.safeParse(message);
      if (!parsed.success) return Left(createUnreachableError());
      const batch = decodeEventBatch(parsed.data);
      return batch === undefined
        ? Left(StreamPeerError.create("unknown_stream"))
        : Right(batch);
    });
  }

  async cancel(node: string, id: string, team: string): Promise<void> {
    const address = this.#findAddress(node);
    if (address === undefined) return;
    await this.#options.clients.call(address, {
      send: ({ client, signal }) =>
        client.cancelStream.mutate({ id, team }, { signal }),
    });
  }

  async handOver(
    node: string,
    stream: StreamHandOver,
  ): Promise<Either<PeerFailure, void>> {
    const address = this.#findAddress(node);
    if (address === undefined) {
      return Left(StreamPeerError.create("unknown_peer"));
    }
    const answer = await this.#options.clients.call(address, {
      timeoutMs: callTimeoutMs,
      send: ({ client, signal }) =>
        client.handOver.mutate(encodeHandOver(stream), { signal }),
    });
    return answer.mapLeft(createUnreachableError).chain((result) =>
      result.kind === "taken"
        ? Right(undefined)
        : Left(StreamPeerError.create("refused"))
    );
  }

  #findAddress(node: string): string | undefined {
    return findAddress(this.#options.membership, node);
  }
}

/** Forwards calls and hands over keys to the nodes that own them. */
export class NodeKeyPeers implements KeyPeers {
  readonly #options: RequestPeersOptions;

  private constructor(options: RequestPeersOptions) {
    this.#options = options;
  }

  static create(options: RequestPeersOptions): NodeKeyPeers {
    return new NodeKeyPeers(options);
  }

  list(): readonly KeyOwner[] {
    return this.#options.membership.list()
      .filter((member) => member.state === "alive")
      .map(({ identity: { node, incarnation } }) => ({ node, incarnation }));
  }

  async forward(
    owner: KeyOwner,
    call: ForwardedCall,
    signal: AbortSignal,
  ): Promise<Either<KeyPeerError, ForwardedOutcome>> {
    const { node } = owner;
    const address = findAddress(this.#options.membership, node);
    if (address === undefined) {
      return Left(KeyPeerError.create({ kind: "unknown_peer", node }));
    }
    const answer = await this.#options.clients.call(address, {
      timeoutMs: forwardTimeoutMs,
      signal,
      send: ({ client, signal }) => client.forwardCall.mutate(call, { signal }),
    });
    return answer.mapLeft((error) => createPeerFailure(node, error.message))
      .chain((message) => {
        const parsed = forwardedOutcomeSchema.safeParse(message);
        return parsed.success
          ? Right(parsed.data)
          : Left(createPeerFailure(node, "answer does not match the protocol"));
      });
  }

  async handOver(
    newOwner: KeyOwner,
    batch: KeyBatch,
  ): Promise<Either<KeyPeerError, void>> {
    const { node } = newOwner;
    const address = findAddress(this.#options.membership, node);
    if (address === undefined) {
      return Left(KeyPeerError.create({ kind: "unknown_peer", node }));
    }
    const answer = await this.#options.clients.call(address, {
      timeoutMs: callTimeoutMs,
      send: ({ client, signal }) =>
        client.handOverKeys.mutate(batch, { signal }),
    });
    return answer.mapLeft((error) => createPeerFailure(node, error.message))
      .map(() => undefined);
  }
}

function createPeerFailure(node: string, reason: string): KeyPeerError {
  return KeyPeerError.create({ kind: "peer_failed", node, reason });
}

function createUnreachableError(): StreamPeerError {
  return StreamPeerError.create("peer_unreachable");
}

/** Peer address of the latest incarnation of a node. */
function findAddress(membership: Membership, node: string): string | undefined {
  return membership.list().find((member) => member.identity.node === node)
    ?.identity.peerAddress;
}

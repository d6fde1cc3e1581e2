/**
 * Procedures that a node offers its peers: membership, streams, calls with an
 * idempotency key, drains.
 */

import {
  createMembershipRouter,
  type PeerHandlers,
} from "@almondcrank/membership/peer_transport.ts";
import { createPeerProcedures } from "@almondcrank/membership/peer_procedures.ts";
import {
  type ForwardedCall,
  forwardedCallSchema,
  type ForwardedOutcome,
  type KeyBatch,
  keyBatchSchema,
} from "@almondcrank/routing/keyed_calls/key_peers.ts";
import type { StreamExchange } from "@almondcrank/routing/streams/stream_exchange.ts";
import {
  cancelStreamSchema,
  decodeHandOver,
  encodeEventBatch,
  handOverSchema,
  readEventsSchema,
} from "./stream_wire.ts";

/** Components of a node that handle peers' calls about requests. */
export interface RequestHandlers {
  readonly exchange: () => StreamExchange;
  readonly calls: () => {
    handleForwarded(call: ForwardedCall): Promise<ForwardedOutcome>;
    handleHandOver(batch: KeyBatch): void;
  };
  /** Starts to drain this node. */
  readonly onDrain: () => void;
}

/** Answer of `handOver`: whether the peer took the stream over. */
export type HandOverResult =
  | { readonly kind: "taken" }
  | { readonly kind: "refused"; readonly reason: string };

const peer = createPeerProcedures();

function createRequestRouter(handlers: RequestHandlers) {
  return peer.router({
    readEvents: peer.procedure.input(readEventsSchema).mutation(
      async ({ input }) =>
        encodeEventBatch(
          input.from,
          await handlers.exchange().readEvents(input),
        ),
    ),
    cancelStream: peer.procedure.input(cancelStreamSchema).mutation(
      ({ input }) => {
        handlers.exchange().cancel(input.id, input.team);
        return {};
      },
    ),
    handOver: peer.procedure.input(handOverSchema).mutation(
      ({ input }): HandOverResult =>
        handlers.exchange().acceptHandOver(decodeHandOver(input)).caseOf<
          HandOverResult
        >({
          Left: (refusal) => ({ kind: "refused", reason: refusal.kind }),
          Right: () => ({ kind: "taken" }),
        }),
    ),
    forwardCall: peer.procedure.input(forwardedCallSchema).mutation(
      ({ input }) => handlers.calls().handleForwarded(input as ForwardedCall),
    ),
    handOverKeys: peer.procedure.input(keyBatchSchema).mutation(({ input }) => {
      handlers.calls().handleHandOver(input);
      return {};
    }),
    drain: peer.procedure.mutation(() => {
      handlers.onDrain();
      return {};
    }),
  });
}

/** Creates the tRPC router with all procedures of a node. */
// deno-lint-ignore explicit-module-boundary-types -- tRPC infers the router.
export function createNodeRouter(
  members: PeerHandlers,
  requests: RequestHandlers,
) {
  return peer.mergeRouters(
    createMembershipRouter(members),
    createRequestRouter(requests),
  );
}

/** Type of the router, from which clients infer the procedures. */
export type NodeRouter = ReturnType<typeof createNodeRouter>;

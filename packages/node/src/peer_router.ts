/**
 * What a node answers its peers: membership, streams, keyed calls, drains.
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

/** Parts of a node that answer peers about requests. */
export interface RequestHandlers {
  readonly exchange: () => StreamExchange;
  readonly calls: () => {
    handleForwarded(call: ForwardedCall): Promise<ForwardedOutcome>;
    handleHandOver(batch: KeyBatch): void;
  };
  /** Begins to drain this node. */
  readonly onDrain: () => void;
}

/** Result of a hand-over. */
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

/** Creates all procedures of a node. */
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

/** Type of all procedures, for clients. */
export type NodeRouter = ReturnType<typeof createNodeRouter>;

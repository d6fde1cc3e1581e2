/**
 * What a node answers its peers: streams, keyed calls, drains.
 */

import { z } from "zod";
import { createPeerProcedures } from "@almondcrank/membership/peer_procedures.ts";
import type { Member } from "@almondcrank/membership/membership.ts";
import {
  type ForwardedCall,
  forwardedCallSchema,
  type ForwardedOutcome,
  type KeyBatch,
  keyBatchSchema,
} from "@almondcrank/routing/key_peers.ts";
import type { StreamExchange } from "@almondcrank/routing/stream_exchange.ts";
import {
  cancelStreamSchema,
  decodeHandOver,
  encodeEventBatch,
  handOverSchema,
  readEventsSchema,
} from "./stream_wire.ts";

/** Parts of a node that answer peers. */
export interface PeerRouterOptions {
  readonly exchange: () => StreamExchange;
  readonly calls: () => {
    handleForwarded(call: ForwardedCall): Promise<ForwardedOutcome>;
    handleHandOver(batch: KeyBatch): void;
  };
  /** Tells who this node is. */
  readonly identify: () => Member;
  /** Begins to drain this node. */
  readonly onDrain: () => void;
}

/** Result of a hand-over. */
export type HandOverResult =
  | { readonly kind: "taken" }
  | { readonly kind: "refused"; readonly reason: string };

/** Creates the procedures that do not belong to membership. */
// deno-lint-ignore explicit-module-boundary-types -- tRPC infers the router.
export function createRequestRouter(options: PeerRouterOptions) {
  const peer = createPeerProcedures();
  return peer.router({
    identify: peer.procedure.mutation(() => options.identify()),
    readEvents: peer.procedure.input(readEventsSchema).mutation(
      async ({ input }) =>
        encodeEventBatch(
          input.from,
          await options.exchange().readEvents(input),
        ),
    ),
    cancelStream: peer.procedure.input(cancelStreamSchema).mutation(
      ({ input }) => {
        options.exchange().cancel(input.id, input.team);
        return {};
      },
    ),
    handOver: peer.procedure.input(handOverSchema).mutation(
      ({ input }): HandOverResult =>
        options.exchange().receive(decodeHandOver(input)).caseOf<
          HandOverResult
        >({
          Left: (refusal) => ({ kind: "refused", reason: refusal.kind }),
          Right: () => ({ kind: "taken" }),
        }),
    ),
    forwardCall: peer.procedure.input(forwardedCallSchema).mutation(
      ({ input }) => options.calls().handleForwarded(input as ForwardedCall),
    ),
    handOverKeys: peer.procedure.input(keyBatchSchema).mutation(({ input }) => {
      options.calls().handleHandOver(input);
      return {};
    }),
    drain: peer.procedure.input(z.object({ node: z.string() })).mutation(() => {
      options.onDrain();
      return {};
    }),
  });
}

/** Type of the procedures, for clients. */
export type RequestRouter = ReturnType<typeof createRequestRouter>;

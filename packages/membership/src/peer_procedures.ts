/**
 * Builder of the tRPC procedures that peers call on each other.
 *
 * Each package builds its own router from `createPeerProcedures()` and the node
 * merges them:
 *
 *     const peer = createPeerProcedures();
 *     const router = peer.router({ ...membershipProcedures, ...streamProcedures });
 *     type PeerRouter = typeof router;
 *
 * A procedure runs only after the server has checked the shared key.
 */

import { initTRPC } from "@trpc/server";

/** Context of a call. */
export interface PeerContext {
  /** Address of the calling socket, for logs. */
  readonly remoteAddress: string;
}

const builder = initTRPC.context<PeerContext>().create({
  errorFormatter: ({ shape }) => ({
    message: shape.message,
    code: shape.code,
    data: { code: shape.data.code },
  }),
});

/** Builder of routers and procedures, shared by all packages. */
export type PeerProcedures = typeof builder;

/** Returns the builder. Routers that are merged must come from this one. */
export function createPeerProcedures(): PeerProcedures {
  return builder;
}

/**
 * Membership and configuration calls between nodes, and their tRPC transport.
 */

import type { TRPCClient } from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import type { Either } from "purify-ts";
import type { Address } from "@almondcrank/common/address.ts";
import {
  type ConfigurationAnswer,
  configurationAnswer,
} from "./configuration_messages.ts";
import {
  type Announcement,
  announcement,
  type ConfigurationRequest,
  configurationRequest,
  type ExchangeRequest,
  exchangeRequest,
  type ExchangeResponse,
  exchangeResponse,
} from "./messages.ts";
import type { PeerClients } from "./peer_clients.ts";
import type { PeerError } from "./peer_error.ts";
import { createPeerProcedures } from "./peer_procedures.ts";

/** Sends calls to other nodes. */
export interface PeerTransport {
  exchange(
    peer: Address,
    request: ExchangeRequest,
  ): Promise<Either<PeerError, ExchangeResponse>>;
  announce(
    peer: Address,
    message: Announcement,
  ): Promise<Either<PeerError, void>>;
  readConfiguration(
    peer: Address,
    request: ConfigurationRequest,
  ): Promise<Either<PeerError, ConfigurationAnswer>>;
}

/** Handles calls from other nodes. */
export interface PeerHandlers {
  handleExchange(request: ExchangeRequest): ExchangeResponse;
  handleAnnouncement(message: Announcement): void;
  handleConfigurationRequest(
    request: ConfigurationRequest,
  ): ConfigurationAnswer;
}

const peer = createPeerProcedures();

/** Creates this package's router, which the node merges with the others. */
// deno-lint-ignore explicit-module-boundary-types
export function createMembershipRouter(handlers: PeerHandlers) {
  return peer.router({
    exchange: peer.procedure.input(exchangeRequest)
      .mutation(({ input }) => handlers.handleExchange(input)),
    announce: peer.procedure.input(announcement)
      .mutation(({ input }) => handlers.handleAnnouncement(input)),
    configuration: peer.procedure.input(configurationRequest)
      .query(({ input }) => handlers.handleConfigurationRequest(input)),
  });
}

/** Type of this package's router, a part of the node's merged router. */
export type MembershipRouter = ReturnType<typeof createMembershipRouter>;

const exchangeTimeoutMs = 1_000;
const announceTimeoutMs = 700;
const configurationTimeoutMs = 1_500;

/** tRPC client of this package's procedures. */
export type MembershipClient = Pick<
  TRPCClient<MembershipRouter>,
  "exchange" | "announce" | "configuration"
>;

/** Peer transport over tRPC. `R` is the node's merged router. */
export class TrpcPeerTransport<R extends AnyRouter> implements PeerTransport {
  readonly #clients: PeerClients<R>;
  readonly #find: (client: TRPCClient<R>) => MembershipClient;

  private constructor(
    clients: PeerClients<R>,
    find: (client: TRPCClient<R>) => MembershipClient,
  ) {
    this.#clients = clients;
    this.#find = find;
  }

  /** @param find Finds this package's procedures in a client of `R`. */
  static create<R extends AnyRouter>(
    clients: PeerClients<R>,
    find: (client: TRPCClient<R>) => MembershipClient,
  ): TrpcPeerTransport<R> {
    return new TrpcPeerTransport<R>(clients, find);
  }

  exchange(
    peer: Address,
    request: ExchangeRequest,
  ): Promise<Either<PeerError, ExchangeResponse>> {
    return this.#call(peer, exchangeTimeoutMs, async (client, signal) => {
      const answer = await client.exchange.mutate(request, { signal });
      return exchangeResponse.parse(answer);
    });
  }

  announce(
    peer: Address,
    message: Announcement,
  ): Promise<Either<PeerError, void>> {
    return this.#call(peer, announceTimeoutMs, async (client, signal) => {
      await client.announce.mutate(message, { signal });
    });
  }

  readConfiguration(
    peer: Address,
    request: ConfigurationRequest,
  ): Promise<Either<PeerError, ConfigurationAnswer>> {
    return this.#call(peer, configurationTimeoutMs, async (client, signal) => {
      const answer = await client.configuration.query(request, { signal });
      return configurationAnswer.parse(answer) as ConfigurationAnswer;
    });
  }

  #call<T>(
    peer: Address,
    timeoutMs: number,
    run: (client: MembershipClient, signal: AbortSignal) => Promise<T>,
  ): Promise<Either<PeerError, T>> {
    return this.#clients.call(peer, {
      send: ({ client, signal }) => run(this.#find(client), signal),
      timeoutMs,
    });
  }
}

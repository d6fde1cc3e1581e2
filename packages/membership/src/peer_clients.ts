/**
 * Calls to peers: one tRPC client per address, over keep-alive connections.
 *
 * Every call has a deadline. A failed call gives a typed error that says
 * whether the peer may have run it.
 */

import {
  createTRPCClient,
  httpLink,
  type TRPCClient,
  TRPCClientError,
} from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import type { Socket } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import { Agent, buildConnector, errors, request } from "undici";
import type { Address } from "@almondcrank/common/address.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import { ByteMeter } from "./byte_meter.ts";
import { decodeBody, encodeBody } from "./peer_encoding.ts";
import { PeerError } from "./peer_error.ts";
import { computePeerProof } from "./peer_key.ts";

const defaultTimeoutMs = 2_000;
const connectTimeoutMs = 1_000;
const keepAliveTimeoutMs = 60_000;
const defaultConnectionsPerPeer = 4;

/** Options of the clients. */
export interface PeerClientsOptions {
  /** Shared key of all nodes, from the settings. */
  readonly key: string;
  readonly metrics: Metrics;
  /** Default deadline of a call, in milliseconds. */
  readonly timeoutMs?: number;
  /** Maximum connections to one peer; further calls wait for a free one. */
  readonly connectionsPerPeer?: number;
}

/** One call to a peer. */
export interface PeerCall<R extends AnyRouter, T> {
  /** Sends it: `({ client, signal }) => client.x.y.query(input, { signal })`. */
  readonly send: (to: PeerCallTarget<R>) => Promise<T>;
  /** Deadline in milliseconds, in place of the default. */
  readonly timeoutMs?: number;
  /** Cancels the call. */
  readonly signal?: AbortSignal;
}

/** Client and signal that a call is sent with. */
export interface PeerCallTarget<R extends AnyRouter> {
  readonly client: TRPCClient<R>;
  /** Must be passed to the procedure; otherwise the deadline has no effect. */
  readonly signal: AbortSignal;
}

/** Clients of all peers, typed by the node's merged router. */
export class PeerClients<R extends AnyRouter> implements Disposable {
  /** Bytes on all connections that this node opened to peers. */
  readonly bytes: ByteMeter;
  readonly #agent: Agent;
  readonly #clients = new Map<Address, TRPCClient<R>>();
  readonly #proof: string;
  readonly #metrics: Metrics;
  readonly #timeoutMs: number;

  private constructor(options: PeerClientsOptions) {
    this.bytes = ByteMeter.create();
    this.#agent = createAgent(
      this.bytes,
      options.connectionsPerPeer ?? defaultConnectionsPerPeer,
    );
    this.#proof = computePeerProof(options.key);
    this.#metrics = options.metrics;
    this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
  }

  static create<R extends AnyRouter>(
    options: PeerClientsOptions,
  ): PeerClients<R> {
    return new PeerClients<R>(options);
  }

  /** Calls the peer at `address`. Does not reject: failures come as `Left`. */
  async call<T>(
    address: Address,
    call: PeerCall<R, T>,
  ): Promise<Either<PeerError, T>> {
    const timeoutMs = call.timeoutMs ?? this.#timeoutMs;
    const deadline = new AbortController();
    const timer = setTimeout(() => deadline.abort("deadline"), timeoutMs);
    const signal = call.signal === undefined
      ? deadline.signal
      : AbortSignal.any([deadline.signal, call.signal]);
    try {
      const client = this.#findClient(address);
      return Right(await call.send({ client, signal }));
    } catch (thrown) {
      const error = deadline.signal.aborted
        ? PeerError.create({ kind: "timeout", peer: address, timeoutMs })
        : createPeerError(address, thrown);
      this.#metrics.count("peer_call_errors_total", { reason: error.kind });
      return Left(error);
    } finally {
      clearTimeout(timer);
    }
  }

  dispose(): void {
    this.#clients.clear();
    void this.#agent.destroy();
  }

  #findClient(address: Address): TRPCClient<R> {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = createTRPCClient<R>({ links: [this.#createLink(address)] });
      this.#clients.set(address, client);
    }
    return client;
  }

  #createLink(address: Address): ReturnType<typeof httpLink<R>> {
    const authorization = this.#proof;
    const send = (url: string, init: RequestInit): Promise<Response> =>
      this.#send(url, init);
    const options = {
      url: `http://${address}`,
      methodOverride: "POST",
      headers: { authorization },
      fetch: send,
    };
    return httpLink<R>(options as unknown as Parameters<typeof httpLink<R>>[0]);
  }

  /** Stands in for `fetch`, without the headers that `fetch` adds. */
  async #send(url: string, init: RequestInit): Promise<Response> {
    const { bytes, encoding } = encodeBody((init.body ?? "") as string);
    const headers = { ...init.headers as Record<string, string> };
    delete headers["content-type"];
    if (encoding !== undefined) headers["content-encoding"] = encoding;
    const response = await request(url, {
      method: "POST",
      headers,
      body: bytes,
      signal: init.signal ?? null,
      dispatcher: this.#agent,
    });
    if (response.statusCode === 401) {
      await response.body.dump();
      throw new UnauthorizedError("the peer refused the shared key");
    }
    const body = {
      bytes: await response.body.bytes(),
      encoding: response.headers["content-encoding"] as string | undefined,
    };
    const answer = {
      ok: response.statusCode < 400,
      status: response.statusCode,
      json: () => Promise.resolve(JSON.parse(decodeBody(body))),
    };
    return answer as unknown as Response;
  }
}

class UnauthorizedError extends Error {}

function createAgent(bytes: ByteMeter, connections: number): Agent {
  const connect = buildConnector({ timeout: connectTimeoutMs });
  return new Agent({
    connections,
    pipelining: 1,
    keepAliveTimeout: keepAliveTimeoutMs,
    connect: (options, callback) =>
      connect(options, (error, socket) => {
        if (error !== null) return callback(error, null);
        bytes.add(socket as Socket);
        callback(null, socket);
      }),
  });
}

/** Error codes for a connection that was not made, so nothing was sent. */
const unsentErrorCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EHOSTDOWN",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function createPeerError(peer: Address, thrown: unknown): PeerError {
  if (!(thrown instanceof TRPCClientError)) {
    return PeerError.create({
      kind: "bad_answer",
      peer,
      reason: formatThrown(thrown),
    });
  }
  const shape: { code?: string } | undefined = thrown.data ?? undefined;
  if (shape?.code !== undefined) {
    const { message: reason } = thrown;
    return PeerError.create({ kind: "failed", peer, code: shape.code, reason });
  }
  const cause: unknown = thrown.cause;
  const reason = formatThrown(cause ?? thrown);
  if (cause instanceof UnauthorizedError) {
    return PeerError.create({ kind: "unauthorized", peer });
  }
  const code = (cause as { code?: string } | undefined)?.code ?? "";
  if (unsentErrorCodes.has(code)) {
    return PeerError.create({ kind: "unreachable", peer, reason });
  }
  const isTransport = cause instanceof errors.UndiciError || code !== "" ||
    (cause as Error | undefined)?.name === "AbortError";
  return PeerError.create({
    kind: isTransport ? "connection_lost" : "bad_answer",
    peer,
    reason,
  });
}

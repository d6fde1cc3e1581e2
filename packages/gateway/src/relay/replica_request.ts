/**
 * Sends one request to one replica.
 *
 * The outcome tells whether the request may have run: it has not if it was not
 * sent or the replica declined it; after any other failure it may have.
 */

import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import {
  endsWithConnection,
  findFraming,
  isFinalStatus,
} from "@almondcrank/common/answer_framing.ts";
import { requireAddress } from "@almondcrank/common/address.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { waitForPoll } from "@almondcrank/common/poll_phase.ts";
import {
  notExecutedHeader,
  requestIdHeader,
} from "@almondcrank/platform/headers.ts";
import type { ReplicaAgent } from "./replica_agent.ts";
import { isWritable } from "./message_headers.ts";
import { discardResponseBody } from "./response_body.ts";

/** A request to one replica. */
export interface ReplicaRequest {
  readonly address: string;
  readonly agent: ReplicaAgent;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Composes names and values in turn; called when the request is sent. */
  readonly composeHeaders: () => readonly string[];
  readonly body: Buffer;
  readonly requestId: string | undefined;
  /** Aborts the request and closes its connection. */
  readonly signal: AbortSignal;
  readonly connectTimeoutMs: number;
  /** Aborted once the caller has left: nothing is sent for it then. */
  readonly callerSignal: AbortSignal;
  /** Whether the replica still wants the request once a connection is free. */
  readonly isWanted: () => boolean;
  /** Called with each response of the replica to this request. */
  readonly onAnswer: (response: IncomingMessage) => void;
  /** Called when a new connection is established. */
  readonly onConnected?: () => void;
}

/** Outcome of a send, known when the response headers arrive. */
export type SendOutcome =
  | { readonly kind: "answered"; readonly response: IncomingMessage }
  /** The replica did not run the request and never will. */
  | { readonly kind: "declined"; readonly status: number }
  /** No connection was established, so nothing reached the replica. */
  | {
    readonly kind: "not_sent";
    readonly reason: string;
    /** Whether no connection could be established, rather than none was wanted. */
    readonly isUnreached: boolean;
  }
  /** The request may have run. */
  | {
    readonly kind: "lost";
    readonly reason: string;
    /** Whether the replica's end closed or reset the connection. */
    readonly isReset: boolean;
  };

/** A request that this node does not send after all. */
class WithheldError extends Error {}

const misdirectedStatus = 421;
const callerLeftReason = "the caller has left";
/** Interim responses (1xx) accepted before a response; none are expected. */
const maxInterimResponses = 16;

/**
 * Sends the request and waits for the response headers; never rejects. Nothing is
 * sent if the caller has left or the send was ended before.
 */
export async function sendToReplica(
  call: ReplicaRequest,
): Promise<SendOutcome> {
  await waitForPoll();
  if (call.callerSignal.aborted) {
    return { kind: "not_sent", reason: callerLeftReason, isUnreached: false };
  }
  if (call.signal.aborted) {
    const reason = "the send was ended before it left";
    return { kind: "not_sent", reason, isUnreached: false };
  }
  return await openRequest(call);
}

/** Creates a request; throws if its path, a header or its address can't be used. */
function createRequest(call: ReplicaRequest): ClientRequest {
  return request({
    ...requireAddress(call.address),
    agent: call.agent,
    method: call.method,
    path: call.path,
    headers: call.composeHeaders() as string[],
    setHost: false,
    signal: call.signal,
  });
}

function openRequest(call: ReplicaRequest): Promise<SendOutcome> {
  let outgoing: ClientRequest;
  try {
    outgoing = createRequest(call);
  } catch (thrown) {
    const reason = `the request can't be written: ${formatThrown(thrown)}`;
    return Promise.resolve({ kind: "not_sent", reason, isUnreached: false });
  }
  return new Promise((resolve) => {
    let isConnected = false;
    let received: IncomingMessage | undefined;
    watchConnect(outgoing, call, () => isConnected = true);
    watchInterimResponses(outgoing);
    const fail = (error: Error): void => {
      const reason = error.message;
      resolve(
        isConnected
          ? { kind: "lost", reason, isReset: isResetError(error) }
          : { kind: "not_sent", reason, isUnreached: isUnreachedError(error) },
      );
    };
    outgoing.on("error", (error) => {
      // Bytes behind a whole answer belong to no request.
      if (received !== undefined && isFramedWhole(received, call)) return;
      // When the connection is reset, Node.js ends a response without a length
      // as if it were complete, unless the response was destroyed before.
      received?.destroy(error);
      fail(error);
    });
    // After an answer that switches protocols, Node.js closes the connection with
    // neither a response nor an error.
    outgoing.on("close", () => {
      fail(new Error("the connection closed without an answer"));
    });
    outgoing.on("response", (response) => {
      received = response;
      watchReset(response);
      call.agent.recordKeepAlive(
        response.headers["keep-alive"] as string | undefined,
      );
      resolve(readOutcome(call, outgoing, response));
    });
    outgoing.end(call.body);
  });
}

/** Whether a response is whole by its own framing, whatever follows it. */
function isFramedWhole(
  response: IncomingMessage,
  { method }: ReplicaRequest,
): boolean {
  return response.complete && !endsWithConnection(response, method);
}

/** Fails a request to which a replica sends only interim responses. */
function watchInterimResponses(outgoing: ClientRequest): void {
  let received = 0;
  outgoing.on("information", () => {
    received += 1;
    if (received <= maxInterimResponses) return;
    outgoing.destroy(new Error("too many interim responses"));
  });
}

/**
 * Fails a request whose new connection is not established in time, or that is no
 * longer wanted when a connection is free; nothing has been sent then.
 */
function watchConnect(
  outgoing: ClientRequest,
  { connectTimeoutMs: timeoutMs, callerSignal, isWanted, onConnected }:
    ReplicaRequest,
  onConnect: () => void,
): void {
  outgoing.on("socket", (socket) => {
    if (callerSignal.aborted) {
      outgoing.destroy(new WithheldError(callerLeftReason));
      return;
    }
    if (!isWanted()) {
      const reason = "the replica takes no requests at present";
      outgoing.destroy(new WithheldError(reason));
      return;
    }
    if (!socket.connecting) return onConnect();
    const timer = setTimeout(
      () => outgoing.destroy(new Error(`no connection in ${timeoutMs} ms`)),
      timeoutMs,
    );
    socket.once("connect", () => {
      clearTimeout(timer);
      onConnected?.();
      // What the request holds is written after this, so nothing has left.
      if (callerSignal.aborted) {
        outgoing.destroy(new WithheldError(callerLeftReason));
      } else onConnect();
    });
    socket.once("close", () => clearTimeout(timer));
  });
}

/**
 * Fails a response without a length when its connection was reset.
 *
 * Node.js reports a reset that arrives together with data as a normal end of the
 * connection, as if the response were complete. The socket then has no remote
 * address, which tells the two apart.
 */
function watchReset(response: IncomingMessage): void {
  if (findFraming(response) !== "connection") return;
  const { socket } = response;
  socket.prependOnceListener("end", () => {
    if (socket.remoteAddress !== undefined) return;
    response.destroy(new Error("the connection was reset"));
  });
}

/** Whether the other end closed or reset the connection. */
function isResetError({ code }: NodeJS.ErrnoException): boolean {
  return code === "ECONNRESET" || code === "EPIPE";
}

/** Whether a connection failed, rather than this node ended the request. */
function isUnreachedError(error: NodeJS.ErrnoException): boolean {
  return !(error instanceof WithheldError) && error.name !== "AbortError";
}

/** Agents of replicas that have named a request in an answer. */
const namingAgents = new WeakSet<ReplicaAgent>();

/**
 * Whether an answer surely belongs to another request: it names another one, or it
 * names none where other answers of the replica did. Bytes that a faulty replica
 * sends late come where the answer to the next request on their connection is
 * awaited, so that none can come before the first answer of a connection.
 */
function isForeign(
  { requestId, agent }: ReplicaRequest,
  { reusedSocket }: ClientRequest,
  { headers }: IncomingMessage,
): boolean {
  const echoed = headers[requestIdHeader];
  if (echoed !== undefined) {
    namingAgents.add(agent);
    return echoed !== requestId;
  }
  return requestId !== undefined && reusedSocket && namingAgents.has(agent);
}

/** Ids of the requests that were refused on each open connection. */
const refusedIds = new WeakMap<Socket, Set<string>>();

/**
 * Whether a refusal is certainly that of this request: a faulty replica may write
 * an earlier one once more on a connection that is in use again.
 */
function isOwnRefusal(
  { requestId }: ReplicaRequest,
  outgoing: ClientRequest,
  { headers, socket }: IncomingMessage,
): boolean {
  if (requestId === undefined) return !outgoing.reusedSocket;
  if (headers[requestIdHeader] === undefined && outgoing.reusedSocket) {
    return false;
  }
  const refused = refusedIds.get(socket) ?? new Set<string>();
  if (refused.has(requestId)) return false;
  refusedIds.set(socket, refused.add(requestId));
  return true;
}

/**
 * Whether a head is one that may be sent on. Where one byte is spoiled, others may
 * be, too, among them those that tell where the body ends.
 */
function isSoundHead({ statusCode, rawHeaders }: IncomingMessage): boolean {
  return isFinalStatus(statusCode) && isWritable(rawHeaders);
}

function readOutcome(
  call: ReplicaRequest,
  outgoing: ClientRequest,
  response: IncomingMessage,
): SendOutcome {
  if (isForeign(call, outgoing, response)) {
    outgoing.destroy();
    return {
      kind: "lost",
      reason: "the response belongs to another request",
      isReset: false,
    };
  }
  const status = response.statusCode ?? 0;
  if (status !== misdirectedStatus) call.onAnswer(response);
  const isDeclined = status === misdirectedStatus ||
    (status >= 400 && isFinalStatus(status) &&
      response.headers[notExecutedHeader] !== undefined);
  if (!isDeclined) {
    if (isSoundHead(response)) return { kind: "answered", response };
    outgoing.destroy();
    return {
      kind: "lost",
      reason: "the head of the response is not HTTP",
      isReset: false,
    };
  }
  if (!isOwnRefusal(call, outgoing, response)) {
    outgoing.destroy();
    return {
      kind: "lost",
      reason: "the refusal may be that of an earlier request",
      isReset: false,
    };
  }
  response.on("error", () => outgoing.destroy());
  discardResponseBody(response);
  return { kind: "declined", status };
}

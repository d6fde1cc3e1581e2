/**
 * Sends one request to one replica.
 *
 * The outcome tells what is known about the run: a request that was not sent, or
 * that the replica declined, has not run; after any other failure it may have.
 */

import { type ClientRequest, type IncomingMessage, request } from "node:http";
import {
  notExecutedHeader,
  requestIdHeader,
} from "@almondcrank/platform/headers.ts";
import type { ReplicaAgent } from "./replica_agent.ts";

/** A request as it goes to a replica. */
export interface ReplicaRequest {
  readonly address: string;
  readonly agent: ReplicaAgent;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Names and values in turn, as they go on the wire. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly requestId: string | undefined;
  /** Ends the call and its connection. */
  readonly signal: AbortSignal;
  readonly connectTimeoutMs: number;
}

/** Outcome up to the answer's headers. */
export type SendOutcome =
  | { readonly kind: "answered"; readonly answer: IncomingMessage }
  /** The replica said that it did not run the request and will not. */
  | { readonly kind: "declined"; readonly status: number }
  /** Nothing of the request reached the replica. */
  | { readonly kind: "not_sent"; readonly reason: string }
  /** The request may have run. */
  | { readonly kind: "lost"; readonly reason: string };

const misdirectedStatus = 421;

/** Sends the request and waits for the answer's headers. */
export function sendToReplica(call: ReplicaRequest): Promise<SendOutcome> {
  return new Promise((resolve) => {
    let isConnected = false;
    let received: IncomingMessage | undefined;
    const [host, port] = call.address.split(":");
    const outgoing = request({
      host,
      port,
      agent: call.agent,
      method: call.method,
      path: call.path,
      headers: call.headers as string[],
      setHost: false,
      signal: call.signal,
    });
    watchConnect(outgoing, call.connectTimeoutMs, () => isConnected = true);
    outgoing.on("error", (error) => {
      const reason = error.message;
      // Node.js ends an answer without a length when its connection is reset,
      // unless the answer has failed before.
      received?.destroy(error);
      resolve(
        isConnected ? { kind: "lost", reason } : { kind: "not_sent", reason },
      );
    });
    outgoing.on("response", (answer) => {
      received = answer;
      watchReset(answer);
      call.agent.recordKeepAlive(
        answer.headers["keep-alive"] as string | undefined,
      );
      resolve(readOutcome(call, outgoing, answer));
    });
    outgoing.end(call.body);
  });
}

/** Destroys a request whose new connection is not established in time. */
function watchConnect(
  outgoing: ClientRequest,
  timeoutMs: number,
  onConnect: () => void,
): void {
  outgoing.on("socket", (socket) => {
    if (!socket.connecting) return onConnect();
    const timer = setTimeout(
      () => outgoing.destroy(new Error(`no connection in ${timeoutMs} ms`)),
      timeoutMs,
    );
    socket.once("connect", () => {
      clearTimeout(timer);
      onConnect();
    });
    socket.once("close", () => clearTimeout(timer));
  });
}

/**
 * Fails an answer without a length when its connection was reset.
 *
 * A reset that arrives together with bytes shows as the connection's end, as if
 * the answer were whole. Only then has the socket no peer any more.
 */
function watchReset(answer: IncomingMessage): void {
  const { headers, socket } = answer;
  const isFramed = headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  if (isFramed) return;
  socket.prependOnceListener("end", () => {
    if (socket.remoteAddress !== undefined) return;
    answer.destroy(new Error("the connection was reset"));
  });
}

function readOutcome(
  call: ReplicaRequest,
  outgoing: ClientRequest,
  answer: IncomingMessage,
): SendOutcome {
  const echoed = answer.headers[requestIdHeader];
  const isForeign = echoed !== undefined && call.requestId !== undefined &&
    echoed !== call.requestId;
  if (isForeign) {
    outgoing.destroy();
    return { kind: "lost", reason: "the answer belongs to another request" };
  }
  const status = answer.statusCode ?? 0;
  const isDeclined = status === misdirectedStatus ||
    (status >= 400 && answer.headers[notExecutedHeader] !== undefined);
  if (!isDeclined) return { kind: "answered", answer };
  answer.on("error", () => outgoing.destroy());
  answer.resume();
  return { kind: "declined", status };
}

/** Reads a whole answer; `undefined` when it breaks off. */
export function readResponseBody(
  answer: IncomingMessage,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    answer.on("data", (chunk: Buffer) => chunks.push(chunk));
    answer.on("end", () => {
      resolve(answer.complete ? Buffer.concat(chunks) : undefined);
    });
    answer.on("error", () => resolve(undefined));
    answer.on("close", () => resolve(undefined));
  });
}

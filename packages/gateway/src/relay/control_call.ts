/**
 * Short HTTP calls with a buffered response: control calls to replicas and
 * requests between nodes.
 */

import {
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  request,
} from "node:http";
import { requireAddress } from "@almondcrank/common/address.ts";
import type { ReplicaCall } from "@almondcrank/platform/kv_move.ts";

/** Largest response by default, in bytes: above any answer to a control call. */
const defaultMaxBytes = 65_536;

/** A buffered response. */
export interface ControlResponse {
  readonly statusCode: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** The body as text. */
  readonly text: string;
}

/** Address and time limit of a call. */
export interface ControlCallOptions {
  readonly address: string;
  readonly timeoutMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Whether a response is one to this call; others close its connection. */
  readonly isExpected?: (headers: IncomingHttpHeaders) => boolean;
  /** Pool whose connections are used; a connection of its own by default. */
  readonly agent?: Agent | undefined;
  /** Largest response that is read, in bytes; 64 KiB by default. */
  readonly maxBytes?: number;
}

/**
 * Makes one call; `undefined` if no complete response within its size came in
 * time.
 */
export function sendControlCall(
  call: ReplicaCall,
  options: ControlCallOptions,
): Promise<ControlResponse | undefined> {
  let outgoing: ClientRequest;
  try {
    outgoing = createCall(call, options);
  } catch {
    // Its path, a header or its address can't be used.
    return Promise.resolve(undefined);
  }
  const { timeoutMs, maxBytes = defaultMaxBytes, isExpected } = options;
  return new Promise((resolve) => {
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    const finish = (response: ControlResponse | undefined): void => {
      clearTimeout(timer);
      resolve(response);
    };
    outgoing.on("error", () => finish(undefined));
    outgoing.on("close", () => finish(undefined));
    outgoing.on("response", (response) => {
      if (isExpected?.(response.headers) === false) {
        outgoing.destroy();
        return;
      }
      const chunks: Buffer[] = [];
      let bytes = 0;
      response.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxBytes) outgoing.destroy();
        else chunks.push(chunk);
      });
      response.on("error", () => finish(undefined));
      response.on("end", () => {
        const { statusCode = 0, headers } = response;
        const body = Buffer.concat(chunks);
        const text = body.toString("utf8");
        finish(
          response.complete ? { statusCode, headers, body, text } : undefined,
        );
      });
    });
    outgoing.end(call.body);
  });
}

function createCall(
  { method, path, body }: ReplicaCall,
  { address, headers, agent }: ControlCallOptions,
): ClientRequest {
  return request({
    ...requireAddress(address),
    method,
    path,
    agent: agent ?? false,
    headers: {
      "Content-Type": "application/json",
      "Content-Length": String(Buffer.byteLength(body)),
      ...headers,
    },
  });
}

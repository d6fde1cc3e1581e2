/**
 * Requests whose callers hold back the end of their body, over plain sockets.
 */

import type { Socket } from "node:net";
import { remainingTimeHeader } from "@almondcrank/platform/headers.ts";
import {
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import { openSocket, type RawResponse, readRaw } from "./raw_http.ts";

/** How the length of a body is told. */
export type HeldFraming = "length" | "chunks" | "small_chunks";

/** A request to send in part. */
export interface HeldRequest {
  readonly address: string;
  readonly path: string;
  readonly id: string;
  /** Size of the whole body. */
  readonly bytes: number;
  readonly framing?: HeldFraming;
  /** Part of the body that is sent, all but the last byte by default. */
  readonly sentBytes?: number;
  readonly deadlineMs: number;
  /** Bearer key, that of the example tenant by default. */
  readonly key?: string;
}

/** A request that was sent in part. */
export interface HeldExchange {
  readonly socket: Socket;
  /** The answer, once the node has closed the connection. */
  readonly answer: Promise<RawResponse>;
  /** Sends the end of the body. */
  readonly finish: () => void;
}

const smallChunk = Buffer.from("1\r\na\r\n");
const lastChunk = "0\r\n\r\n";
/** Bytes of all bodies, shared so that the test's own memory stays small. */
const shared = new Map<string, Buffer>();

/** Sends a request without the end of its body. */
export function sendHeld(request: HeldRequest): HeldExchange {
  const { framing = "length", bytes, sentBytes = bytes - 1 } = request;
  const { key = tenantKey } = request;
  const socket = openSocket(request.address);
  const answer = readRaw(socket);
  const length = framing === "length"
    ? `Content-Length: ${bytes}`
    : "Transfer-Encoding: chunked";
  socket.write([
    `POST ${request.path} HTTP/1.1`,
    `Host: ${exampleHostname}`,
    `Authorization: Bearer ${key}`,
    `X-Request-Id: ${request.id}`,
    `${remainingTimeHeader}: ${request.deadlineMs}`,
    "Connection: close",
    length,
    "\r\n",
  ].join("\r\n"));
  if (sentBytes > 0) socket.write(findBytes(framing, sentBytes));
  const rest = framing === "length" ? "a".repeat(bytes - sentBytes) : lastChunk;
  return { socket, answer, finish: () => void socket.write(rest) };
}

function findBytes(framing: HeldFraming, bytes: number): Buffer {
  const key = `${framing} ${bytes}`;
  const known = shared.get(key);
  if (known !== undefined) return known;
  const created = createBytes(framing, bytes);
  shared.set(key, created);
  return created;
}

function createBytes(framing: HeldFraming, bytes: number): Buffer {
  switch (framing) {
    case "length":
      return Buffer.alloc(bytes, "a");
    case "chunks": {
      const head = Buffer.from(`${bytes.toString(16)}\r\n`);
      return Buffer.concat([
        head,
        Buffer.alloc(bytes, "a"),
        Buffer.from("\r\n"),
      ]);
    }
    case "small_chunks":
      return Buffer.alloc(bytes * smallChunk.length, smallChunk);
  }
}

/**
 * HTTP over plain sockets, for requests that no client library would send.
 */

import { connect, type Socket } from "node:net";
import * as assert from "uvu/assert";
import { parseAddress } from "@almondcrank/common/address.ts";

/** A response that was read until the connection closed; status 0 if empty. */
export interface RawResponse {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Opens a connection to an address. */
export function openSocket(address: string): Socket {
  const parts = parseAddress(address);
  if (parts === undefined) throw new Error(`${address} is not an address`);
  return connect(parts.port, parts.host);
}

/**
 * Sends bytes and reads the response until the server closes the connection.
 */
export async function sendRaw(
  address: string,
  bytes: string | Uint8Array,
): Promise<RawResponse> {
  const socket = openSocket(address);
  socket.write(bytes);
  return await readRaw(socket);
}

/**
 * Like `sendRaw`, but reads only after all bytes are sent, as simple clients
 * do.
 */
export async function sendRawThenRead(
  address: string,
  bytes: string | Uint8Array,
): Promise<RawResponse> {
  const socket = openSocket(address);
  socket.on("error", () => undefined);
  await new Promise<void>((resolve) => socket.write(bytes, () => resolve()));
  return await readRaw(socket);
}

/** Reads one response until the server closes the connection. */
export async function readRaw(socket: Socket): Promise<RawResponse> {
  const chunks: Buffer[] = [];
  await new Promise<void>((resolve) => {
    socket.on("data", (chunk) => chunks.push(chunk));
    // The server may reset the connection after a complete response.
    socket.on("error", () => undefined);
    if (socket.closed) resolve();
    else socket.once("close", () => resolve());
  });
  return parseAnswer(Buffer.concat(chunks).toString());
}

function parseAnswer(text: string): RawResponse {
  const headEnd = text.indexOf("\r\n\r\n");
  const [statusLine = "", ...lines] = text.slice(0, Math.max(0, headEnd))
    .split("\r\n");
  const headers = new Map(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const status = Number(statusLine.split(" ")[1] ?? 0);
  return { status, headers, body: text.slice(headEnd + "\r\n\r\n".length) };
}

/** Expected contents of an error response. */
export interface ExpectedError {
  readonly status: number;
  readonly kind: string;
  /** Part of the message that says what to do. */
  readonly remedy: string | RegExp;
}

/** Checks an error response, which must say that the request was not run. */
export function checkError(answer: RawResponse, expected: ExpectedError): void {
  assert.is(answer.status, expected.status, answer.body);
  assert.match(answer.headers.get("content-type") ?? "", "application/json");
  const { error } = JSON.parse(answer.body) as {
    error: { kind: string; message: string; run: string };
  };
  assert.is(error.kind, expected.kind);
  assert.is(error.run, "not_run");
  assert.match(error.message, expected.remedy);
}

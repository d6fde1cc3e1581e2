/**
 * HTTP as bytes, for requests that no client library would send.
 */

import { connect, type Socket } from "node:net";
import * as assert from "uvu/assert";
import { parseAddress } from "@almondcrank/common/address.ts";

/** An answer read from a socket until its end. */
export interface RawResponse {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Opens a connection to an address. */
export function openSocket(address: string): Socket {
  const parts = parseAddress(address);
  if (parts === undefined) throw new Error(`bad address ${address}`);
  return connect(parts.port, parts.host);
}

/** Sends bytes and reads until the server ends the connection. */
export async function sendRaw(
  address: string,
  bytes: string | Uint8Array,
): Promise<RawResponse> {
  const socket = openSocket(address);
  socket.write(bytes);
  return await readRaw(socket);
}

/** Sends all bytes before it reads, as simple clients do. */
export async function sendRawThenRead(
  address: string,
  bytes: string | Uint8Array,
): Promise<RawResponse> {
  const socket = openSocket(address);
  socket.on("error", () => undefined);
  await new Promise<void>((resolve) => socket.write(bytes, () => resolve()));
  return await readRaw(socket);
}

/** Reads one answer until the server ends the connection. */
export async function readRaw(socket: Socket): Promise<RawResponse> {
  const chunks: Buffer[] = [];
  await new Promise<void>((resolve) => {
    socket.on("data", (chunk) => chunks.push(chunk));
    // A reset after a whole answer is as good as an end.
    socket.on("error", () => undefined);
    if (socket.closed) resolve();
    else socket.once("close", () => resolve());
  });
  return parseAnswer(Buffer.concat(chunks).toString());
}

function parseAnswer(text: string): RawResponse {
  const end = text.indexOf("\r\n\r\n");
  const [statusLine = "", ...lines] = text.slice(0, Math.max(0, end))
    .split("\r\n");
  const headers = new Map(lines.map((line) => {
    const mark = line.indexOf(":");
    return [line.slice(0, mark).toLowerCase(), line.slice(mark + 1).trim()];
  }));
  const status = Number(statusLine.split(" ")[1] ?? 0);
  return { status, headers, body: text.slice(end + "\r\n\r\n".length) };
}

/** What an error has to say. */
export interface ExpectedError {
  readonly status: number;
  readonly kind: string;
  /** Part of the message that names the remedy. */
  readonly remedy: string | RegExp;
}

/** Checks that an answer is a clear error and that nothing was run. */
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

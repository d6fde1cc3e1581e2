/**
 * Reads or discards the bodies of replicas' responses.
 *
 * A replica in trouble may send bytes without end, so each body has a limit.
 */

import type { IncomingMessage } from "node:http";
import { BodyBudget } from "@almondcrank/common/body_budget.ts";

/**
 * Largest body that is read whole, in bytes: above any answer, and small enough
 * that some of them at once fit in the node's memory.
 */
const maxBodyBytes = 8 * 1_048_576;
/** Largest body that is discarded to keep the connection, in bytes. */
const maxDiscardedBytes = 65_536;
/** Time in which a discarded body must end, in milliseconds. */
const discardMs = 1_000;

/** Bodies that are being read. */
const budget = BodyBudget.create();

/**
 * Reads the whole body; `undefined` if the response is truncated, exceeds
 * 8 MiB or what all bodies may hold together. Its connection is closed then.
 */
export function readResponseBody(
  response: IncomingMessage,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const share = budget.open();
    const finish = (body: Buffer | undefined): void => {
      share.release();
      chunks.length = 0;
      resolve(body);
    };
    response.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      const mayGrow = share.add(chunk.length) && bytes <= maxBodyBytes;
      if (mayGrow) chunks.push(chunk);
      else response.destroy();
    });
    response.on("end", () => {
      finish(response.complete ? Buffer.concat(chunks) : undefined);
    });
    response.on("error", () => finish(undefined));
    response.on("close", () => finish(undefined));
    // It may have broken before anyone listened.
    if (response.destroyed) finish(undefined);
  });
}

/**
 * Discards the body, so that the connection can be used again; closes the
 * connection if the body exceeds 64 KiB or takes more than a second.
 */
export function discardResponseBody(response: IncomingMessage): void {
  let bytes = 0;
  const timer = setTimeout(() => response.destroy(), discardMs);
  response.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxDiscardedBytes) response.destroy();
  });
  response.on("close", () => clearTimeout(timer));
}

/**
 * Reads or discards the bodies of replicas' responses.
 *
 * A replica in trouble may send bytes without end, so each body has a limit.
 */

import type { IncomingMessage } from "node:http";
import type { BodyBudget, BodyShare } from "@almondcrank/common/body_budget.ts";
import { BodyBlocks } from "@almondcrank/common/body_blocks.ts";

/**
 * Largest body that is read whole, in bytes: above any answer, and small enough
 * that some of them at once fit in the node's memory.
 */
const maxBodyBytes = 8 * 1_048_576;
/** Largest body that is discarded to keep the connection, in bytes. */
const maxDiscardedBytes = 65_536;
/** Time in which a discarded body must end, in milliseconds. */
const discardMs = 1_000;

/** A body that was read whole. */
export interface WholeBody {
  readonly kind: "whole";
  readonly body: Buffer;
  /** Its part of the memory, released once it has left or is given up. */
  readonly share: BodyShare;
}

/** Outcome of reading a body. */
export type BodyEnd =
  | WholeBody
  /** It is truncated or exceeds 8 MiB. */
  | { readonly kind: "broken" }
  /** The answers to other requests leave no room for it; the replica is sound. */
  | { readonly kind: "no_room" };

/** Reads the whole body; unless it can, its connection is closed. */
export function readResponseBody(
  response: IncomingMessage,
  budget: BodyBudget,
): Promise<BodyEnd> {
  return new Promise((resolve) => {
    let bytes = 0;
    const share = budget.open({ priority: 0 });
    let blocks: BodyBlocks | undefined = BodyBlocks.create({ share });
    const fail = (kind: "broken" | "no_room"): void => {
      // A body that was read is its reader's.
      if (blocks === undefined) return;
      blocks = undefined;
      share.release();
      response.destroy();
      resolve({ kind });
    };
    response.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBodyBytes) fail("broken");
      else if (blocks?.add(chunk) === false) fail("no_room");
    });
    response.on("end", () => {
      if (!response.complete || blocks === undefined) return fail("broken");
      const body = blocks.join();
      blocks = undefined;
      resolve({ kind: "whole", body, share });
    });
    response.on("error", () => fail("broken"));
    response.on("close", () => fail("broken"));
    // It may have broken before anyone listened.
    if (response.destroyed) fail("broken");
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

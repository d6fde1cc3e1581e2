/**
 * Buffers a request body within limits of size, time and the memory that all bodies
 * share.
 *
 * The room of a body whose length is known is taken before it is read, so that what
 * has begun to arrive is not read in vain.
 */

import type { IncomingMessage } from "node:http";
import type { BodyShare } from "./body_budget.ts";
import { BodyBlocks } from "./body_blocks.ts";
import { PacedSocket } from "./paced_socket.ts";

/** Outcome of reading a body. */
export type BodyResult =
  | { readonly kind: "read"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  | { readonly kind: "timeout" }
  /** What others send leaves no room for it. */
  | { readonly kind: "no_room" }
  /** The caller disconnected before the body was complete. */
  | { readonly kind: "gone" };

/** Limits of one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time in which the body must be whole; its server bounds it, if undefined. */
  readonly timeoutMs?: number | undefined;
  /** Opens the body's share of the memory; its callback ends the read. */
  readonly openShare: (onDisplaced: () => void) => BodyShare;
}

/**
 * Reads the whole body; never rejects. The share is released unless the body is
 * read; then it is the caller's.
 */
export function readRequestBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs, openShare }: BodyLimits,
): Promise<BodyResult> {
  const declared = request.headers["content-length"];
  const declaredBytes = declared === undefined ? undefined : Number(declared);
  if ((declaredBytes ?? 0) > maxBytes) {
    return Promise.resolve({ kind: "too_large" });
  }
  const connection = PacedSocket.find(request.socket);
  return new Promise((resolve) => {
    const timer = timeoutMs === undefined
      ? undefined
      : setTimeout(() => finish({ kind: "timeout" }), timeoutMs);
    const finish = (result: BodyResult): void => {
      clearTimeout(timer);
      // The rest of a body that is not wanted is not kept.
      request.off("data", addChunk);
      connection?.setBodyReader(undefined);
      if (result.kind === "read") share.complete();
      else share.release();
      blocks = undefined;
      resolve(result);
    };
    const share = openShare(() => finish({ kind: "no_room" }));
    let blocks: BodyBlocks | undefined = BodyBlocks.create({
      share,
      reservedBytes: declaredBytes,
    });
    let bytes = 0;
    const addChunk = (chunk: Buffer): void => {
      bytes += chunk.length;
      if (bytes > maxBytes) finish({ kind: "too_large" });
      else if (blocks?.add(chunk) === false) finish({ kind: "no_room" });
    };
    connection?.setBodyReader(() => finish({ kind: "no_room" }));
    if (!share.add(declaredBytes ?? 0)) return finish({ kind: "no_room" });
    if (request.destroyed) return finish({ kind: "gone" });
    request.on("data", addChunk);
    request.on("end", () => {
      if (blocks !== undefined) finish({ kind: "read", body: blocks.join() });
    });
    request.on("error", () => finish({ kind: "gone" }));
    request.on("close", () => {
      if (!request.complete) finish({ kind: "gone" });
    });
  });
}

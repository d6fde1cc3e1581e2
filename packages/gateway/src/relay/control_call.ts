/**
 * Short calls with a whole answer: control calls to replicas, and what nodes ask
 * of each other.
 */

import { request } from "node:http";
import type { ReplicaCall } from "@almondcrank/platform/kv_move.ts";

const maxAnswerBytes = 16 * 1_048_576;

/** A whole answer. */
export interface ControlResponse {
  readonly status: number;
  readonly text: string;
}

/** Where a call goes and how long it may take. */
export interface ControlCallOptions {
  readonly address: string;
  readonly timeoutMs: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Makes one call; `undefined` when no whole answer came in time. */
export function sendControlCall(
  call: ReplicaCall,
  { address, timeoutMs, headers }: ControlCallOptions,
): Promise<ControlResponse | undefined> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method: call.method,
      path: call.path,
      agent: false,
      headers: {
        "Content-Type": "application/json",
        "Content-Length": String(Buffer.byteLength(call.body)),
        ...headers,
      },
    });
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    const finish = (answer: ControlResponse | undefined): void => {
      clearTimeout(timer);
      resolve(answer);
    };
    outgoing.on("error", () => finish(undefined));
    outgoing.on("close", () => finish(undefined));
    outgoing.on("response", (answer) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      answer.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxAnswerBytes) outgoing.destroy();
        else chunks.push(chunk);
      });
      answer.on("error", () => finish(undefined));
      answer.on("end", () => {
        const status = answer.statusCode ?? 0;
        const text = Buffer.concat(chunks).toString("utf8");
        finish(answer.complete ? { status, text } : undefined);
      });
    });
    outgoing.end(call.body);
  });
}

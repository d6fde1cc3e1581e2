/**
 * Test helpers for the stand-ins: HTTP calls, and waits for a condition.
 */

import { Agent, request } from "undici";

/** Answer to a call, or `cut` when the connection ended before it was whole. */
export type CallResult =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly text: string;
  }
  | { readonly kind: "cut"; readonly text: string; readonly code: string };

/** Method, JSON body and headers of a call. */
export interface CallOptions {
  readonly method?: "GET" | "POST" | "PUT" | "DELETE";
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

const agent = new Agent({ pipelining: 0, keepAliveTimeout: 10 });

/** Calls a part; the method defaults to POST with a body and to GET without. */
export async function callPart(
  url: string,
  options: CallOptions = {},
): Promise<CallResult> {
  const { body, headers, signal } = options;
  const method = options.method ?? (body === undefined ? "GET" : "POST");
  let text = "";
  try {
    const answer = await request(`http://${url}`, {
      method,
      dispatcher: agent,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      ...(headers === undefined ? {} : { headers }),
      ...(signal === undefined ? {} : { signal }),
    });
    for await (const chunk of answer.body) text += String(chunk);
    return { kind: "answered", status: answer.statusCode, text };
  } catch (thrown) {
    const code = String((thrown as { readonly code?: unknown }).code);
    return { kind: "cut", text, code };
  }
}

/** Calls a part and parses its JSON; throws when the connection is cut. */
export async function callJson<T>(
  url: string,
  options: CallOptions = {},
): Promise<T> {
  const result = await callPart(url, options);
  if (result.kind === "cut") throw new Error(`${url} was cut: ${result.code}`);
  return JSON.parse(result.text) as T;
}

/** Lets other tasks run until a condition holds; throws after 100,000 turns. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let turn = 0; turn < 100_000; turn++) {
    if (isMet()) return;
    await new Promise((resolve) => setImmediate(resolve));
  }
  throw new Error("the condition was not met within 100,000 event loop turns");
}

/**
 * Helpers of the stand-ins' tests: calls over HTTP and turns of the event loop.
 */

import { Agent, request } from "undici";

/** Answer of a call, or `cut` when the connection ended without a whole one. */
export type CallResult =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly text: string;
  }
  | { readonly kind: "cut"; readonly text: string; readonly code: string };

/** What a test sends. */
export interface CallOptions {
  readonly method?: "GET" | "POST" | "PUT" | "DELETE";
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

const agent = new Agent({ pipelining: 0, keepAliveTimeout: 10 });

/** Calls a part; POST when there is a body. */
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

/** Calls a part and parses its JSON; fails for a cut connection. */
export async function callJson<T>(
  url: string,
  options: CallOptions = {},
): Promise<T> {
  const result = await callPart(url, options);
  if (result.kind === "cut") throw new Error(`${url} was cut: ${result.code}`);
  return JSON.parse(result.text) as T;
}

/** Gives other tasks a turn until the condition holds. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let turn = 0; turn < 100_000; turn++) {
    if (isMet()) return;
    await new Promise((resolve) => setImmediate(resolve));
  }
  throw new Error("the condition did not come to hold");
}

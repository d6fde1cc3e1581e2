/**
 * Client side of a scenario: chats that run in the background, and bookings.
 */

import { once } from "node:events";
import { Agent, request } from "undici";
import type { Outcome } from "./outcome.ts";
import { readServerSentEvents } from "@almondcrank/load/sse_reader.ts";

/** Node to send requests to, and the key to send. */
export interface CallerTarget {
  /** Address of the node's listener for callers. */
  readonly address: string;
  /** Bearer key of the team. */
  readonly key: string;
}

interface ChunkBody {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
  }[];
  readonly error?: ErrorBody;
}

interface ErrorBody {
  readonly kind?: string;
  readonly run?: string;
}

const agent = new Agent({ connections: null, pipelining: 1 });

/** One chat request, with the tokens received on all its connections. */
export class ChatCall {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly #tokenEvents = new EventTarget();
  #tokens: string[] = [];
  #lastEventId: string | undefined;
  #abortController = new AbortController();
  #outcome: Promise<Outcome> | undefined;

  private constructor(prompt: string, maxTokens: number) {
    this.prompt = prompt;
    this.maxTokens = maxTokens;
  }

  static create(prompt: string, maxTokens: number): ChatCall {
    return new ChatCall(prompt, maxTokens);
  }

  /** Tokens received so far. */
  get tokens(): readonly string[] {
    return this.#tokens;
  }

  /** Id of the stream; undefined until the first token arrives. */
  get streamId(): string | undefined {
    return this.#lastEventId?.replace(/:\d+$/, "");
  }

  /** Sends the request without waiting for its answer. */
  start(target: CallerTarget): void {
    this.#outcome = this.#run(target, {
      model: "assistant",
      messages: [{ role: "user", content: this.prompt }],
      max_tokens: this.maxTokens,
      stream: true,
    });
  }

  /** Closes the connection, like a caller that lost its network. */
  closeConnection(): void {
    this.#abortController.abort();
  }

  /** Reconnects and resumes the stream after the last event received. */
  resume(target: CallerTarget): void {
    this.#abortController = new AbortController();
    this.#outcome = this.#run(target, undefined);
  }

  /** Waits until the current connection has ended. */
  async waitForOutcome(): Promise<Outcome> {
    return await (this.#outcome ?? Promise.resolve({ kind: "cut" as const }));
  }

  /** Waits until `count` tokens have arrived or the connection has ended. */
  async waitForTokens(count: number): Promise<void> {
    let hasEnded = false;
    void this.waitForOutcome().then(() => {
      hasEnded = true;
      this.#tokenEvents.dispatchEvent(new Event("token"));
    });
    while (this.#tokens.length < count && !hasEnded) {
      await once(this.#tokenEvents, "token");
    }
  }

  async #run(target: CallerTarget, body: object | undefined): Promise<Outcome> {
    try {
      const response = await request(
        `http://${target.address}/v1/chat/completions`,
        {
          method: body === undefined ? "GET" : "POST",
          dispatcher: agent,
          signal: this.#abortController.signal,
          headers: {
            authorization: `Bearer ${target.key}`,
            "content-type": "application/json",
            ...(body === undefined && this.#lastEventId !== undefined
              ? { "last-event-id": this.#lastEventId }
              : {}),
          },
          body: body === undefined ? null : JSON.stringify(body),
        },
      );
      if (response.statusCode !== 200) {
        return parseRefusal(await response.body.text());
      }
      return await this.#readEvents(response.body);
    } catch {
      return { kind: "cut" };
    }
  }

  async #readEvents(body: AsyncIterable<Uint8Array>): Promise<Outcome> {
    for await (const event of readServerSentEvents(body)) {
      if (event.data === "[DONE]") {
        return { kind: "answered", body: this.#tokens.join("") };
      }
      const chunk = JSON.parse(event.data) as ChunkBody;
      if (chunk.error !== undefined) return createRefused(chunk.error);
      const text = chunk.choices?.[0]?.delta?.content ?? "";
      if (text === "") continue;
      this.#lastEventId = event.id;
      this.#tokens.push(text);
      this.#tokenEvents.dispatchEvent(new Event("token"));
    }
    return { kind: "cut" };
  }
}

/**
 * Sends one booking, with an idempotency key if given, and waits for its
 * outcome.
 */
export async function sendBooking(
  target: CallerTarget,
  booking: { readonly slot: string; readonly key: string | undefined },
): Promise<Outcome> {
  const { slot, key } = booking;
  try {
    const response = await request(
      `http://${target.address}/services/booking/bookings`,
      {
        method: "POST",
        dispatcher: agent,
        headers: {
          authorization: `Bearer ${target.key}`,
          "content-type": "application/json",
          ...(key === undefined ? {} : { "idempotency-key": key }),
        },
        body: JSON.stringify({ slot }),
      },
    );
    const text = await response.body.text();
    return response.statusCode < 400
      ? { kind: "answered", body: text }
      : parseRefusal(text);
  } catch {
    return { kind: "cut" };
  }
}

/** Requests an idempotency key from a node. */
export async function issueKey(target: CallerTarget): Promise<string> {
  const response = await request(
    `http://${target.address}/v1/idempotency-keys`,
    {
      method: "POST",
      dispatcher: agent,
      headers: { authorization: `Bearer ${target.key}` },
    },
  );
  const body = await response.body.json() as { key?: string };
  if (body.key === undefined) throw new Error("no key in the response");
  return body.key;
}

function parseRefusal(text: string): Outcome {
  try {
    const body = JSON.parse(text) as { error?: ErrorBody };
    return createRefused(body.error ?? {});
  } catch {
    return { kind: "cut" };
  }
}

function createRefused(error: ErrorBody): Outcome {
  const run = error.run === "not_run" || error.run === "ran"
    ? error.run
    : "unknown";
  return { kind: "refused", reason: error.kind ?? "unnamed", run };
}

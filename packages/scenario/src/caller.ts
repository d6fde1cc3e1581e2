/**
 * A caller of a scenario: chats that run in the background, and bookings.
 */

import { once } from "node:events";
import { Agent, request } from "undici";
import type { Outcome } from "./outcome.ts";
import { readServerSentEvents } from "@almondcrank/load/sse_reader.ts";

/** Where to send. */
export interface CallerTarget {
  /** Callers' address of a node. */
  readonly address: string;
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

/** One chat, with everything received on all its connections. */
export class ChatCall {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly #received = new EventTarget();
  #tokens: string[] = [];
  #lastEventId: string | undefined;
  #connection = new AbortController();
  #ended: Promise<Outcome> | undefined;

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

  /** Id of the stream, once the first token has come. */
  get streamId(): string | undefined {
    return this.#lastEventId?.replace(/:\d+$/, "");
  }

  /** Sends the request. */
  start(target: CallerTarget): void {
    this.#ended = this.#run(target, {
      model: "assistant",
      messages: [{ role: "user", content: this.prompt }],
      max_tokens: this.maxTokens,
      stream: true,
    });
  }

  /** Closes the connection, as a caller that lost its network. */
  closeConnection(): void {
    this.#connection.abort();
  }

  /** Comes back with the id of the last event received. */
  resume(target: CallerTarget): void {
    this.#connection = new AbortController();
    this.#ended = this.#run(target, undefined);
  }

  /** Waits for the end of the present connection. */
  async waitForOutcome(): Promise<Outcome> {
    return await (this.#ended ?? Promise.resolve({ kind: "cut" as const }));
  }

  /** Waits until `count` tokens have been received or the chat has ended. */
  async waitForTokens(count: number): Promise<void> {
    let ended = false;
    void this.waitForOutcome().then(() => {
      ended = true;
      this.#received.dispatchEvent(new Event("token"));
    });
    while (this.#tokens.length < count && !ended) {
      await once(this.#received, "token");
    }
  }

  async #run(target: CallerTarget, body: object | undefined): Promise<Outcome> {
    try {
      const answer = await request(
        `http://${target.address}/v1/chat/completions`,
        {
          method: body === undefined ? "GET" : "POST",
          dispatcher: agent,
          signal: this.#connection.signal,
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
      if (answer.statusCode !== 200) {
        return parseRefusal(await answer.body.text());
      }
      return await this.#readEvents(answer.body);
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
      this.#received.dispatchEvent(new Event("token"));
    }
    return { kind: "cut" };
  }
}

/** Sends one booking and waits for its outcome. */
export async function sendBooking(
  target: CallerTarget,
  booking: { readonly slot: string; readonly key: string | undefined },
): Promise<Outcome> {
  const { slot, key } = booking;
  try {
    const answer = await request(
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
    const text = await answer.body.text();
    return answer.statusCode < 400
      ? { kind: "answered", body: text }
      : parseRefusal(text);
  } catch {
    return { kind: "cut" };
  }
}

/** Asks a node for an idempotency key. */
export async function issueKey(target: CallerTarget): Promise<string> {
  const answer = await request(
    `http://${target.address}/v1/idempotency-keys`,
    {
      method: "POST",
      dispatcher: agent,
      headers: { authorization: `Bearer ${target.key}` },
    },
  );
  const body = await answer.body.json() as { key?: string };
  if (body.key === undefined) throw new Error("node issued no key");
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

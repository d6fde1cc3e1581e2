/**
 * Sends one request of a load run and records what came back.
 *
 * Times are counted from when the request was due, not from when it was sent.
 */

import { type Dispatcher, request } from "undici";
import type { Clock } from "@almondcrank/common/clock.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type { SampledCall } from "./request_mix.ts";
import { readServerSentEvents } from "./sse_reader.ts";

/** One message of a conversation. */
export interface ChatMessage {
  readonly role: "system" | "user" | "assistant";
  readonly content: string;
}

/** Result of one request. */
export interface RequestResult {
  readonly name: string;
  readonly outcome: "answered" | "refused" | "failed";
  /** Kind of the refusal or failure. */
  readonly reason: string | undefined;
  readonly run: string | undefined;
  /** Milliseconds since the run's start at which the request was due. */
  readonly dueMs: number;
  /** Milliseconds from due to the first token or answer. */
  readonly firstOutputMs: number | undefined;
  readonly totalMs: number;
  /** Milliseconds between tokens. */
  readonly gapsMs: readonly number[];
  readonly text: string;
  readonly usage: ChatUsage | undefined;
}

/** Usage as the node reports it. */
export interface ChatUsage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly recomputed_tokens: number;
  readonly attempts: number;
  readonly prompt_tokens_details: { readonly cached_tokens: number };
}

/** A chat turn to send. */
export interface ChatTurn {
  readonly name: string;
  readonly key: string;
  readonly service: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
}

/** Where and when to send. */
export interface SendOptions {
  /** Address of a node's callers' listener. */
  readonly node: string;
  /** Monotonic time at which the request was due. */
  readonly dueAt: number;
  /** Monotonic time of the run's start. */
  readonly runStartedAt: number;
}

interface Reading {
  firstMs: number | undefined;
  text: string;
  usage: ChatUsage | undefined;
  error: ErrorBody | undefined;
  done: boolean;
  readonly gapsMs: number[];
}

interface ErrorBody {
  readonly kind?: string;
  readonly run?: string;
}

interface ChunkBody {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
  }[];
  readonly usage?: ChatUsage;
  readonly error?: ErrorBody;
}

/** Client of the callers' listeners. */
export class LoadClient {
  readonly #clock: Clock;
  readonly #dispatcher: Dispatcher;

  private constructor(clock: Clock, dispatcher: Dispatcher) {
    this.#clock = clock;
    this.#dispatcher = dispatcher;
  }

  static create(clock: Clock, dispatcher: Dispatcher): LoadClient {
    return new LoadClient(clock, dispatcher);
  }

  /** Sends one turn as a stream and reads it to its end. */
  async sendTurn(turn: ChatTurn, options: SendOptions): Promise<RequestResult> {
    const reading = createReading();
    try {
      const answer = await request(
        `http://${options.node}/v1/chat/completions`,
        {
          method: "POST",
          dispatcher: this.#dispatcher,
          headers: {
            authorization: `Bearer ${turn.key}`,
            "content-type": "application/json",
          },
          body: JSON.stringify({
            model: turn.service,
            messages: turn.messages,
            max_tokens: turn.maxTokens,
            stream: true,
            stream_options: { include_usage: true },
          }),
        },
      );
      if (answer.statusCode !== 200) {
        const body = await answer.body.json() as { error?: ErrorBody };
        return this.#finish(turn.name, options, {
          ...reading,
          error: body.error ?? { kind: `status_${answer.statusCode}` },
        });
      }
      await this.#readEvents(answer.body, options, reading);
    } catch (thrown) {
      reading.error = { kind: `connection: ${formatThrown(thrown)}` };
    }
    return this.#finish(turn.name, options, reading);
  }

  /** Sends one call; `key` is its idempotency key, if any. */
  async sendCall(
    call: SampledCall,
    options: SendOptions,
    key?: string,
  ): Promise<RequestResult> {
    const reading = createReading();
    try {
      const answer = await request(
        `http://${options.node}/services/${call.service}${call.path}`,
        {
          method: call.method as Dispatcher.HttpMethod,
          dispatcher: this.#dispatcher,
          headers: {
            authorization: `Bearer ${call.key}`,
            "content-type": "application/json",
            ...(key === undefined ? {} : { "idempotency-key": key }),
          },
          body: call.body ?? null,
        },
      );
      reading.text = await answer.body.text();
      reading.firstMs = this.#clock.now() - options.dueAt;
      reading.done = answer.statusCode < 400;
      if (!reading.done) reading.error = parseError(reading.text);
    } catch (thrown) {
      reading.error = { kind: `connection: ${formatThrown(thrown)}` };
    }
    return this.#finish(call.name, options, reading);
  }

  /** Asks a node for an idempotency key; undefined when it issues none. */
  async issueKey(node: string, teamKey: string): Promise<string | undefined> {
    const answer = await request(`http://${node}/v1/idempotency-keys`, {
      method: "POST",
      dispatcher: this.#dispatcher,
      headers: { authorization: `Bearer ${teamKey}` },
    });
    const body = await answer.body.json() as { key?: string };
    return body.key;
  }

  async #readEvents(
    body: AsyncIterable<Uint8Array>,
    options: SendOptions,
    reading: Reading,
  ): Promise<void> {
    let last = 0;
    for await (const { data } of readServerSentEvents(body)) {
      if (data === "[DONE]") {
        reading.done = true;
        continue;
      }
      const chunk = JSON.parse(data) as ChunkBody;
      if (chunk.error !== undefined) reading.error = chunk.error;
      if (chunk.usage !== undefined) reading.usage = chunk.usage;
      const text = chunk.choices?.[0]?.delta?.content;
      if (text === undefined || text === "") continue;
      const now = this.#clock.now();
      if (reading.firstMs === undefined) reading.firstMs = now - options.dueAt;
      else reading.gapsMs.push(now - last);
      last = now;
      reading.text += text;
    }
  }

  #finish(name: string, options: SendOptions, reading: Reading): RequestResult {
    const { error } = reading;
    return {
      name,
      outcome: findOutcome(reading),
      reason: reading.done ? undefined : error?.kind ?? "cut",
      run: error?.run,
      dueMs: options.dueAt - options.runStartedAt,
      firstOutputMs: reading.firstMs,
      totalMs: this.#clock.now() - options.dueAt,
      gapsMs: reading.gapsMs,
      text: reading.text,
      usage: reading.usage,
    };
  }
}

function createReading(): Reading {
  return {
    firstMs: undefined,
    text: "",
    usage: undefined,
    error: undefined,
    done: false,
    gapsMs: [],
  };
}

function findOutcome(reading: Reading): RequestResult["outcome"] {
  if (reading.done && reading.error === undefined) return "answered";
  return reading.error?.run === "not_run" ? "refused" : "failed";
}

function parseError(text: string): ErrorBody {
  try {
    return (JSON.parse(text) as { error?: ErrorBody }).error ??
      { kind: "endpoint_error" };
  } catch {
    return { kind: "endpoint_error" };
  }
}

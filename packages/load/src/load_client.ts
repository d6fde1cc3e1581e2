/**
 * Sends the requests of a load run and records their results.
 *
 * Latencies count from when a request was due, not from when it was sent, so
 * delays of the client are included.
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
  /** Name of the conversation or call in the mix. */
  readonly name: string;
  readonly outcome: "answered" | "refused" | "failed";
  /** Kind of the refusal or failure. */
  readonly reason: string | undefined;
  /** Whether the request ran, by its error: `not_run`, `ran` or `unknown`. */
  readonly run: string | undefined;
  /** Milliseconds since the run's start at which the request was due. */
  readonly dueMs: number;
  /** Milliseconds from due to the first token or to the answer of a call. */
  readonly firstOutputMs: number | undefined;
  /** Milliseconds from due to the end. */
  readonly totalMs: number;
  /** Milliseconds between tokens. */
  readonly gapsMs: readonly number[];
  readonly text: string;
  readonly usage: ChatUsage | undefined;
}

/** Usage of a chat turn as the node reports it. */
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

/** Where to send a request, and the times that its result counts from. */
export interface SendOptions {
  /** Address of a node's callers' listener. */
  readonly node: string;
  /** Monotonic time at which the request was due, in milliseconds. */
  readonly dueAt: number;
  /** Monotonic time of the run's start, in milliseconds. */
  readonly runStartedAt: number;
}

/** What has arrived of an answer so far. */
interface AnswerState {
  firstMs: number | undefined;
  text: string;
  usage: ChatUsage | undefined;
  error: ErrorBody | undefined;
  isDone: boolean;
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

/** Client of the nodes' callers' listeners. */
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

  /** Sends one turn and reads its answer as a stream; failures are results. */
  async sendTurn(turn: ChatTurn, options: SendOptions): Promise<RequestResult> {
    const state = createAnswerState();
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
          ...state,
          error: body.error ?? { kind: `status_${answer.statusCode}` },
        });
      }
      await this.#readEvents(answer.body, options, state);
    } catch (thrown) {
      state.error = { kind: `connection: ${formatThrown(thrown)}` };
    }
    return this.#finish(turn.name, options, state);
  }

  /** Sends one call with its idempotency key, if any; failures are results. */
  async sendCall(
    call: SampledCall,
    options: SendOptions,
    key?: string,
  ): Promise<RequestResult> {
    const state = createAnswerState();
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
      state.text = await answer.body.text();
      state.firstMs = this.#clock.now() - options.dueAt;
      state.isDone = answer.statusCode < 400;
      if (!state.isDone) state.error = parseError(state.text);
    } catch (thrown) {
      state.error = { kind: `connection: ${formatThrown(thrown)}` };
    }
    return this.#finish(call.name, options, state);
  }

  /**
   * Asks a node for an idempotency key; undefined when it issues none.
   *
   * @throws When the node does not answer or its answer is not JSON.
   */
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
    state: AnswerState,
  ): Promise<void> {
    let last = 0;
    for await (const { data } of readServerSentEvents(body)) {
      if (data === "[DONE]") {
        state.isDone = true;
        continue;
      }
      const chunk = JSON.parse(data) as ChunkBody;
      if (chunk.error !== undefined) state.error = chunk.error;
      if (chunk.usage !== undefined) state.usage = chunk.usage;
      const text = chunk.choices?.[0]?.delta?.content;
      if (text === undefined || text === "") continue;
      const now = this.#clock.now();
      if (state.firstMs === undefined) state.firstMs = now - options.dueAt;
      else state.gapsMs.push(now - last);
      last = now;
      state.text += text;
    }
  }

  #finish(
    name: string,
    options: SendOptions,
    state: AnswerState,
  ): RequestResult {
    const { error } = state;
    return {
      name,
      outcome: computeOutcome(state),
      reason: state.isDone ? undefined : error?.kind ?? "cut",
      run: error?.run,
      dueMs: options.dueAt - options.runStartedAt,
      firstOutputMs: state.firstMs,
      totalMs: this.#clock.now() - options.dueAt,
      gapsMs: state.gapsMs,
      text: state.text,
      usage: state.usage,
    };
  }
}

function createAnswerState(): AnswerState {
  return {
    firstMs: undefined,
    text: "",
    usage: undefined,
    error: undefined,
    isDone: false,
    gapsMs: [],
  };
}

function computeOutcome(state: AnswerState): RequestResult["outcome"] {
  if (state.isDone && state.error === undefined) return "answered";
  return state.error?.run === "not_run" ? "refused" : "failed";
}

function parseError(text: string): ErrorBody {
  try {
    return (JSON.parse(text) as { error?: ErrorBody }).error ??
      { kind: "endpoint_error" };
  } catch {
    return { kind: "endpoint_error" };
  }
}

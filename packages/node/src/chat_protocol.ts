/**
 * The OpenAI-compatible chat protocol: parsing of requests, formatting of
 * answers and server-sent events.
 *
 * A prompt is the conversation with one line per message, so that conversations
 * that begin with the same messages share a prompt prefix.
 */

import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type {
  StreamEvent,
  StreamUsage,
} from "@almondcrank/routing/routers/model_router.ts";

const contentPart = z.object({ type: z.literal("text"), text: z.string() });

const requestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(contentPart)]),
  })).min(1),
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
  n: z.literal(1).nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
});

/** A parsed chat request. */
export interface ChatRequest {
  /** Name of a service, or `SERVICE:ADAPTER`. */
  readonly model: string;
  readonly prompt: string;
  /**
   * Length in characters of the prompt up to the end of the first user message.
   */
  readonly conversationStart: number;
  readonly maxTokens: number | undefined;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

/** Parses the body of a chat request; `Left` is a message for the caller. */
export function parseChatRequest(body: unknown): Either<string, ChatRequest> {
  const parsed = requestSchema.safeParse(body);
  if (!parsed.success) {
    return Left(`${formatIssues(parsed.error)}; correct the request`);
  }
  const { data } = parsed;
  return Right({
    model: data.model,
    ...formatPrompt(data.messages),
    maxTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
    stream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
  });
}

/** Formats validation issues of a body, each with the path of its value. */
export function formatIssues(error: z.ZodError): string {
  const faults = error.issues.map((issue) =>
    `${issue.path.join(".") || "body"}: ${issue.message}`
  );
  return faults.join("; ");
}

function formatPrompt(
  messages: z.output<typeof requestSchema>["messages"],
): Pick<ChatRequest, "prompt" | "conversationStart"> {
  const lines = messages.map(({ role, content }) => {
    const text = typeof content === "string"
      ? content
      : content.map((part) => part.text).join("");
    return `<${role}> ${text}`;
  });
  const first = messages.findIndex(({ role }) => role === "user");
  const start = lines.slice(0, first + 1).join("\n");
  return {
    prompt: `${lines.join("\n")}\n<assistant>`,
    conversationStart: start.length,
  };
}

/** Fields that all chunks of one chat completion repeat. */
export interface CompletionMetadata {
  readonly streamId: string;
  readonly model: string;
  /** Seconds since the Unix epoch. */
  readonly created: number;
}

/**
 * Writes the events of one streamed answer in the server-sent events format.
 */
export class ChatEventFormatter {
  // The JSON before the token's text is the same for all tokens of an answer.
  // It is formatted once, so that only the text is formatted per token.
  readonly #tokenPrefix: string;
  readonly #metadata: CompletionMetadata;
  readonly #includeUsage: boolean;

  private constructor(metadata: CompletionMetadata, includeUsage: boolean) {
    this.#metadata = metadata;
    this.#includeUsage = includeUsage;
    const chunk = JSON.stringify(formatChunk(metadata, []));
    this.#tokenPrefix = chunk.slice(0, -"]}".length) +
      '{"index":0,"delta":{"content":';
  }

  static create(
    metadata: CompletionMetadata,
    includeUsage: boolean,
  ): ChatEventFormatter {
    return new ChatEventFormatter(metadata, includeUsage);
  }

  /** Formats the first event of an answer, which carries the role. */
  formatRole(): string {
    const choice = {
      index: 0,
      delta: { role: "assistant", content: "" },
      finish_reason: null,
    };
    return formatEvent(formatChunk(this.#metadata, [choice]));
  }

  /** Formats one event of the stream. */
  format(event: StreamEvent): string {
    switch (event.kind) {
      case "token":
        return `id: ${
          formatEventId(this.#metadata.streamId, event.index)
        }\ndata: ${
          this.#tokenPrefix + JSON.stringify(event.text)
        }},"finish_reason":null}]}\n\n`;
      case "end":
        return this.#formatEnd(event.reason, event.usage);
      case "failed":
        return formatEvent({ error: formatError(event.refusal.detail) });
    }
  }

  #formatEnd(reason: "stop" | "length", usage: StreamUsage): string {
    const choice = { index: 0, delta: {}, finish_reason: reason };
    const last = formatEvent(formatChunk(this.#metadata, [choice]));
    const counts = this.#includeUsage
      ? formatEvent({
        ...formatChunk(this.#metadata, []),
        usage: formatUsage(usage),
      })
      : "";
    return `${last}${counts}data: [DONE]\n\n`;
  }
}

function formatChunk(
  metadata: CompletionMetadata,
  choices: readonly unknown[],
): object {
  return {
    id: metadata.streamId,
    object: "chat.completion.chunk",
    created: metadata.created,
    model: metadata.model,
    choices,
  };
}

function formatEvent(value: object): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** Formats the body of an answer that is not streamed. */
export function formatCompletion(
  metadata: CompletionMetadata,
  answer: {
    readonly text: string;
    readonly reason: "stop" | "length";
    readonly usage: StreamUsage;
  },
): object {
  return {
    id: metadata.streamId,
    object: "chat.completion",
    created: metadata.created,
    model: metadata.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content: answer.text },
      finish_reason: answer.reason,
    }],
    usage: formatUsage(answer.usage),
  };
}

function formatUsage(usage: StreamUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
    recomputed_tokens: usage.recomputedTokens,
    attempts: usage.attempts,
  };
}

/** Formats an error for the body of an answer or for an event. */
export function formatError(error: {
  readonly kind: string;
  readonly message: string;
  readonly run?: string;
  readonly retryAfterMs?: number | undefined;
}): object {
  return {
    message: error.message,
    type: "almondcrank_error",
    code: error.kind,
    kind: error.kind,
    run: error.run ?? "not_run",
    ...(error.retryAfterMs === undefined
      ? {}
      : { retry_after_ms: Math.ceil(error.retryAfterMs) }),
  };
}

/**
 * Formats the event id of a token, which callers send back as `Last-Event-ID`.
 */
export function formatEventId(streamId: string, index: number): string {
  return `${streamId}:${index}`;
}

/** Parses a `Last-Event-ID`; undefined when it is malformed. */
export function parseEventId(
  text: string,
): { readonly streamId: string; readonly index: number } | undefined {
  const match = /^(.+):(\d{1,9})$/.exec(text);
  if (match?.[1] === undefined) return undefined;
  return { streamId: match[1], index: Number(match[2]) };
}

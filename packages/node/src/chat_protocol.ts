/**
 * The OpenAI-compatible chat protocol: requests in, answers and events out.
 *
 * A prompt is the conversation with one line per message, so that two
 * conversations with the same beginning have the same prefix.
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

/** A chat request as the front uses it. */
export interface ChatRequest {
  /** Name of a service, or `SERVICE:ADAPTER`. */
  readonly model: string;
  readonly prompt: string;
  /** Length of the prompt up to the end of the first user message. */
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

/** Names each fault of a body with its place. */
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

/** What all parts of one answer have in common. */
export interface CompletionMetadata {
  readonly streamId: string;
  readonly model: string;
  /** Seconds since the Unix epoch. */
  readonly created: number;
}

/** Writes the events of one streamed answer in the server-sent events format. */
export class ChatEventFormatter {
  // Everything before the token's text is the same for all tokens of an
  // answer; formatting it once leaves one small JSON string per token.
  readonly #beforeText: string;
  readonly #head: CompletionMetadata;
  readonly #includeUsage: boolean;

  private constructor(head: CompletionMetadata, includeUsage: boolean) {
    this.#head = head;
    this.#includeUsage = includeUsage;
    const chunk = JSON.stringify(formatChunk(head, []));
    this.#beforeText = chunk.slice(0, -"]}".length) +
      '{"index":0,"delta":{"content":';
  }

  static create(
    head: CompletionMetadata,
    includeUsage: boolean,
  ): ChatEventFormatter {
    return new ChatEventFormatter(head, includeUsage);
  }

  /** First event of an answer: the role. */
  formatRole(): string {
    const choice = {
      index: 0,
      delta: { role: "assistant", content: "" },
      finish_reason: null,
    };
    return formatEvent(formatChunk(this.#head, [choice]));
  }

  /** One event of the stream. */
  format(event: StreamEvent): string {
    switch (event.kind) {
      case "token":
        return `id: ${formatEventId(this.#head.streamId, event.index)}\ndata: ${
          this.#beforeText + JSON.stringify(event.text)
        }},"finish_reason":null}]}\n\n`;
      case "end":
        return this.#formatEnd(event.reason, event.usage);
      case "failed":
        return formatEvent({ error: formatError(event.refusal.detail) });
    }
  }

  #formatEnd(reason: "stop" | "length", usage: StreamUsage): string {
    const choice = { index: 0, delta: {}, finish_reason: reason };
    const last = formatEvent(formatChunk(this.#head, [choice]));
    const counts = this.#includeUsage
      ? formatEvent({
        ...formatChunk(this.#head, []),
        usage: formatUsage(usage),
      })
      : "";
    return `${last}${counts}data: [DONE]\n\n`;
  }
}

function formatChunk(
  head: CompletionMetadata,
  choices: readonly unknown[],
): object {
  return {
    id: head.streamId,
    object: "chat.completion.chunk",
    created: head.created,
    model: head.model,
    choices,
  };
}

function formatEvent(value: object): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** Body of a whole answer. */
export function formatCompletion(
  head: CompletionMetadata,
  answer: {
    readonly text: string;
    readonly reason: "stop" | "length";
    readonly usage: StreamUsage;
  },
): object {
  return {
    id: head.streamId,
    object: "chat.completion",
    created: head.created,
    model: head.model,
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

/** An error as the body of an answer or as an event. */
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

/** Identifies a token of a stream, for `Last-Event-ID`. */
export function formatEventId(streamId: string, index: number): string {
  return `${streamId}:${index}`;
}

/** Parses a `Last-Event-ID`. */
export function parseEventId(
  text: string,
): { readonly streamId: string; readonly index: number } | undefined {
  const match = /^(.+):(\d{1,9})$/.exec(text);
  if (match?.[1] === undefined) return undefined;
  return { streamId: match[1], index: Number(match[2]) };
}

/**
 * Handler of chat requests: complete answers, streamed answers, and streams
 * that a caller resumes after a lost connection.
 */

import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { abortResponse } from "@almondcrank/common/abort_response.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  ModelService,
  Team,
} from "@almondcrank/common/configuration.ts";
import {
  type BodyError,
  type HttpExchange,
  parseJsonBody,
  sendJson,
} from "@almondcrank/common/http_server.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type {
  ModelRouter,
  ModelStream,
} from "@almondcrank/routing/routers/model_router.ts";
import type { Refusal } from "@almondcrank/routing/admission/refusal.ts";
import {
  ChatEventFormatter,
  type ChatRequest,
  type CompletionMetadata,
  formatCompletion,
  parseChatRequest,
  parseEventId,
} from "./chat_protocol.ts";
import { EventWriter } from "./event_writer.ts";
import {
  sendBadRequest,
  sendBodyError,
  sendRefusal,
} from "./error_response.ts";
import type { ListenerBodies } from "./listener_bodies.ts";
import { readTimeout } from "./request_timeout.ts";

/**
 * Abort reason; a string avoids the stack trace of the default `DOMException`.
 */
const connectionClosed = "connection closed";

const millisecondsPerSecond = 1_000;

const eventStreamHeaders = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-store",
  "x-accel-buffering": "no",
} as const;

/** Options of `ChatHandler`. */
export interface ChatHandlerOptions {
  readonly configuration: ConfigurationSource;
  readonly router: ModelRouter;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly bodies: ListenerBodies;
}

/** Service and adapter that the `model` of a request names. */
interface Target {
  readonly service: ModelService;
  readonly adapter: string | undefined;
}

/** Handles the callers' requests to model services. */
export class ChatHandler {
  readonly #options: ChatHandlerOptions;

  private constructor(options: ChatHandlerOptions) {
    this.#options = options;
  }

  static create(options: ChatHandlerOptions): ChatHandler {
    return new ChatHandler(options);
  }

  /** Answers `GET /v1/models`: model services and their adapters. */
  listModels(exchange: HttpExchange): void {
    const { services } = this.#options.configuration.current();
    const names = services.flatMap((service) =>
      service.kind === "model"
        ? [
          service.name,
          ...service.adapters.map((adapter) => `${service.name}:${adapter}`),
        ]
        : []
    );
    const data = names.map((id) => ({
      id,
      object: "model",
      created: 0,
      owned_by: "almondcrank",
    }));
    sendJson(exchange.response, 200, { object: "list", data });
  }

  /** Answers one chat request; with `Last-Event-ID`, resumes its stream. */
  async handle(exchange: HttpExchange, team: Team): Promise<void> {
    const lastEventId = exchange.request.headers["last-event-id"];
    if (typeof lastEventId === "string") {
      return await this.#handleResume(exchange, team, lastEventId);
    }
    await this.#options.bodies.run(exchange, {
      priority: team.priority,
      group: team.name,
      handle: (body) => this.#handleBody(exchange, team, body),
    });
  }

  async #handleBody(
    exchange: HttpExchange,
    team: Team,
    body: Buffer,
  ): Promise<void> {
    const parsed = parseJsonBody(body);
    if (parsed.isLeft()) {
      return sendBodyError(exchange, parsed.extract() as BodyError);
    }
    const chat = parseChatRequest(parsed.extract());
    if (chat.isLeft()) {
      return sendBadRequest(exchange.response, {
        status: 400,
        kind: "bad_request",
        message: String(chat.extract()),
      });
    }
    await this.#handleChat(exchange, team, chat.extract() as ChatRequest);
  }

  async #handleChat(
    exchange: HttpExchange,
    team: Team,
    chat: ChatRequest,
  ): Promise<void> {
    const target = this.#findTarget(chat.model);
    if (target === undefined) {
      return sendBadRequest(exchange.response, {
        status: 404,
        kind: "unknown_model",
        message:
          `no service offers model "${chat.model}"; list them at /v1/models`,
      });
    }
    const { service, adapter } = target;
    const started = this.#options.clock.now();
    const opened = await this.#options.router.open({
      team,
      service,
      ...(adapter === undefined ? {} : { adapter }),
      prompt: chat.prompt,
      conversationStart: chat.conversationStart,
      maxTokens: Math.min(
        chat.maxTokens ?? service.maxOutputTokens,
        service.maxOutputTokens,
      ),
      deadline: started + readTimeout(exchange.request, service.timeoutMs),
    });
    if (opened.isLeft()) {
      return sendRefusal(exchange.response, opened.extract() as Refusal);
    }
    const stream = opened.extract() as ModelStream;
    const metadata = this.#createMetadata(stream);
    if (!chat.stream) return await this.#sendWhole(exchange, stream, metadata);
    const formatter = ChatEventFormatter.create(metadata, chat.includeUsage);
    await this.#sendEvents(exchange.response, {
      stream,
      formatter,
      from: 0,
      started,
    });
  }

  async #handleResume(
    exchange: HttpExchange,
    team: Team,
    lastEventId: string,
  ): Promise<void> {
    exchange.request.resume();
    const position = parseEventId(lastEventId);
    if (position === undefined) {
      return sendBadRequest(exchange.response, {
        status: 400,
        kind: "bad_event_id",
        message:
          "Last-Event-ID is malformed; send the id of the last event received",
      });
    }
    const found = await this.#options.router.find(position.streamId, team);
    if (found.isLeft()) {
      return sendRefusal(exchange.response, found.extract() as Refusal);
    }
    const stream = found.extract() as ModelStream;
    const metadata = this.#createMetadata(stream);
    this.#options.metrics.count("almondcrank_streams_returned_total");
    await this.#sendEvents(exchange.response, {
      stream,
      formatter: ChatEventFormatter.create(metadata, true),
      from: position.index + 1,
      started: this.#options.clock.now(),
    });
  }

  #createMetadata({ id, model }: ModelStream): CompletionMetadata {
    const created = Math.floor(
      this.#options.clock.wallTime() / millisecondsPerSecond,
    );
    return { streamId: id, model, created };
  }

  #findTarget(model: string): Target | undefined {
    const separator = model.indexOf(":");
    const name = separator < 0 ? model : model.slice(0, separator);
    const adapter = separator < 0 ? undefined : model.slice(separator + 1);
    const service = this.#options.configuration.current().services.find(
      (candidate) => candidate.name === name,
    );
    if (service?.kind !== "model") return undefined;
    if (adapter !== undefined && !service.adapters.includes(adapter)) {
      return undefined;
    }
    return { service, adapter };
  }

  /** Sends the answer in one piece after its last token. */
  async #sendWhole(
    exchange: HttpExchange,
    stream: ModelStream,
    metadata: CompletionMetadata,
  ): Promise<void> {
    const { response } = exchange;
    const gone = new AbortController();
    response.once("close", () => gone.abort(connectionClosed));
    let text = "";
    for await (const event of stream.read(0, gone.signal)) {
      switch (event.kind) {
        case "token":
          text += event.text;
          break;
        case "end":
          return sendJson(
            response,
            200,
            formatCompletion(metadata, {
              text,
              reason: event.reason,
              usage: event.usage,
            }),
          );
        case "failed":
          return sendRefusal(response, event.refusal);
      }
    }
    // The caller has disconnected, and only a streamed answer can be resumed.
    stream.cancel();
  }

  /** Sends the answer as server-sent events, from token `from` on. */
  async #sendEvents(
    response: ServerResponse,
    sending: {
      readonly stream: ModelStream;
      readonly formatter: ChatEventFormatter;
      readonly from: number;
      readonly started: number;
    },
  ): Promise<void> {
    const { stream, formatter, from, started } = sending;
    const gone = new AbortController();
    response.once("close", () => gone.abort(connectionClosed));
    const writer = EventWriter.create(response);
    const recorder = LatencyRecorder.create(this.#options, started);
    let isFinal = false;
    for await (const event of stream.read(from, gone.signal)) {
      isFinal = event.kind !== "token";
      if (!response.headersSent) {
        if (event.kind === "failed") {
          return sendRefusal(response, event.refusal);
        }
        response.writeHead(200, eventStreamHeaders);
        if (from === 0) writer.write(formatter.formatRole());
      }
      recorder.record(event.kind);
      const flushed = writer.write(formatter.format(event));
      if (!flushed) await waitDrained(response, gone.signal);
    }
    if (isFinal) {
      response.end();
      return;
    }
    writer.flush();
    abortResponse(response);
  }
}

/**
 * Waits until the response's write buffer has drained or the caller
 * disconnects.
 */
async function waitDrained(
  response: ServerResponse,
  gone: AbortSignal,
): Promise<void> {
  if (gone.aborted) return;
  await once(response, "drain", { signal: gone }).catch(() => undefined);
}

/**
 * Records the time to first token and the times between tokens of one answer.
 */
class LatencyRecorder {
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #started: number;
  #last: number | undefined;

  private constructor(options: ChatHandlerOptions, started: number) {
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.#started = started;
  }

  static create(options: ChatHandlerOptions, started: number): LatencyRecorder {
    return new LatencyRecorder(options, started);
  }

  record(kind: "token" | "end" | "failed"): void {
    if (kind !== "token") return;
    const now = this.#clock.now();
    if (this.#last === undefined) {
      this.#metrics.recordDuration(
        "almondcrank_first_token_seconds",
        now - this.#started,
      );
    } else {
      this.#metrics.recordDuration(
        "almondcrank_between_tokens_seconds",
        now - this.#last,
      );
    }
    this.#last = now;
  }
}

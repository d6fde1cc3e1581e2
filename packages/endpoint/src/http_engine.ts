/**
 * Client of a model engine over HTTP.
 *
 * One connection pool per endpoint is shared by all calls. A failure tells
 * whether the request may have run: when no connection was made, nothing was
 * sent; once a connection existed, the engine may have read the request.
 */

import { Pool } from "undici";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type {
  CacheEventBatch,
  CacheExport,
  CacheImport,
  Engine,
  EngineState,
  GenerateEvent,
  GenerateRequest,
  LoadReport,
  Order,
} from "./engine.ts";
import { EndpointError } from "./endpoint_error.ts";
import {
  cacheEventBatchSchema,
  cacheExportSchema,
  engineStateSchema,
  importAnswerSchema,
  loadReportSchema,
  parseGenerateEvent,
  staleFencingSchema,
} from "./engine_messages.ts";
import { LineSplitter, maxLineBytes } from "./line_splitter.ts";

const defaultCallTimeoutMs = 2_000;
const defaultConnectTimeoutMs = 1_000;
const defaultMaxConnections = 512;
const keepAliveTimeoutMs = 10_000;

/** Codes of errors that arise before a connection exists. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EHOSTDOWN",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Codes of undici's own time limits. */
const timeoutCodes: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
]);

/** Options of an engine client. */
export interface HttpEngineOptions {
  readonly endpoint: Pick<Endpoint, "name" | "address">;
  readonly clock: Clock;
  /** Time allowed for each call other than `generate`, in milliseconds. */
  readonly callTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
  /** Connections kept open at most; each running generation takes one. */
  readonly maxConnections?: number;
}

interface Call<T> {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<T>;
}

interface WholeAnswer {
  readonly status: number;
  readonly text: string;
}

/** Engine reached over HTTP. */
export class HttpEngine implements Engine {
  readonly name: string;
  readonly #clock: Clock;
  readonly #callTimeoutMs: number;
  readonly #pool: Pool;

  private constructor(options: HttpEngineOptions) {
    this.name = options.endpoint.name;
    this.#clock = options.clock;
    this.#callTimeoutMs = options.callTimeoutMs ?? defaultCallTimeoutMs;
    this.#pool = new Pool(`http://${options.endpoint.address}`, {
      connections: options.maxConnections ?? defaultMaxConnections,
      connect: { timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs },
      keepAliveTimeout: keepAliveTimeoutMs,
      pipelining: 1,
    });
  }

  static create(options: HttpEngineOptions): HttpEngine {
    return new HttpEngine(options);
  }

  /** Cuts all connections. */
  dispose(): void {
    void this.#pool.destroy();
  }

  async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Either<EndpointError, GenerateEvent>, void, void> {
    if (signal.aborted) return;
    // Whether the engine holds nothing of this request any more.
    let ended = false;
    try {
      const { statusCode, body } = await this.#pool.request({
        method: "POST",
        path: "/generate",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(request),
        signal,
        headersTimeout: Math.max(1, request.remainingMs),
        bodyTimeout: Math.max(1, request.remainingMs),
      });
      if (statusCode !== 200) {
        const error = this.#createStatusError(statusCode, await body.text());
        ended = error.run === "not_run";
        yield Left(error);
        return;
      }
      for await (const event of this.#readEvents(body)) {
        ended = event.isRight() && event.extract().kind === "end";
        yield event;
        if (ended || event.isLeft()) return;
      }
      yield Left(this.#createLost("answer ended without its end mark"));
    } catch (thrown) {
      if (signal.aborted) return;
      const error = this.#createError(thrown, request.remainingMs);
      ended = error.run === "not_run";
      yield Left(error);
    } finally {
      if (!ended) void this.cancel(request.id);
    }
  }

  /** Tells the engine to stop a generation; idempotent. */
  async cancel(id: string): Promise<Either<EndpointError, void>> {
    const answer = await this.#send("POST", "/cancel", { id });
    return answer.chain(({ status, text }) =>
      status === 200
        ? Right(undefined)
        : Left(this.#createStatusError(status, text))
    );
  }

  readLoad(): Promise<Either<EndpointError, LoadReport>> {
    return this.#call({
      method: "GET",
      path: "/load",
      schema: loadReportSchema,
    });
  }

  readCacheEvents(
    since: number,
  ): Promise<Either<EndpointError, CacheEventBatch>> {
    return this.#call({
      method: "GET",
      path: `/cache-events?since=${since}`,
      schema: cacheEventBatchSchema,
    });
  }

  exportCache(id: string): Promise<Either<EndpointError, CacheExport>> {
    return this.#call({
      method: "POST",
      path: "/kv/export",
      body: { id },
      schema: cacheExportSchema,
    });
  }

  async importCache(
    order: CacheImport,
  ): Promise<Either<EndpointError, number>> {
    const answer = await this.#call({
      method: "POST",
      path: "/kv/import",
      body: order,
      schema: importAnswerSchema,
    });
    return answer.map(({ tokens }) => tokens);
  }

  async sendOrder(order: Order): Promise<Either<EndpointError, EngineState>> {
    const answer = await this.#send("POST", "/orders", order);
    return answer.chain(({ status, text }) => {
      if (status !== 412) {
        return this.#parseAnswer({ status, text }, engineStateSchema);
      }
      return this.#parseBody(text, staleFencingSchema).chain(({ known }) =>
        Left(EndpointError.create({
          kind: "stale_fencing",
          endpoint: this.name,
          sent: order.fencing,
          known,
        }))
      );
    });
  }

  readState(): Promise<Either<EndpointError, EngineState>> {
    return this.#call({
      method: "GET",
      path: "/state",
      schema: engineStateSchema,
    });
  }

  async *#readEvents(
    body: AsyncIterable<Buffer>,
  ): AsyncGenerator<Either<EndpointError, GenerateEvent>, void, void> {
    const splitter = LineSplitter.create();
    let lines: string[] = [];
    for await (const chunk of body) {
      if (!splitter.add(chunk, lines)) {
        yield Left(this.#createBadAnswer(`line exceeds ${maxLineBytes} bytes`));
        return;
      }
      for (const line of lines) {
        const event = parseGenerateEvent(line);
        if (event === undefined) {
          yield Left(this.#createBadAnswer("line is not an event"));
          return;
        }
        yield Right(event);
      }
      lines = [];
    }
  }

  async #call<T>(call: Call<T>): Promise<Either<EndpointError, T>> {
    const answer = await this.#send(call.method, call.path, call.body);
    return answer.chain((whole) => this.#parseAnswer(whole, call.schema));
  }

  /** Sends one request and reads its whole answer within the call timeout. */
  async #send(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<Either<EndpointError, WholeAnswer>> {
    const timeout = new AbortController();
    const done = new AbortController();
    const timeoutMs = this.#callTimeoutMs;
    void this.#clock.sleep(timeoutMs, done.signal).then(() => {
      if (!done.signal.aborted) timeout.abort();
    });
    try {
      const answer = await this.#pool.request({
        method,
        path,
        headers: { "content-type": "application/json" },
        body: body === undefined ? null : JSON.stringify(body),
        signal: timeout.signal,
      });
      return Right({
        status: answer.statusCode,
        text: await answer.body.text(),
      });
    } catch (error) {
      return Left(
        timeout.signal.aborted
          ? this.#createTimeout(timeoutMs)
          : this.#createError(error, timeoutMs),
      );
    } finally {
      done.abort();
    }
  }

  #parseAnswer<T>(
    { status, text }: WholeAnswer,
    schema: z.ZodType<T>,
  ): Either<EndpointError, T> {
    if (status !== 200) return Left(this.#createStatusError(status, text));
    return this.#parseBody(text, schema);
  }

  #parseBody<T>(
    text: string,
    schema: z.ZodType<T>,
  ): Either<EndpointError, T> {
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch {
      return Left(this.#createBadAnswer("body is not JSON"));
    }
    const parsed = schema.safeParse(value);
    return parsed.success
      ? Right(parsed.data)
      : Left(this.#createBadAnswer("body has another shape"));
  }

  #createStatusError(status: number, text: string): EndpointError {
    if (status !== 503) {
      return this.#createBadAnswer(`status ${status}`);
    }
    return EndpointError.create({
      kind: "declined",
      endpoint: this.name,
      reason: parseReason(text),
    });
  }

  #createError(error: unknown, timeoutMs: number): EndpointError {
    const code = findCode(error);
    if (timeoutCodes.has(code)) return this.#createTimeout(timeoutMs);
    if (!connectErrorCodes.has(code)) {
      return this.#createLost(formatThrown(error));
    }
    return EndpointError.create({
      kind: "unreachable",
      endpoint: this.name,
      reason: formatThrown(error),
    });
  }

  #createTimeout(timeoutMs: number): EndpointError {
    return EndpointError.create({
      kind: "timeout",
      endpoint: this.name,
      timeoutMs,
    });
  }

  #createLost(reason: string): EndpointError {
    return EndpointError.create({
      kind: "connection_lost",
      endpoint: this.name,
      reason,
    });
  }

  #createBadAnswer(reason: string): EndpointError {
    return EndpointError.create({
      kind: "bad_answer",
      endpoint: this.name,
      reason,
    });
  }
}

function findCode(error: unknown): string {
  const { code } = error as { code?: unknown };
  return typeof code === "string" ? code : "";
}

function parseReason(text: string): string {
  try {
    const { reason } = JSON.parse(text) as { reason?: unknown };
    return typeof reason === "string" ? reason : "no reason given";
  } catch {
    return "no reason given";
  }
}

/**
 * Client of a model engine over HTTP.
 *
 * All calls to an endpoint share one connection pool. A failure says whether the
 * request may have run: when no connection was made, nothing was sent; once a
 * connection existed, the engine may have read the request.
 */

import { type Dispatcher, Pool } from "undici";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { waitForPoll } from "@almondcrank/common/poll_phase.ts";
import { ConditionalHandler } from "@almondcrank/common/conditional_handler.ts";
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
import { findFailureKind } from "./call_failure.ts";
import { createCallIds } from "./call_id.ts";
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
import { RunningCalls } from "./running_calls.ts";
import { createInterimLimit, readBodyText } from "./answer_limits.ts";
import { LineSplitter, maxLineBytes } from "./line_splitter.ts";

const defaultCallTimeoutMs = 2_000;
const defaultConnectTimeoutMs = 1_000;
const defaultMaxConnections = 512;
/** Time for which an idle connection is kept. */
const keepAliveTimeoutMs = 10_000;

/** Options of an engine client. */
export interface HttpEngineOptions {
  readonly endpoint: Pick<Endpoint, "name" | "address">;
  readonly clock: Clock;
  /** Time allowed for each call other than `generate`, in milliseconds. */
  readonly callTimeoutMs?: number;
  /** Time allowed for making a connection, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Limit of open connections; each running generation takes one. */
  readonly maxConnections?: number;
}

interface Call<T> {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<T>;
}

interface CompleteAnswer {
  readonly status: number;
  readonly text: string;
}

/** Model engine that is called over HTTP. */
export class HttpEngine implements Engine {
  readonly name: string;
  readonly #clock: Clock;
  readonly #callTimeoutMs: number;
  readonly #pool: Pool;
  readonly #dispatcher: Dispatcher;
  readonly #calls = RunningCalls.create();

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
    this.#dispatcher = this.#pool.compose(createCallIds());
  }

  static create(options: HttpEngineOptions): HttpEngine {
    return new HttpEngine(options);
  }

  /** Closes all connections once the running calls have ended. */
  async close(): Promise<void> {
    await this.#calls.waitIdle();
    this.dispose();
  }

  /** Closes all connections at once; running calls fail. */
  dispose(): void {
    void this.#pool.destroy();
  }

  async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Either<EndpointError, GenerateEvent>, void, void> {
    await waitForPoll();
    if (signal.aborted) return;
    this.#calls.start();
    // Whether the engine has no state of this request that a cancel would remove.
    let engineEnded = false;
    try {
      const { statusCode, body } = await this.#dispatcher.request({
        method: "POST",
        path: "/generate",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(request),
        signal,
        headersTimeout: Math.max(1, request.remainingMs),
        bodyTimeout: Math.max(1, request.remainingMs),
        onInfo: createInterimLimit(),
      });
      if (statusCode !== 200) {
        const error = this.#createStatusError(
          statusCode,
          await readBodyText(body),
        );
        engineEnded = error.run === "not_run";
        yield Left(error);
        return;
      }
      for await (const event of this.#readEvents(body)) {
        engineEnded = event.isRight() && event.extract().kind === "end";
        yield event;
        if (engineEnded || event.isLeft()) return;
      }
      yield Left(this.#createLost("the stream ended without an end event"));
    } catch (thrown) {
      if (signal.aborted) return;
      const error = this.#createError(thrown, request.remainingMs);
      engineEnded = error.run === "not_run";
      yield Left(error);
    } finally {
      if (!engineEnded) void this.cancel(request.id);
      this.#calls.end();
    }
  }

  /** Cancels a generation on the engine; idempotent. */
  async cancel(id: string): Promise<Either<EndpointError, void>> {
    const answer = await this.#send({
      method: "POST",
      path: "/cancel",
      body: { id },
    });
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
    cacheImport: CacheImport,
  ): Promise<Either<EndpointError, number>> {
    const answer = await this.#call({
      method: "POST",
      path: "/kv/import",
      body: cacheImport,
      schema: importAnswerSchema,
    });
    return answer.map(({ tokens }) => tokens);
  }

  async sendOrder(
    order: Order,
    isAllowed: () => boolean,
  ): Promise<Either<EndpointError, EngineState>> {
    const dispatcher = this.#dispatcher.compose(
      (dispatch) => (options, handler) =>
        dispatch(options, ConditionalHandler.create(handler, isAllowed)),
    );
    const call = { method: "POST", path: "/orders", body: order } as const;
    const answer = await this.#send(call, dispatcher);
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
        yield Left(
          this.#createBadAnswer(`a line exceeds ${maxLineBytes} bytes`),
        );
        return;
      }
      for (const line of lines) {
        const event = parseGenerateEvent(line);
        if (event === undefined) {
          yield Left(this.#createBadAnswer("a line is not a valid event"));
          return;
        }
        yield Right(event);
      }
      lines = [];
    }
  }

  async #call<T>(call: Call<T>): Promise<Either<EndpointError, T>> {
    const answer = await this.#send(call);
    return answer.chain((whole) => this.#parseAnswer(whole, call.schema));
  }

  /** Sends one request and reads its complete answer within the call timeout. */
  async #send(
    { method, path, body }: Omit<Call<unknown>, "schema">,
    dispatcher: Dispatcher = this.#dispatcher,
  ): Promise<Either<EndpointError, CompleteAnswer>> {
    this.#calls.start();
    const timeout = new AbortController();
    const finished = new AbortController();
    const timeoutMs = this.#callTimeoutMs;
    void this.#clock.sleep(timeoutMs, finished.signal).then(() => {
      if (!finished.signal.aborted) timeout.abort();
    });
    try {
      const answer = await dispatcher.request({
        method,
        path,
        headers: { "content-type": "application/json" },
        body: body === undefined ? null : JSON.stringify(body),
        signal: timeout.signal,
        onInfo: createInterimLimit(),
      });
      return Right({
        status: answer.statusCode,
        text: await readBodyText(answer.body),
      });
    } catch (error) {
      return Left(
        timeout.signal.aborted
          ? this.#createTimeout(timeoutMs)
          : this.#createError(error, timeoutMs),
      );
    } finally {
      finished.abort();
      this.#calls.end();
    }
  }

  #parseAnswer<T>(
    { status, text }: CompleteAnswer,
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
      return Left(this.#createBadAnswer("the body is not JSON"));
    }
    const parsed = schema.safeParse(value);
    return parsed.success
      ? Right(parsed.data)
      : Left(this.#createBadAnswer("the body does not match the schema"));
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
    const endpoint = this.name;
    const kind = findFailureKind(error);
    switch (kind) {
      case "withheld":
        return EndpointError.create({ kind, endpoint });
      case "timeout":
        return this.#createTimeout(timeoutMs);
      case "unreachable":
      case "connection_lost": {
        const reason = formatThrown(error);
        return EndpointError.create({ kind, endpoint, reason });
      }
    }
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

function parseReason(text: string): string {
  try {
    const { reason } = JSON.parse(text) as { reason?: unknown };
    return typeof reason === "string" ? reason : "no reason given";
  } catch {
    return "no reason given";
  }
}

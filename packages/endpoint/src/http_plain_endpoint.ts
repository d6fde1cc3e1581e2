/**
 * Client of a plain service's endpoint over HTTP/1.1, built on undici.
 *
 * A connection carries one call at a time, and each call is written at most once.
 * undici calls `onRequestStart` just before it writes, so a call that fails earlier
 * has not run. The deadline is checked at that moment: a process that was paused
 * while the call waited for a connection sends nothing after it resumes.
 */

import { type Dispatcher, Pool } from "undici";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { Address } from "@almondcrank/common/address.ts";
import {
  endsWithConnection,
  isFinalStatus,
} from "@almondcrank/common/answer_framing.ts";
import { BodyBudget } from "@almondcrank/common/body_budget.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { waitForPoll } from "@almondcrank/common/poll_phase.ts";
import { createInterimLimit } from "./answer_limits.ts";
import { createCallIds } from "./call_id.ts";
import { EndpointError, type EndpointErrorDetail } from "./endpoint_error.ts";
import { RunningCalls } from "./running_calls.ts";
import type {
  PlainAnswer,
  PlainCall,
  PlainEndpoint,
  PlainLoad,
} from "./plain_service.ts";

/** Answers that are being read. */
const budget = BodyBudget.create();
const defaultMaxAnswerBytes = 4_194_304;
const connectTimeoutMs = 1_000;
const loadTimeoutMs = 1_000;
const maxConnections = 256;
/** Time for which an idle connection is kept. */
const keepAliveMs = 4_000;

const plainLoadSchema = z.object({
  ageMs: z.number(),
  running: z.number(),
  queued: z.number(),
  requestsPerSecond: z.number().min(0).optional(),
});

/** Options of an endpoint client. */
export interface HttpPlainEndpointOptions {
  readonly name: string;
  readonly address: Address;
  readonly clock: Clock;
  /** Largest answer body that is accepted, in bytes. */
  readonly maxAnswerBytes?: number;
}

/** Failure detail without the endpoint's name. */
type Failure = EndpointErrorDetail extends infer D
  ? D extends { endpoint: string } ? Omit<D, "endpoint"> : never
  : never;

/** Request with its limits. */
interface Exchange {
  readonly options: Dispatcher.DispatchOptions;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

interface ReceivedAnswer extends PlainAnswer {
  readonly declined: boolean;
}

/** Plain endpoint that is called over HTTP. */
export class HttpPlainEndpoint implements PlainEndpoint, Disposable {
  readonly name: string;
  readonly #clock: Clock;
  readonly #pool: Pool;
  readonly #dispatcher: Dispatcher;
  readonly #maxAnswerBytes: number;
  readonly #calls = RunningCalls.create();

  private constructor(options: HttpPlainEndpointOptions) {
    this.name = options.name;
    this.#clock = options.clock;
    this.#maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;
    this.#pool = new Pool(`http://${options.address}`, {
      connections: maxConnections,
      pipelining: 1,
      connectTimeout: connectTimeoutMs,
      keepAliveTimeout: keepAliveMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#dispatcher = this.#pool.compose(createCallIds());
  }

  static create(options: HttpPlainEndpointOptions): HttpPlainEndpoint {
    return new HttpPlainEndpoint(options);
  }

  async call(
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<Either<EndpointError, PlainAnswer>> {
    const answer = await this.#send({
      options: {
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: createHeaders(call),
        body: call.body.length > 0 ? call.body : null,
      },
      timeoutMs: call.remainingMs,
      signal,
    });
    return answer.chain((received) => {
      if (received.declined) {
        return Left(this.#createError({
          kind: "declined",
          reason: "it answered 503 with x-run: not_run",
        }));
      }
      const { status, contentType, body } = received;
      return Right({ status, contentType, body });
    });
  }

  async readLoad(): Promise<Either<EndpointError, PlainLoad>> {
    const answer = await this.#send({
      options: { method: "GET", path: "/load" },
      timeoutMs: loadTimeoutMs,
      signal: new AbortController().signal,
    });
    return answer.chain((received) => this.#parseLoad(received));
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

  #parseLoad(received: ReceivedAnswer): Either<EndpointError, PlainLoad> {
    try {
      const text = new TextDecoder().decode(received.body);
      return Right(plainLoadSchema.parse(JSON.parse(text)));
    } catch (thrown) {
      const reason = formatThrown(thrown);
      return Left(this.#createError({ kind: "bad_answer", reason }));
    }
  }

  async #send(
    exchange: Exchange,
  ): Promise<Either<EndpointError, ReceivedAnswer>> {
    this.#calls.start();
    try {
      return await this.#dispatch(exchange);
    } finally {
      this.#calls.end();
    }
  }

  #dispatch(
    exchange: Exchange,
  ): Promise<Either<EndpointError, ReceivedAnswer>> {
    return new Promise((resolve) => {
      const handler = AnswerHandler.create({
        clock: this.#clock,
        exchange,
        maxAnswerBytes: this.#maxAnswerBytes,
        finish: (result) =>
          resolve(result.mapLeft((failure) => this.#createError(failure))),
      });
      // The caller may have left, which ends the handler.
      void waitForPoll().then(() => {
        if (handler.finished) return;
        this.#dispatcher.dispatch(exchange.options, handler);
      });
    });
  }

  #createError(failure: Failure): EndpointError {
    const detail = { ...failure, endpoint: this.name } as EndpointErrorDetail;
    return EndpointError.create(detail);
  }
}

function createHeaders(call: PlainCall): Record<string, string> {
  const headers: Record<string, string> = {
    "x-remaining-ms": String(Math.max(0, Math.floor(call.remainingMs))),
    "x-priority": String(call.priority),
  };
  if (call.contentType !== undefined) {
    headers["content-type"] = call.contentType;
  }
  if (call.idempotencyKey !== undefined) {
    headers["idempotency-key"] = call.idempotencyKey;
  }
  return headers;
}

interface AnswerHandlerOptions {
  readonly clock: Clock;
  readonly exchange: Exchange;
  readonly maxAnswerBytes: number;
  readonly finish: (result: Either<Failure, ReceivedAnswer>) => void;
}

/** Collects one answer and tracks whether the request may have been written. */
class AnswerHandler implements Dispatcher.DispatchHandler {
  readonly #options: AnswerHandlerOptions;
  readonly #deadline: number;
  readonly #timer = new AbortController();
  readonly #chunks: Buffer[] = [];
  readonly #share = budget.open();
  readonly #countInterim = createInterimLimit();
  #controller: Dispatcher.DispatchController | undefined;
  #size = 0;
  #status = 0;
  #contentType: string | undefined;
  #declined = false;
  #finished = false;

  private constructor(options: AnswerHandlerOptions) {
    this.#options = options;
    this.#deadline = options.clock.now() + options.exchange.timeoutMs;
  }

  static create(options: AnswerHandlerOptions): AnswerHandler {
    const handler = new AnswerHandler(options);
    const { signal, timeoutMs } = options.exchange;
    if (signal.aborted) handler.#handleAbort();
    else if (timeoutMs <= 0) handler.#handleTimeout();
    else handler.#watch();
    return handler;
  }

  get finished(): boolean {
    return this.#finished;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#finished || this.#controller !== undefined) {
      controller.abort(new Error("the request must not be written again"));
      return;
    }
    if (this.#options.clock.now() >= this.#deadline) {
      this.#handleTimeout();
      controller.abort(
        new Error("the deadline passed before the request was written"),
      );
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status >= 100 && status < 200) return this.#countInterim();
    if (!isFinalStatus(status)) {
      const reason = `status ${status} is not one of HTTP`;
      return this.#setFailure({ kind: "bad_answer", reason });
    }
    this.#status = status;
    const contentType = headers["content-type"];
    this.#contentType = typeof contentType === "string"
      ? contentType
      : undefined;
    this.#declined = status === 503 && headers["x-run"] === "not_run";
    // A broken connection looks like the end of such an answer: undici takes even a
    // reset for it.
    const isOpen = endsWithConnection(
      { headers, statusCode: status },
      this.#options.exchange.options.method,
    );
    if (!this.#declined && isOpen) {
      const reason = "only the end of the connection delimits the answer";
      this.#setFailure({ kind: "connection_lost", reason });
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#size += chunk.length;
    this.#chunks.push(chunk);
    if (this.#size > this.#options.maxAnswerBytes) {
      const reason = `the answer exceeds ${this.#options.maxAnswerBytes} bytes`;
      this.#setFailure({ kind: "bad_answer", reason });
    } else if (!this.#share.add(chunk.length)) {
      const reason = "the answers that are being read exceed their memory";
      this.#setFailure({ kind: "bad_answer", reason });
    }
  }

  onResponseEnd(): void {
    this.#setResult(Right({
      status: this.#status,
      contentType: this.#contentType,
      body: Buffer.concat(this.#chunks),
      declined: this.#declined,
    }));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const reason = formatThrown(error);
    this.#setFailure(
      this.#controller === undefined
        ? { kind: "unreachable", reason }
        : { kind: "connection_lost", reason },
    );
  }

  #watch(): void {
    const { clock, exchange } = this.#options;
    exchange.signal.addEventListener("abort", this.#handleAbort, {
      once: true,
    });
    void clock.sleep(exchange.timeoutMs, this.#timer.signal)
      .then(() => this.#handleTimeout());
  }

  readonly #handleAbort = (): void => {
    const reason = "the caller aborted the call";
    this.#setFailure(
      this.#controller === undefined
        ? { kind: "unreachable", reason }
        : { kind: "connection_lost", reason },
    );
  };

  #handleTimeout(): void {
    const { timeoutMs } = this.#options.exchange;
    this.#setFailure(
      this.#controller === undefined
        ? {
          kind: "unreachable",
          reason: `no connection within ${Math.round(timeoutMs)} ms`,
        }
        : { kind: "timeout", timeoutMs },
    );
  }

  #setFailure(failure: Failure): void {
    if (this.#finished) return;
    this.#setResult(Left(failure));
    this.#controller?.abort(new Error(failure.kind));
  }

  #setResult(result: Either<Failure, ReceivedAnswer>): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#share.release();
    this.#chunks.length = 0;
    this.#timer.abort();
    this.#options.exchange.signal.removeEventListener(
      "abort",
      this.#handleAbort,
    );
    this.#options.finish(result);
  }
}

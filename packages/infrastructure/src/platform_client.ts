/**
 * HTTP client of one platform service.
 *
 * Every call has a deadline and passes the service's circuit breaker. A call is
 * sent once. Retries are left to the loops that make the calls, so that there
 * is one layer of retries and the call rate does not rise during an outage. The
 * exception is a read on a kept connection that was closed meanwhile: it is sent
 * once more, unless the service was failing before. A write whose answer is lost
 * fails as `outcome_unknown`.
 */

import { type Either, Left, Right } from "purify-ts";
import { type Dispatcher, Pool } from "undici";
import type { z } from "zod";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import {
  ConditionalHandler,
  WithheldError,
} from "@almondcrank/common/conditional_handler.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import { Breaker } from "./breaker.ts";
import { PlatformError, type PlatformService } from "./platform_error.ts";

/** Counter of calls, labelled `service` and `outcome`. */
export const platformCallsCounter = "almondcrank_platform_calls_total";

const defaultDeadlineMs = 2_000;
/** Pause after a 429 that does not state one. */
const defaultRateLimitPauseMs = 1_000;
const maxConnections = 16;
const maxResponseBytes = 64 * 1_048_576;

/** Options of `PlatformClient` and of the clients that are built on it. */
export interface PlatformClientOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Timeout of a call in milliseconds; the call's `waitMs` is added to it. */
  readonly deadlineMs?: number;
  /**
   * Longest pause between probes of a failing service, in milliseconds; also
   * the pause after a 429 that does not state one.
   */
  readonly longestPauseMs?: number;
  /** Header with the era of the service's data; without it the era stays 0. */
  readonly eraHeader?: string;
}

/** One call to a platform service. */
export interface PlatformCall {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text of the body. */
  readonly body?: string;
  /** Time the service may hold the call before it answers, in milliseconds. */
  readonly waitMs?: number;
  /**
   * Whether the call may still be sent. It is asked right before the call leaves,
   * which may be long after it was made if the process was paused meanwhile.
   */
  readonly isAllowed?: () => boolean;
}

/** Answer with a status below 500 other than 429. */
export interface PlatformResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Client of one service. */
export class PlatformClient implements Disposable {
  readonly #service: PlatformService;
  readonly #options: PlatformClientOptions;
  readonly #pool: Pool;
  readonly #breaker: Breaker;
  readonly #log: Log;
  #isFailing = false;
  #rateLimitedUntil = 0;
  #era = 0;

  private constructor(
    service: PlatformService,
    options: PlatformClientOptions,
  ) {
    this.#service = service;
    this.#options = options;
    this.#log = options.log.createChild("platform");
    this.#breaker = Breaker.create(
      options.clock,
      options.random,
      options.longestPauseMs,
    );
    this.#pool = new Pool(`http://${options.address}`, {
      connections: maxConnections,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: maxResponseBytes,
    });
  }

  static create(
    service: PlatformService,
    options: PlatformClientOptions,
  ): PlatformClient {
    return new PlatformClient(service, options);
  }

  /** Highest era that an answer stated. */
  get era(): number {
    return this.#era;
  }

  /** Sends a call once and parses its JSON answer. */
  async call(
    call: PlatformCall,
  ): Promise<Either<PlatformError, PlatformResponse>> {
    const verdict = this.#checkAdmission();
    const result = verdict === undefined
      ? await this.#send(call)
      : Left(verdict);
    this.#record(result, verdict === undefined);
    return result;
  }

  /**
   * Validates the body of an answer; `Left` also for a status of 400 or more.
   */
  parse<T>(
    schema: z.ZodType<T>,
    response: PlatformResponse,
  ): Either<PlatformError, T> {
    if (response.status >= 400) return Left(this.createRejection(response));
    const parsed = schema.safeParse(response.body);
    if (parsed.success) return Right(parsed.data);
    const issue = parsed.error.issues[0];
    const path = issue?.path.join(".") ?? "";
    return Left(this.#createProtocolError(`${path}: ${issue?.message ?? "?"}`));
  }

  /** Creates the error for a call that the service refused. */
  createRejection(response: PlatformResponse): PlatformError {
    return PlatformError.create({
      kind: "rejected",
      service: this.#service,
      status: response.status,
      reason: JSON.stringify(response.body ?? "").slice(0, 200),
    });
  }

  dispose(): void {
    void this.#pool.destroy();
  }

  /**
   * Checks the rate limit and the breaker; undefined when the call may be sent.
   */
  #checkAdmission(): PlatformError | undefined {
    const service = this.#service;
    const limitedMs = this.#rateLimitedUntil - this.#options.clock.now();
    if (limitedMs > 0) {
      return PlatformError.create({
        kind: "rate_limited",
        service,
        retryAfterMs: limitedMs,
      });
    }
    const verdict = this.#breaker.check();
    if (verdict.kind === "pass") return undefined;
    const { retryAfterMs } = verdict;
    return PlatformError.create({
      kind: "breaker_open",
      service,
      retryAfterMs,
    });
  }

  async #send(
    call: PlatformCall,
  ): Promise<Either<PlatformError, PlatformResponse>> {
    const attempt = await this.#sendOnce(call);
    const isRepeated = attempt.isConnectionClosed && !isWrite(call) &&
      !this.#isFailing;
    return isRepeated ? (await this.#sendOnce(call)).result : attempt.result;
  }

  async #sendOnce(call: PlatformCall): Promise<SendAttempt> {
    const { clock, deadlineMs = defaultDeadlineMs } = this.#options;
    const timedOut = new AbortController();
    const finished = new AbortController();
    const totalMs = deadlineMs + (call.waitMs ?? 0);
    void clock.sleep(totalMs, finished.signal).then(() => {
      if (!finished.signal.aborted) timedOut.abort();
    });
    try {
      const response = await this.#findDispatcher(call).request({
        method: call.method,
        path: call.path,
        headers: { "content-type": "application/json", ...call.headers },
        body: call.body ?? null,
        signal: timedOut.signal,
      });
      const text = await response.body.text();
      const result = this.#parseResponse(call, { ...response, text });
      return { result, isConnectionClosed: false };
    } catch (thrown) {
      const reason = timedOut.signal.aborted
        ? `no answer within ${totalMs} ms`
        : formatThrown(thrown);
      const failure = this.#createFailure(call, {
        reason,
        isSent: isPossiblySent(thrown),
      });
      return {
        result: Left(failure),
        isConnectionClosed: closedCodes.has(readCode(thrown)),
      };
    } finally {
      // A reason of its own spares the exception that is made without one.
      finished.abort("finished");
    }
  }

  /** Connections that ask the call's condition when they are about to send it. */
  #findDispatcher({ isAllowed }: PlatformCall): Dispatcher {
    if (isAllowed === undefined) return this.#pool;
    return this.#pool.compose((dispatch) => (options, handler) =>
      dispatch(options, ConditionalHandler.create(handler, isAllowed))
    );
  }

  #parseResponse(
    call: PlatformCall,
    { statusCode, headers, text }: RawResponse,
  ): Either<PlatformError, PlatformResponse> {
    if (!this.#applyEra(headers)) {
      const reason = "the answer is from before the service was restored";
      return Left(this.#createFailure(call, { reason, isSent: true }));
    }
    if (statusCode === 429) {
      return Left(this.#recordRateLimit(headers["retry-after-ms"]));
    }
    if (statusCode >= 500) {
      const reason = `status ${statusCode}`;
      return Left(
        this.#createFailure(call, { reason, isSent: statusCode !== 503 }),
      );
    }
    try {
      const body: unknown = text === "" ? undefined : JSON.parse(text);
      return Right({ status: statusCode, body });
    } catch {
      const reason = `status ${statusCode} with a body that is not JSON`;
      return Left(
        isWrite(call)
          ? this.#createFailure(call, { reason, isSent: true })
          : this.#createProtocolError(reason),
      );
    }
  }

  /** Applies the era of an answer; false if the answer is of an earlier one. */
  #applyEra(headers: RawResponse["headers"]): boolean {
    const { eraHeader } = this.#options;
    const era = Number(eraHeader === undefined ? NaN : headers[eraHeader]);
    if (!Number.isSafeInteger(era)) return true;
    if (era < this.#era) return false;
    if (era > this.#era && this.#era > 0) {
      this.#log.warn(`${this.#service} came back from an older copy.`, { era });
    }
    this.#era = era;
    return true;
  }

  /**
   * Stops calls for the pause that the service stated, and creates the error.
   */
  #recordRateLimit(header: string | string[] | undefined): PlatformError {
    const stated = Number(header);
    const retryAfterMs = Number.isFinite(stated) && stated > 0
      ? stated
      : (this.#options.longestPauseMs ?? defaultRateLimitPauseMs);
    this.#rateLimitedUntil = this.#options.clock.now() + retryAfterMs;
    const service = this.#service;
    return PlatformError.create({
      kind: "rate_limited",
      service,
      retryAfterMs,
    });
  }

  #createFailure(
    call: PlatformCall,
    { reason, isSent }: { readonly reason: string; readonly isSent: boolean },
  ): PlatformError {
    const kind = isSent && isWrite(call) ? "outcome_unknown" : "unavailable";
    return PlatformError.create({ kind, service: this.#service, reason });
  }

  #createProtocolError(reason: string): PlatformError {
    const service = this.#service;
    return PlatformError.create({ kind: "bad_answer", service, reason });
  }

  #record(
    result: Either<PlatformError, PlatformResponse>,
    wasSent: boolean,
  ): void {
    const service = this.#service;
    const outcome = result.caseOf<string>({
      Left: (error) => error.kind,
      Right: () => "answered",
    });
    this.#options.metrics.count(platformCallsCounter, { service, outcome });
    if (!wasSent) return;
    const isFailure = outcome === "unavailable" ||
      outcome === "outcome_unknown";
    if (isFailure) this.#breaker.recordFailure();
    // A refusal by rate says nothing about whether the service works.
    else if (outcome !== "rate_limited") this.#breaker.recordSuccess();
    if (isFailure === this.#isFailing) return;
    this.#isFailing = isFailure;
    if (isFailure) this.#log.warn(`calls to ${service} fail.`, { outcome });
    else this.#log.info(`calls to ${service} succeed again.`);
  }
}

/** Outcome of sending a call once. */
interface SendAttempt {
  readonly result: Either<PlatformError, PlatformResponse>;
  /** Whether the connection was closed before an answer arrived. */
  readonly isConnectionClosed: boolean;
}

interface RawResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

function isWrite(call: PlatformCall): boolean {
  return call.method !== "GET";
}

/** Codes of errors that occur before a connection is established. */
const notSentCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Codes of errors on a connection that the other side has closed. */
const closedCodes: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

/** Whether a failed request may have reached the service. */
function isPossiblySent(thrown: unknown): boolean {
  return !(thrown instanceof WithheldError) &&
    !notSentCodes.has(readCode(thrown));
}

function readCode(thrown: unknown): string {
  const code = thrown instanceof Error && "code" in thrown ? thrown.code : "";
  return String(code);
}

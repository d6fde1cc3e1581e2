/**
 * Sends calls to one platform service over HTTP.
 *
 * Every call has a deadline and passes the service's circuit breaker. A call is
 * sent once: repeating it is left to the loops that own it, so that there is one
 * layer of retries and the call rate in bad times stays that of good times. A
 * write whose answer is lost fails as `outcome_unknown`.
 */

import { type Either, Left, Right } from "purify-ts";
import { Pool } from "undici";
import type { z } from "zod";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
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
const defaultRateLimitPauseMs = 1_000;
const connections = 16;
const maxAnswerBytes = 64 * 1_048_576;

/** What clients of the platform's services need. */
export interface PlatformClientOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Longest time a call may take, in milliseconds; a wait adds to it. */
  readonly deadlineMs?: number;
  /** Longest pause between probes of a service that fails. */
  readonly longestPauseMs?: number;
}

/** One call. */
export interface PlatformCall {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text. */
  readonly body?: string;
  /** Time the service may hold the call before it answers, in milliseconds. */
  readonly waitMs?: number;
}

/** Answer below status 500 that is not a rate limit. */
export interface PlatformResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Caller of one service. */
export class PlatformClient implements Disposable {
  readonly #service: PlatformService;
  readonly #options: PlatformClientOptions;
  readonly #pool: Pool;
  readonly #breaker: Breaker;
  readonly #log: Log;
  #isFailing = false;
  #limitedUntil = 0;

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
      connections,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: maxAnswerBytes,
    });
  }

  static create(
    service: PlatformService,
    options: PlatformClientOptions,
  ): PlatformClient {
    return new PlatformClient(service, options);
  }

  /** Sends a call once and parses its JSON answer. */
  async call(
    call: PlatformCall,
  ): Promise<Either<PlatformError, PlatformResponse>> {
    const verdict = this.#checkSending();
    const result = verdict === undefined
      ? await this.#send(call)
      : Left(verdict);
    this.#record(result, verdict === undefined);
    return result;
  }

  /** Checks an answer's body against its schema. */
  parse<T>(
    schema: z.ZodType<T>,
    answer: PlatformResponse,
  ): Either<PlatformError, T> {
    if (answer.status >= 400) return Left(this.createRejection(answer));
    const parsed = schema.safeParse(answer.body);
    if (parsed.success) return Right(parsed.data);
    const issue = parsed.error.issues[0];
    const path = issue?.path.join(".") ?? "";
    return Left(this.#createBadAnswer(`${path}: ${issue?.message ?? "?"}`));
  }

  /** Error for a call that the service understood and refused. */
  createRejection(answer: PlatformResponse): PlatformError {
    return PlatformError.create({
      kind: "rejected",
      service: this.#service,
      status: answer.status,
      reason: JSON.stringify(answer.body ?? "").slice(0, 200),
    });
  }

  dispose(): void {
    void this.#pool.destroy();
  }

  #checkSending(): PlatformError | undefined {
    const service = this.#service;
    const limitedMs = this.#limitedUntil - this.#options.clock.now();
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
    const { clock, deadlineMs = defaultDeadlineMs } = this.#options;
    const aborter = new AbortController();
    const finished = new AbortController();
    const totalMs = deadlineMs + (call.waitMs ?? 0);
    void clock.sleep(totalMs, finished.signal).then(() => {
      if (!finished.signal.aborted) aborter.abort();
    });
    try {
      const response = await this.#pool.request({
        method: call.method,
        path: call.path,
        headers: { "content-type": "application/json", ...call.headers },
        body: call.body ?? null,
        signal: aborter.signal,
      });
      const text = await response.body.text();
      return this.#readAnswer(call, { ...response, text });
    } catch (thrown) {
      const reason = aborter.signal.aborted
        ? `no answer within ${totalMs} ms`
        : formatThrown(thrown);
      return Left(
        this.#createFailure(call, { reason, isSent: isSent(thrown) }),
      );
    } finally {
      finished.abort();
    }
  }

  #readAnswer(
    call: PlatformCall,
    { statusCode, headers, text }: RawAnswer,
  ): Either<PlatformError, PlatformResponse> {
    if (statusCode === 429) {
      return Left(this.#createRateLimit(headers["retry-after-ms"]));
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
          : this.#createBadAnswer(reason),
      );
    }
  }

  #createRateLimit(header: string | string[] | undefined): PlatformError {
    const stated = Number(header);
    const retryAfterMs = Number.isFinite(stated) && stated > 0
      ? stated
      : (this.#options.longestPauseMs ?? defaultRateLimitPauseMs);
    this.#limitedUntil = this.#options.clock.now() + retryAfterMs;
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

  #createBadAnswer(reason: string): PlatformError {
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
    else this.#breaker.recordSuccess();
    if (isFailure === this.#isFailing) return;
    this.#isFailing = isFailure;
    if (isFailure) this.#log.warn(`${service} fails.`, { outcome });
    else this.#log.info(`${service} answers again.`);
  }
}

interface RawAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

function isWrite(call: PlatformCall): boolean {
  return call.method !== "GET";
}

const notSentCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether a request that failed may have reached the service. */
function isSent(thrown: unknown): boolean {
  const code = thrown instanceof Error && "code" in thrown ? thrown.code : "";
  return !notSentCodes.has(String(code));
}

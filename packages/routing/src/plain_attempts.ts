/**
 * Sends one call to endpoints of its service until one answers.
 *
 * An attempt that is known not to have run, or any attempt of an idempotent
 * call, may be followed by another on a different endpoint, within the call's
 * deadline and the retry budget. A call that is not idempotent and may have run
 * is never sent again.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type {
  EndpointError,
  RunState,
} from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  PlainAnswer,
  PlainEndpoint,
} from "@almondcrank/endpoint/plain_service.ts";
import type { PlainChoice } from "./plain_choice.ts";
import {
  createDeadlineRefusal,
  createFailedRefusal,
  createNoEndpointRefusal,
  createUnknownRefusal,
} from "./plain_refusals.ts";
import type { PlainRequest } from "./plain_router.ts";
import type { Refusal } from "./refusal.ts";
import type { RetryBudget } from "./retry_budget.ts";

const maxAttempts = 4;

/** Options of the attempts. */
export interface PlainAttemptsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly budget: RetryBudget;
  /** Client of a configured endpoint; called once an attempt. */
  readonly endpoints: (endpoint: Endpoint) => PlainEndpoint;
}

/** One call with what its attempts need. */
export interface PlainJob {
  readonly request: PlainRequest;
  readonly endpoints: readonly Endpoint[];
  readonly choice: PlainChoice;
  readonly signal: AbortSignal;
}

/** Sends calls. */
export class PlainAttempts {
  readonly #options: PlainAttemptsOptions;

  private constructor(options: PlainAttemptsOptions) {
    this.#options = options;
  }

  static create(options: PlainAttemptsOptions): PlainAttempts {
    return new PlainAttempts(options);
  }

  /** Sends a call; the refusal's run state covers all attempts. */
  async run(job: PlainJob): Promise<Either<Refusal, PlainAnswer>> {
    const { request } = job;
    const tried = new Set<string>();
    let run: RunState = "not_run";
    let last: EndpointError | undefined;
    while (tried.size < maxAttempts) {
      if (this.#readRemaining(request) <= 0) {
        return Left(createDeadlineRefusal(run));
      }
      const endpoint = job.choice.choose(job.endpoints, tried);
      if (endpoint === undefined) break;
      if (!this.#takeBudget(endpoint, last)) break;
      tried.add(endpoint.name);
      const result = await this.#send(job, endpoint);
      if (result.isRight()) return Right(result.extract());
      last = result.extract() as EndpointError;
      if (last.run !== "not_run") run = "unknown";
      if (run === "unknown" && !isIdempotent(request)) {
        return Left(createUnknownRefusal(last.message));
      }
      if (job.signal.aborted) break;
    }
    if (last === undefined) {
      return Left(createNoEndpointRefusal(request.service.name));
    }
    if (this.#readRemaining(request) <= 0) {
      return Left(createDeadlineRefusal(run));
    }
    return Left(createFailedRefusal(last, run));
  }

  #takeBudget(endpoint: Endpoint, last: EndpointError | undefined): boolean {
    const { budget } = this.#options;
    if (last === undefined) {
      budget.recordSend(endpoint.name);
      return true;
    }
    return last.kind !== "stale_fencing" &&
      budget.takeRetry(endpoint.name, last.kind);
  }

  async #send(
    job: PlainJob,
    endpoint: Endpoint,
  ): Promise<Either<EndpointError, PlainAnswer>> {
    const { request, signal } = job;
    const sent = job.choice.start(endpoint.name);
    const result = await this.#options.endpoints(endpoint).call({
      method: request.method,
      path: request.path,
      contentType: request.contentType,
      body: request.body,
      idempotencyKey: request.key,
      priority: request.team.priority,
      remainingMs: this.#readRemaining(request),
    }, signal);
    sent.end(
      result.isRight() ? "answered" : signal.aborted ? "cancelled" : "failed",
    );
    result.ifLeft((error) =>
      this.#options.metrics.count("plain_attempts_failed_total", {
        reason: error.kind,
        run: error.run,
      })
    );
    return result;
  }

  #readRemaining(request: PlainRequest): number {
    return request.deadline - this.#options.clock.now();
  }
}

/** Whether a request may be sent more than once. */
export function isIdempotent(request: PlainRequest): boolean {
  return request.service.idempotentMethods.includes(request.method);
}

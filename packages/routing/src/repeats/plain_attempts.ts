/**
 * Sends a call to endpoints of its service until one answers.
 *
 * A failed attempt is retried on a different endpoint if it is known not to have
 * run or the call is idempotent, within the call's deadline and the retry
 * budget. A call that is not idempotent and may have run is never sent again. An
 * idempotent call that takes longer than most is hedged: it is also sent to a
 * second endpoint within the same budget, the first answer that is no server error
 * counts, and the other attempt is cancelled.
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
import type { HedgeDelay } from "./hedge_delay.ts";
import type { PlainChooser } from "../choice/plain_chooser.ts";
import {
  createDeadlineRefusal,
  createEndpointFailedRefusal,
  createNoEndpointRefusal,
  createOutcomeUnknownRefusal,
  createQuarantinedRefusal,
} from "../admission/plain_refusals.ts";
import type { PlainRequest } from "../routers/plain_router.ts";
import type { Refusal } from "../admission/refusal.ts";
import type { CallCrashes } from "./call_crashes.ts";
import type { EndpointRetries } from "./endpoint_retries.ts";

const maxAttempts = 4;
const minServerErrorStatus = 500;
const tooManyRequestsStatus = 429;
const hedgeAbortReason = "another attempt was answered";

/** Dependencies of `PlainAttempts`. */
export interface PlainAttemptsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly budget: EndpointRetries;
  /** Returns the client of an endpoint; called once per attempt. */
  readonly endpoints: (endpoint: Endpoint) => PlainEndpoint;
}

/** A call and what its attempts need. */
export interface PlainJob {
  readonly request: PlainRequest;
  readonly endpoints: readonly Endpoint[];
  readonly chooser: PlainChooser;
  /** Delay before an idempotent call is hedged; undefined disables hedging. */
  readonly hedge: HedgeDelay | undefined;
  readonly crashes: CallCrashes;
  readonly signal: AbortSignal;
}

type EndpointResult = Either<EndpointError, PlainAnswer>;

/** Sends calls with retries and hedging. */
export class PlainAttempts {
  readonly #options: PlainAttemptsOptions;

  private constructor(options: PlainAttemptsOptions) {
    this.#options = options;
  }

  static create(options: PlainAttemptsOptions): PlainAttempts {
    return new PlainAttempts(options);
  }

  /** Sends a call; the run state of a refusal covers all attempts. */
  async run(job: PlainJob): Promise<Either<Refusal, PlainAnswer>> {
    const { request } = job;
    const verdict = job.crashes.check();
    switch (verdict.kind) {
      case "free":
        break;
      case "probe":
        this.#options.metrics.count("quarantine_probes_total");
        break;
      case "quarantined":
        return Left(createQuarantinedRefusal(verdict.retryAfterMs));
    }
    const tried = new Set<string>();
    let run: RunState = "not_run";
    let last: EndpointError | undefined;
    while (tried.size < maxAttempts) {
      if (this.#computeRemainingMs(request) <= 0) {
        return Left(createDeadlineRefusal(run));
      }
      const endpoint = job.chooser.choose(job.endpoints, tried);
      if (endpoint === undefined) break;
      if (!this.#takeBudget(endpoint, last)) break;
      tried.add(endpoint.name);
      const result = await this.#sendHedged(job, endpoint, tried);
      if (result.isRight()) return Right(result.extract());
      last = result.extract() as EndpointError;
      if (last.run !== "not_run") run = "unknown";
      if (run === "unknown" && !isIdempotent(request)) {
        return Left(createOutcomeUnknownRefusal(last.message));
      }
      if (job.signal.aborted || !job.crashes.mayRepeat()) break;
    }
    if (last === undefined) {
      return Left(createNoEndpointRefusal(request.service.name));
    }
    if (this.#computeRemainingMs(request) <= 0) {
      return Left(createDeadlineRefusal(run));
    }
    return Left(createEndpointFailedRefusal(last, run));
  }

  #takeBudget(endpoint: Endpoint, last: EndpointError | undefined): boolean {
    const { budget } = this.#options;
    if (last === undefined) {
      budget.recordSend(endpoint.name);
      return true;
    }
    // Only orders are withheld or refused for their fencing token.
    return last.kind !== "stale_fencing" && last.kind !== "withheld" &&
      budget.takeRetry(endpoint.name, last.kind);
  }

  /** Sends to `endpoint`, and to a second one after the hedge delay. */
  async #sendHedged(
    job: PlainJob,
    endpoint: Endpoint,
    tried: Set<string>,
  ): Promise<EndpointResult> {
    const { clock, budget } = this.#options;
    const delayMs = isIdempotent(job.request) ? job.hedge?.read() : undefined;
    if (
      delayMs === undefined || delayMs >= this.#computeRemainingMs(job.request)
    ) {
      return await this.#send(job, endpoint);
    }
    const stop = new AbortController();
    const signal = AbortSignal.any([job.signal, stop.signal]);
    const first = this.#send({ ...job, signal }, endpoint);
    const timer = new AbortController();
    const firstResult = await Promise.race([
      first,
      clock.sleep(delayMs, timer.signal),
    ]);
    timer.abort(hedgeAbortReason);
    if (firstResult !== undefined) return firstResult;
    const hedgeEndpoint = job.chooser.choose(job.endpoints, tried);
    const mayHedge = hedgeEndpoint !== undefined && job.crashes.mayRepeat() &&
      budget.takeRetry(hedgeEndpoint.name, "hedge");
    if (!mayHedge) return await first;
    tried.add(hedgeEndpoint.name);
    const second = this.#send({ ...job, signal }, hedgeEndpoint);
    const result = await waitFirstAnswer(first, second);
    stop.abort(hedgeAbortReason);
    return result;
  }

  async #send(job: PlainJob, endpoint: Endpoint): Promise<EndpointResult> {
    const { request, signal } = job;
    const startedAt = this.#options.clock.now();
    const sent = job.chooser.start(endpoint.name);
    const result = await this.#options.endpoints(endpoint).call({
      method: request.method,
      path: request.path,
      contentType: request.contentType,
      body: request.body,
      idempotencyKey: request.key,
      priority: request.team.priority,
      remainingMs: this.#computeRemainingMs(request),
    }, signal);
    if (result.isRight()) {
      job.hedge?.record(this.#options.clock.now() - startedAt);
      job.crashes.recordAnswer(startedAt);
    }
    sent.end(
      result.isRight() ? "answered" : signal.aborted ? "cancelled" : "failed",
    );
    result.ifLeft((error) => {
      if (!signal.aborted) job.crashes.recordFailure(error);
      this.#countFailure(error, signal);
    });
    return result;
  }

  #countFailure(error: EndpointError, signal: AbortSignal): void {
    const reason = signal.aborted ? "cancelled" : error.kind;
    const { run } = error;
    this.#options.metrics.count("plain_attempts_failed_total", { reason, run });
  }

  #computeRemainingMs(request: PlainRequest): number {
    return request.deadline - this.#options.clock.now();
  }
}

/** Whether a request may be sent more than once. */
export function isIdempotent(request: PlainRequest): boolean {
  return request.service.idempotentMethods.includes(request.method);
}

/**
 * Waits until one of two attempts is answered or both have ended. An answer that
 * says only that its endpoint failed counts if the other attempt has no better one.
 */
async function waitFirstAnswer(
  first: Promise<EndpointResult>,
  second: Promise<EndpointResult>,
): Promise<EndpointResult> {
  const earlier = await Promise.race([first, second]);
  if (isUsable(earlier)) return earlier;
  const results = await Promise.all([first, second]);
  return results.find(isUsable) ??
    results.find((result) => result.isRight()) ?? earlier;
}

/** Whether a result is an answer, and not one that another endpoint may better. */
function isUsable(result: EndpointResult): boolean {
  return result.map(({ status }) =>
    status < minServerErrorStatus && status !== tooManyRequestsStatus
  ).orDefault(false);
}

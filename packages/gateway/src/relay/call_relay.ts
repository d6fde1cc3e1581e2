/**
 * Relays requests whose answer is handed on whole.
 *
 * An answer is read to its end before the caller gets its head, so one that
 * breaks off can still be replaced. Only a request that surely did not run, or
 * that may run twice, is sent once more.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { signatureHeader } from "@almondcrank/platform/headers.ts";
import { chooseCallReplica } from "../choice/call_choice.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { RetryReason } from "../limits/retry_budget.ts";
import {
  composeFailureReply,
  type FailureReason,
  sendLocalReply,
} from "./local_reply.ts";
import {
  type BufferedResponse,
  sendBufferedResponse,
} from "./buffered_response.ts";
import type { RelayResult, RelayServices } from "./relay_services.ts";
import { readResponseBody, type SendOutcome } from "./replica_request.ts";
import { computeTimerMs } from "./timer_ms.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Part of the objective after which a silent replica is given up. */
const silenceFactor = 2.5;
const minSilenceMs = 200;
/** Connections that fail at once do not count as sends, up to this many. */
const maxUnsent = 4;
const declinedRetryMs = 150;
const serverErrorWeight = 0.4;

/** Outcome of one send. */
type SendResult =
  | BufferedResponse & { readonly kind: "whole" }
  | { readonly kind: "not_sent" | "declined" | "lost" | "silent" };

/** Relays one request. */
export class CallRelay {
  readonly #services: RelayServices;
  readonly #request: RoutedRequest;
  readonly #response: ServerResponse;
  readonly #tried = new Set<string>();
  #sends = 0;
  #unsent = 0;
  #mayHaveRun = false;
  /** A replica's own failure, for the case that no repeat does better. */
  #failure: BufferedResponse | undefined;

  private constructor(
    services: RelayServices,
    request: RoutedRequest,
    response: ServerResponse,
  ) {
    this.#services = services;
    this.#request = request;
    this.#response = response;
  }

  static create(
    services: RelayServices,
    request: RoutedRequest,
    response: ServerResponse,
  ): CallRelay {
    return new CallRelay(services, request, response);
  }

  /** Relays the request until it has its final answer. */
  async run(): Promise<RelayResult> {
    const { clock, budget } = this.#services;
    const { route, service, deadline: endsAt, callerSignal: callerGone } =
      this.#request;
    while (true) {
      const state = this.#choose();
      if (state === undefined) return this.#refuse("no_replica");
      const result = await this.#send(state);
      if (callerGone.aborted) return this.#end(0, "caller_gone");
      if (result.kind === "whole") {
        if (!this.#isRepeatable(result)) return this.#deliver(result);
        this.#failure = result;
      }
      const now = clock.now();
      if (now >= endsAt) return this.#refuse("out_of_time");
      const hasSends = this.#sends < route.maxAttempts &&
        this.#unsent < maxUnsent;
      const mayRepeat = !this.#mayHaveRun || route.kind === "safe";
      const isRepeated = hasSends && mayRepeat &&
        (result.kind === "not_sent" || budget.take(service.name, now));
      if (isRepeated) {
        this.#countRepeat(result.kind === "whole" ? "failed" : result.kind);
        continue;
      }
      return this.#refuse(this.#mayHaveRun ? "answer_lost" : "declined");
    }
  }

  #choose(): ReplicaState | undefined {
    const { table, clock, zone, random } = this.#services;
    const states = table.listUsable(this.#request.service.name);
    const request = { zone, now: clock.now(), draw: random.next() };
    const choice = chooseCallReplica(states, {
      ...request,
      excluded: this.#tried,
    });
    if (choice === undefined) return undefined;
    const { state, predictedMs } = choice;
    this.#request.trace.record("replica chosen.", {
      replica: state.replica.id,
      predictedMs: Math.round(predictedMs),
      active: state.totalLoad.active,
      usable: states.length,
    });
    return state;
  }

  async #send(state: ReplicaState): Promise<SendResult> {
    const { sender, clock } = this.#services;
    const { route, deadline: endsAt, callerSignal: callerGone } = this.#request;
    const aborter = new AbortController();
    const abort = (): void => aborter.abort();
    // A request that may not run twice is left to finish.
    if (route.kind === "safe") callerGone.addEventListener("abort", abort);
    const startedAt = clock.now();
    const silenceMs = this.#computeSilenceMs(startedAt);
    const timer = setTimeout(abort, silenceMs);
    const sending = sender.send(this.#request, state, {
      signal: aborter.signal,
      uncachedTokens: 0,
    });
    this.#tried.add(state.key);
    try {
      const outcome = await sending.outcome;
      const result = await this.#readResult(state, outcome);
      this.#request.trace.record("send ended.", {
        replica: state.replica.id,
        outcome: result.kind,
        reason: "reason" in outcome ? outcome.reason : undefined,
        status: result.kind === "whole" ? result.answer.statusCode : undefined,
      });
      const isSilent = result.kind === "lost" && aborter.signal.aborted &&
        !callerGone.aborted;
      if (isSilent) state.failures.record(true, clock.now());
      if (result.kind === "whole") {
        state.recordServiceTime(clock.now() - startedAt);
      }
      if (isSilent && clock.now() < endsAt) return { kind: "silent" };
      return result;
    } finally {
      clearTimeout(timer);
      callerGone.removeEventListener("abort", abort);
      sending.end();
    }
  }

  /** Time after which this send is given up. */
  #computeSilenceMs(now: number): number {
    const { route, deadline: endsAt } = this.#request;
    const remainingMs = computeTimerMs(endsAt - now);
    const mayRepeat = route.kind === "safe" &&
      this.#sends + 1 < route.maxAttempts;
    if (!mayRepeat) return remainingMs;
    const silenceMs = Math.max(minSilenceMs, route.objectiveMs * silenceFactor);
    return Math.min(remainingMs, silenceMs);
  }

  async #readResult(
    state: ReplicaState,
    outcome: SendOutcome,
  ): Promise<SendResult> {
    switch (outcome.kind) {
      case "not_sent":
        this.#unsent += 1;
        return { kind: "not_sent" };
      case "declined":
        this.#sends += 1;
        return { kind: "declined" };
      case "lost":
        this.#sends += 1;
        this.#mayHaveRun = true;
        return { kind: "lost" };
      case "answered":
        this.#sends += 1;
        this.#mayHaveRun = true;
        return await this.#readAnswer(state, outcome.answer);
    }
  }

  async #readAnswer(
    state: ReplicaState,
    answer: IncomingMessage,
  ): Promise<SendResult> {
    const { clock, runs } = this.#services;
    runs.recordRun(this.#request.tenant?.name);
    const body = await readResponseBody(answer);
    const isSigned = answer.headers[signatureHeader] !== undefined;
    const isWhole = body !== undefined && isSigned;
    const isServerError = (answer.statusCode ?? 0) >= 500;
    const now = clock.now();
    if (!isWhole) state.failures.record(true, now);
    else state.failures.record(isServerError, now, serverErrorWeight);
    return isWhole ? { kind: "whole", answer, body } : { kind: "lost" };
  }

  /** Whether a whole answer is a failure that another replica may avoid. */
  #isRepeatable({ answer }: BufferedResponse): boolean {
    return this.#request.route.kind === "safe" &&
      (answer.statusCode ?? 0) >= 500;
  }

  #countRepeat(reason: RetryReason): void {
    this.#services.metrics.count("repeats_total", { reason });
    this.#request.trace.record("request repeated.", { reason });
  }

  #deliver(whole: BufferedResponse): RelayResult {
    return this.#end(sendBufferedResponse(this.#response, whole), "answered");
  }

  #refuse(reason: FailureReason): RelayResult {
    if (this.#failure !== undefined) return this.#deliver(this.#failure);
    const answer = composeFailureReply(reason, {
      mayHaveRun: this.#mayHaveRun,
      retryAfterMs: declinedRetryMs * (0.5 + this.#services.random.next()),
    });
    sendLocalReply(this.#response, answer);
    return this.#end(answer.status, answer.reason);
  }

  #end(status: number, reason: string): RelayResult {
    return {
      status,
      reason,
      sends: this.#sends,
      mayHaveRun: this.#mayHaveRun,
    };
  }
}

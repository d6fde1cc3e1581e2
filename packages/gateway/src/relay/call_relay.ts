/**
 * Relays requests whose response is buffered before it is forwarded.
 *
 * A response is read to its end before its headers go to the caller, so a
 * truncated one can still be replaced by a retry. A request is retried only if
 * it certainly did not run or its route is safe to run twice.
 */

import type { ServerResponse } from "node:http";
import type { BodyShare } from "@almondcrank/common/body_budget.ts";
import { type CallChoice, chooseCallReplica } from "../choice/call_choice.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { RetryReason } from "./retry_reason.ts";
import {
  composeFailureReply,
  type FailureReason,
  sendLocalReply,
} from "./local_reply.ts";
import {
  type BufferedResponse,
  sendBufferedResponse,
} from "./buffered_response.ts";
import { CrashRecorder } from "./crash_recorder.ts";
import type { RelayResult, RelayServices } from "./relay_services.ts";
import { type CallSend, openCallSend, type SendResult } from "./call_send.ts";
import { computeTimerMs } from "./timer_ms.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Timeout of one attempt, as a multiple of the route's objective. */
const attemptTimeoutFactor = 2.5;
const minAttemptTimeoutMs = 200;
/** Failed connection attempts allowed; they do not count as sends. */
const maxConnectFailures = 4;
const declinedRetryMs = 150;

/** Relays one request, with retries. */
export class CallRelay {
  readonly #services: RelayServices;
  readonly #request: RoutedRequest;
  readonly #callerResponse: ServerResponse;
  readonly #crashes: CrashRecorder;
  readonly #tried = new Set<string>();
  #sends = 0;
  #connectFailures = 0;
  #mayHaveRun = false;
  /** Memory of responses that were read and not delivered. */
  readonly #shares = new Set<BodyShare>();
  #hasEnded = false;
  /** Last 5xx response of a replica, delivered if no retry succeeds. */
  #failure: BufferedResponse | undefined;

  private constructor(
    services: RelayServices,
    request: RoutedRequest,
    callerResponse: ServerResponse,
  ) {
    this.#services = services;
    this.#request = request;
    this.#callerResponse = callerResponse;
    this.#crashes = CrashRecorder.create(services, request);
  }

  static create(
    services: RelayServices,
    request: RoutedRequest,
    callerResponse: ServerResponse,
  ): CallRelay {
    return new CallRelay(services, request, callerResponse);
  }

  /** Relays the request until the caller has its final response. */
  async run(): Promise<RelayResult> {
    try {
      return await this.#runSends();
    } finally {
      this.#hasEnded = true;
      for (const share of this.#shares) share.release();
    }
  }

  async #runSends(): Promise<RelayResult> {
    const { clock, budget } = this.#services;
    const { route, service, deadline, callerSignal } = this.#request;
    while (true) {
      const state = this.#chooseReplica();
      if (state === undefined) {
        return await this.#endShort(this.#findShortage());
      }
      const result = await this.#send(state);
      if (callerSignal.aborted) return this.#end(0, "caller_gone");
      if (result.kind === "whole" && !this.#isRetryable(result)) {
        return this.#deliver(result);
      }
      this.#keepFailure(result);
      const now = clock.now();
      if (now >= deadline) return this.#refuse("out_of_time");
      if (result.kind === "not_sent" && this.#isCutOff()) {
        return await this.#endShort("declined");
      }
      const hasSendsLeft = this.#sends < route.maxAttempts &&
        this.#connectFailures < maxConnectFailures;
      const mayRetry = !this.#mayHaveRun || route.kind === "safe";
      const isRetried = hasSendsLeft && mayRetry && this.#crashes.mayRepeat() &&
        (result.kind === "not_sent" || budget.take(service.name, now));
      if (isRetried) {
        this.#countRetry(result.kind === "whole" ? "failed" : result.kind);
        continue;
      }
      return await this.#endShort(
        this.#mayHaveRun ? "answer_lost" : "declined",
      );
    }
  }

  #isCutOff(): boolean {
    const { reach, clock } = this.#services;
    return reach.isCut(this.#request.service.name, clock.now());
  }

  /** Hands the request to a peer if this node reaches no replica, or refuses it. */
  async #endShort(reason: FailureReason): Promise<RelayResult> {
    const { handOver } = this.#services;
    const mayRunElsewhere = !this.#mayHaveRun &&
      handOver.mayFollow(this.#request, this.#connectFailures);
    const handed = mayRunElsewhere && this.#failure === undefined
      ? await handOver.run(this.#request, this.#callerResponse)
      : undefined;
    return handed ?? this.#refuse(reason);
  }

  #chooseReplica(): ReplicaState | undefined {
    const { table, clock, zone, random, gate, sender } = this.#services;
    const { name } = this.#request.service;
    const states = table.listUsable(name);
    const request = { zone, now: clock.now(), draw: random.next() };
    let choice: CallChoice | undefined;
    for (
      const allowed of gate.listAllowed(name, states, {
        draw: this.#request.versionDraw,
      })
    ) {
      choice ??= chooseCallReplica(allowed, {
        ...request,
        excluded: this.#tried,
        hasIdleConnection: (state) => sender.hasIdleConnection(state),
      });
    }
    if (choice === undefined) return undefined;
    const { state, predictedMs } = choice;
    const stated = state.speed.readStated(clock.now());
    this.#request.trace.record("replica chosen.", {
      replica: state.replica.id,
      predictedMs: Math.round(predictedMs),
      active: state.totalLoad.active,
      statedSlowness: stated?.slowness,
      statementAgeMs: stated === undefined
        ? undefined
        : Math.round(stated.ageMs),
      usable: states.length,
      copyAgeMs: table.computeAgeMs(clock.now()),
    });
    return state;
  }

  /** Finds why no replica can be chosen. */
  #findShortage(): FailureReason {
    const { table, clock } = this.#services;
    const { name } = this.#request.service;
    return table.isAtLimits(name, clock.now())
      ? "replica_limits"
      : "no_replica";
  }

  /**
   * Sends the request to a replica. If the replica is silent, it is given up only
   * once another one has answered: it may go on, and the other may be full.
   */
  async #send(state: ReplicaState): Promise<SendResult> {
    const remainingMs = this.#request.deadline - this.#services.clock.now();
    const first = this.#open(state);
    let standby: CallSend | undefined;
    let watch: NodeJS.Timeout | undefined;
    const standbyAnswer = new Promise<SendResult>((resolve) => {
      watch = setInterval(() => {
        if (standby !== undefined) return;
        standby = this.#openStandby();
        void standby?.result.then((result) => {
          if (this.#isAnswer(result)) return resolve(result);
          this.#keepFailure(result);
          standby = undefined;
        });
      }, computeTimerMs(Math.min(remainingMs, this.#attemptTimeoutMs)));
    });
    try {
      const result = await Promise.race([first.result, standbyAnswer]);
      const other = standby;
      if (other === undefined || this.#isAnswer(result)) return result;
      this.#keepFailure(result);
      return await other.result;
    } finally {
      clearInterval(watch);
      first.cancel("silent");
      standby?.cancel("not_needed");
    }
  }

  #open(state: ReplicaState): CallSend {
    this.#tried.add(state.key);
    const send = openCallSend({
      services: this.#services,
      request: this.#request,
      crashes: this.#crashes,
      state,
    });
    void send.result.then((result) => {
      this.#countSend(result.kind);
      if (result.kind === "whole") this.#keepShare(result.share);
    });
    return send;
  }

  /** Keeps the memory of a response until the request ends. */
  #keepShare(share: BodyShare): void {
    if (this.#hasEnded) share.release();
    else this.#shares.add(share);
  }

  #countSend(kind: SendResult["kind"]): void {
    switch (kind) {
      case "not_sent":
        this.#connectFailures += 1;
        return;
      case "declined":
        this.#sends += 1;
        return;
      case "lost":
      case "whole":
        this.#sends += 1;
        this.#mayHaveRun = true;
        return;
    }
  }

  /** Time after which a send may be given up for another one, in milliseconds. */
  get #attemptTimeoutMs(): number {
    return Math.max(
      minAttemptTimeoutMs,
      this.#request.route.objectiveMs * attemptTimeoutFactor,
    );
  }

  /** Sends the request to a second replica, if one is left and a retry may be. */
  #openStandby(): CallSend | undefined {
    const { budget, clock } = this.#services;
    const { route, service, callerSignal, deadline } = this.#request;
    const mayRetry = route.kind === "safe" && !callerSignal.aborted &&
      clock.now() < deadline && this.#sends + 1 < route.maxAttempts &&
      this.#crashes.mayRepeat();
    if (!mayRetry) return undefined;
    const state = this.#chooseReplica();
    if (state === undefined) return undefined;
    if (!budget.take(service.name, clock.now())) return undefined;
    this.#countRetry("silent");
    return this.#open(state);
  }

  /** Keeps a replica's failure for the case that no retry succeeds. */
  #keepFailure(result: SendResult): void {
    if (result.kind === "whole") this.#failure = result;
  }

  /** Whether the request needs no further replica. */
  #isAnswer(result: SendResult): boolean {
    return result.kind === "whole" && !this.#isRetryable(result);
  }

  /** Whether a response is a server error that may be retried elsewhere. */
  #isRetryable({ response }: BufferedResponse): boolean {
    return this.#request.route.kind === "safe" &&
      (response.statusCode ?? 0) >= 500;
  }

  #countRetry(reason: RetryReason): void {
    this.#services.metrics.count("repeats_total", { reason });
    this.#request.trace.record("request retried.", { reason });
  }

  #deliver(whole: BufferedResponse): RelayResult {
    this.#shares.delete(whole.share);
    return this.#end(
      sendBufferedResponse(this.#callerResponse, whole),
      "answered",
    );
  }

  /**
   * Refuses the request at once; if all replicas asked for a pause, with the time
   * until the first one takes requests again.
   */
  #refuse(reason: FailureReason): RelayResult {
    if (this.#failure !== undefined) return this.#deliver(this.#failure);
    const { table, clock, random } = this.#services;
    const { name } = this.#request.service;
    const resumeMs = table.computeResumeMs(name, clock.now());
    const reply = composeFailureReply(reason, {
      mayHaveRun: this.#mayHaveRun,
      retryAfterMs: resumeMs + declinedRetryMs * (0.5 + random.next()),
    });
    sendLocalReply(this.#callerResponse, reply);
    return this.#end(reply.status, reply.reason);
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

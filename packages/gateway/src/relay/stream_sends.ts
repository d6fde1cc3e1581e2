/**
 * Chooses replicas for one stream and sends it to them, and records which of them
 * were tried and what became of each send.
 */

import type { EngineChoice } from "../choice/engine_choice.ts";
import type { RelayServices } from "./relay_services.ts";
import type { SendOutcome } from "./replica_request.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { StreamAttempts } from "./stream_attempts.ts";
import {
  chooseStreamReplica,
  recordStreamChoice,
  type StreamProgress,
} from "./stream_choice.ts";
import type { StreamRecorder } from "./stream_recorder.ts";
import type { MoveTarget } from "./stream_registry.ts";
import type { StreamSend } from "./stream_segment.ts";

/** What the sends of one stream have in common. */
export interface StreamSendsOptions {
  readonly services: RelayServices;
  readonly request: RoutedRequest;
  readonly attempts: StreamAttempts;
  readonly recorder: StreamRecorder;
}

/** Where a send begins. */
export interface SendStart {
  /** Id of the last event that the caller has received. */
  readonly after: number | undefined;
  /** Destination of a moved run; undefined for a run that begins. */
  readonly target?: MoveTarget | undefined;
}

/** Sends of one stream. */
export class StreamSends {
  readonly #options: StreamSendsOptions;
  readonly #tried = new Set<string>();

  private constructor(options: StreamSendsOptions) {
    this.#options = options;
  }

  static create(options: StreamSendsOptions): StreamSends {
    return new StreamSends(options);
  }

  /** Chooses the replica of the next send; `undefined` if none is left. */
  choose(
    progress: Omit<StreamProgress, "tried">,
  ): EngineChoice | undefined {
    const { services, request } = this.#options;
    const tried = this.#tried;
    return chooseStreamReplica(services, request, { ...progress, tried });
  }

  /** Sends the stream to a replica. */
  open(choice: EngineChoice, { after, target }: SendStart): StreamSend {
    const { services, request, attempts, recorder } = this.#options;
    const { sender, clock, prefixes, table } = services;
    const { state, uncachedTokens } = choice;
    const aborter = new AbortController();
    const isMoved = target !== undefined;
    const sentAt = clock.now();
    recordStreamChoice(request, choice, {
      after,
      now: sentAt,
      copyAgeMs: table.computeAgeMs(sentAt),
    });
    this.#tried.add(state.key);
    prefixes.record(request.promptParts, state.key, sentAt);
    const pendingSend = sender.send(request, state, {
      signal: aborter.signal,
      uncachedTokens,
      ...(after === undefined ? {} : { resumeAfter: after }),
      ...(target === undefined ? {} : { movedRun: target.movedRun }),
    });
    recorder.recordPrompt(uncachedTokens, state);
    if (!isMoved) attempts.recordSend();
    const send = { choice, pendingSend, aborter, sentAt, isMoved };
    void pendingSend.outcome.then((outcome) =>
      this.#recordOutcome(outcome, send)
    );
    return send;
  }

  #recordOutcome(outcome: SendOutcome, send: StreamSend): void {
    const { attempts, recorder } = this.#options;
    const { choice, isMoved } = send;
    const { state } = choice;
    recorder.recordSend(send, outcome);
    switch (outcome.kind) {
      case "not_sent":
        if (!isMoved) attempts.recordConnectFailure();
        return;
      case "declined":
        if (isMoved) this.#tried.delete(state.key);
        else attempts.recordDecline();
        return;
      case "lost":
      case "answered":
        if (isMoved) attempts.recordMovedRun();
        else attempts.recordRun();
        return;
    }
  }
}

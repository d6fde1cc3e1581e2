/**
 * Sends the attempts of one stream and records what they show: load, speed and
 * cache of their replicas, and the tokens spent on the stream.
 */

import { computeBlockHashes } from "@almondcrank/endpoint/tokens.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import { computeContext, type RoutedStream } from "./routed_stream.ts";
import {
  type AttemptObserver,
  type AttemptOutcome,
  StreamAttempt,
} from "./stream_attempt.ts";
import type { StreamCrashes } from "./stream_crashes.ts";
import type { StreamRunServices } from "./stream_run_services.ts";

/** An attempt that was sent to the replica of `choice`. */
export interface SentAttempt {
  readonly attempt: StreamAttempt;
  readonly choice: ReplicaChoice;
  /** Resolves once the attempt has settled and its end was recorded. */
  readonly ended: Promise<AttemptOutcome>;
}

/** An attempt, and how it ended. */
export interface EndedAttempt {
  readonly sent: SentAttempt;
  readonly outcome: AttemptOutcome;
}

/** Dependencies of `AttemptSender`. */
export interface AttemptSenderOptions {
  readonly stream: RoutedStream;
  readonly services: StreamRunServices;
  readonly crashes: StreamCrashes;
}

/** Options of one send. */
export interface SendOptions {
  /** Cache that the replica has imported for this attempt. */
  readonly importId: string | undefined;
  /** Called before the attempt adds a token or ends the answer. */
  readonly onProgress: (attempt: StreamAttempt) => void;
}

/** Computes the chain of block hashes of a stream's prompt and output so far. */
export function computeChain(
  stream: RoutedStream,
  { hasher }: Pick<StreamRunServices, "hasher">,
): readonly number[] {
  const { promptTokens, chain, output, request } = stream;
  if (output.tokens.length === 0) return chain;
  const context = computeContext(request.prompt, promptTokens, output.tokens);
  return computeBlockHashes(hasher, context);
}

/** Sends the attempts of one stream. */
export class AttemptSender {
  readonly #stream: RoutedStream;
  readonly #services: StreamRunServices;
  readonly #crashes: StreamCrashes;

  private constructor(options: AttemptSenderOptions) {
    this.#stream = options.stream;
    this.#services = options.services;
    this.#crashes = options.crashes;
  }

  static create(options: AttemptSenderOptions): AttemptSender {
    return new AttemptSender(options);
  }

  send(choice: ReplicaChoice, options: SendOptions): SentAttempt {
    const { loads, prefixes, retries } = this.#services;
    const { inputTokens, usage, output } = this.#stream;
    const { name } = choice.endpoint;
    retries.recordSend(name);
    loads.recordSend(name, Math.max(0, inputTokens - choice.cachedTokens));
    prefixes.recordSend(computeChain(this.#stream, this.#services), name);
    const input = {
      tokensBefore: output.tokens.length,
      seenTokens: choice.seenTokens,
      wasComputed: usage.recordSend(),
    };
    const attempt = this.#start(choice, options);
    const ended = attempt.outcome.then((outcome) => {
      loads.recordEnd(name);
      if (outcome.kind === "ended") usage.recordUsage(outcome.usage, input);
      return outcome;
    });
    return { attempt, choice, ended };
  }

  #start(
    choice: ReplicaChoice,
    { importId, onProgress }: SendOptions,
  ): StreamAttempt {
    const { engines, clock } = this.#services;
    const { request, id, output, usage } = this.#stream;
    return StreamAttempt.start({
      onProgress,
      engine: engines(choice.endpoint),
      output,
      clock,
      observer: this.#createObserver(choice),
      request: {
        id: `${id}.${usage.attempts}`,
        model: request.service.model,
        ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
        prompt: request.prompt,
        tokensSoFar: [...output.tokens],
        maxTokens: request.maxTokens,
        priority: request.team.priority,
        remainingMs: Math.max(0, request.deadline - clock.now()),
        ...(importId === undefined ? {} : { importId }),
      },
    });
  }

  #createObserver({ endpoint, firstTokenMs }: ReplicaChoice): AttemptObserver {
    const { loads, metrics } = this.#services;
    const { usage } = this.#stream;
    const { name } = endpoint;
    const evidence = this.#crashes.createEvidence(name);
    return {
      recordItem: (item) => evidence.recordItem(item),
      recordFirstToken: (waitMs) => {
        usage.recordFirstToken();
        loads.recordFirstToken(name, waitMs - firstTokenMs);
        metrics.recordDuration("engine_first_token_seconds", waitMs);
      },
      recordTokenGap: (gapMs) => loads.recordTokenGap(name, gapMs),
    };
  }
}

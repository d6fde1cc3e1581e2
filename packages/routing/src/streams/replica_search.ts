/**
 * Search for the next replica of one stream.
 *
 * Replicas that failed the stream are tried again only when no other one can take
 * it, and after a backoff, which doubles until the stream goes on.
 */

import type { ReplicaChoice } from "../choice/replica_chooser.ts";
import { computeChain } from "./attempt_sender.ts";
import type { RoutedStream } from "./routed_stream.ts";
import { computeBackoffMs } from "./stream_limits.ts";
import type { StreamRunServices } from "./stream_run_services.ts";

/** Chooses the replicas of one stream. */
export class ReplicaSearch {
  readonly #stream: RoutedStream;
  readonly #services: StreamRunServices;
  readonly #failed = new Set<string>();
  #backoffs = 0;
  /** Tokens of the stream at its last search. */
  #tokens = 0;

  private constructor(stream: RoutedStream, services: StreamRunServices) {
    this.#stream = stream;
    this.#services = services;
  }

  static create(
    stream: RoutedStream,
    services: StreamRunServices,
  ): ReplicaSearch {
    return new ReplicaSearch(stream, services);
  }

  /** Records that an endpoint failed the stream. */
  recordFailure(endpoint: string): void {
    this.#failed.add(endpoint);
  }

  /** @param excluded Endpoints that are not to be chosen at all. */
  choose(excluded: readonly string[] = []): ReplicaChoice | undefined {
    const choice = this.chooseUntried(excluded);
    if (choice !== undefined || this.#failed.size === 0) return choice;
    return this.#choose(new Set(excluded));
  }

  /** Chooses among the replicas that have not failed the stream. */
  chooseUntried(excluded: readonly string[]): ReplicaChoice | undefined {
    return this.#choose(new Set([...this.#failed, ...excluded]));
  }

  /**
   * Chooses a replica, with backoff while none can take work. A stream without a
   * token gives up after `maxBackoffs`, since its caller can send the request
   * again; one that has begun waits until its deadline.
   *
   * @param mayRepeat Whether the stream may be sent at all; the search ends if not.
   */
  async wait(
    signal: AbortSignal,
    mayRepeat: () => boolean,
  ): Promise<ReplicaChoice | undefined> {
    const { clock, limits, metrics } = this.#services;
    const { request, output } = this.#stream;
    this.#resetBackoff();
    for (let waits = 0; mayRepeat(); waits++) {
      const choice = waits === 0 ? this.chooseUntried([]) : this.choose();
      if (choice !== undefined) return choice;
      const hasBegun = output.tokens.length > 0;
      if (waits >= limits.maxBackoffs && !hasBegun) return undefined;
      const backoffs = this.#backoffs++;
      const backoffMs = computeBackoffMs(limits, { backoffs, hasBegun });
      const leftMs = request.deadline - clock.now();
      if (leftMs <= 0 || (backoffMs >= leftMs && !hasBegun)) return undefined;
      metrics.count("stream_pauses_total", { reason: "no_endpoint" });
      await clock.sleep(Math.min(backoffMs, leftMs), signal);
      if (signal.aborted || output.final !== undefined) return undefined;
    }
    return undefined;
  }

  /** Starts with the first backoff again once the stream has gone on. */
  #resetBackoff(): void {
    const tokens = this.#stream.output.tokens.length;
    if (tokens > this.#tokens) this.#backoffs = 0;
    this.#tokens = tokens;
  }

  #choose(excluded: ReadonlySet<string>): ReplicaChoice | undefined {
    const { request, output, conversationPrefix, inputTokens } = this.#stream;
    return this.#services.chooser.choose({
      service: request.service.name,
      chain: computeChain(this.#stream, this.#services),
      conversationPrefix,
      inputTokens,
      outputTokens: request.maxTokens - output.tokens.length,
      betweenTokensMs: request.service.target.betweenTokensMs,
      excluded,
    });
  }
}

/**
 * Runs a request mix against a target.
 *
 * Each arrival starts a conversation or a call at its time, independent of the
 * earlier ones. Later turns of a conversation follow the answer to the turn
 * before. Runs with the same seed have the same arrivals.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type {
  ChatMessage,
  LoadClient,
  RequestResult,
  SendOptions,
} from "./load_client.ts";
import { computeArrivals, type Phase } from "./arrivals.ts";
import {
  type RequestMix,
  RequestSampler,
  type SampledCall,
  type SampledConversation,
} from "./request_mix.ts";

/** A set of nodes that is measured together. */
export interface LoadTarget {
  readonly name: string;
  /** Callers' addresses; arrivals are distributed over them at random. */
  readonly nodes: readonly string[];
}

/** Options of one run. */
export interface LoadRunOptions {
  readonly target: LoadTarget;
  readonly mix: RequestMix;
  readonly phases: readonly Phase[];
  /** Seed of arrivals and requests; equal for targets that are compared. */
  readonly seed: number;
  readonly client: LoadClient;
  readonly clock: Clock;
  /** Called with the number of results so far. */
  readonly onProgress?: (results: number) => void;
}

/** Runs the load; resolves when every request has ended. */
export async function runLoad(
  options: LoadRunOptions,
): Promise<readonly RequestResult[]> {
  return await LoadRun.create(options).run();
}

class LoadRun {
  readonly #options: LoadRunOptions;
  readonly #results: RequestResult[] = [];
  readonly #random: Random;
  #startedAt = 0;

  private constructor(options: LoadRunOptions) {
    this.#options = options;
    this.#random = Random.create(options.seed);
  }

  static create(options: LoadRunOptions): LoadRun {
    return new LoadRun(options);
  }

  async run(): Promise<readonly RequestResult[]> {
    const { clock, phases, mix, seed } = this.#options;
    const arrivals = computeArrivals(phases, this.#random);
    const sampler = RequestSampler.create(mix, this.#random, `s${seed}`);
    this.#startedAt = clock.now();
    const running: Promise<void>[] = [];
    for (const arrival of arrivals) {
      const dueAt = this.#startedAt + arrival;
      const wait = dueAt - clock.now();
      if (wait > 0) await clock.sleep(wait);
      const node = this.#random.choose(this.#options.target.nodes);
      const sendOptions = { node, dueAt, runStartedAt: this.#startedAt };
      const sampled = sampler.chooseRequest();
      running.push(
        sampled.kind === "call"
          ? this.#runCall(sampled, sendOptions)
          : this.#runConversation(sampled, sendOptions),
      );
    }
    await Promise.all(running);
    return this.#results;
  }

  async #runConversation(
    conversation: SampledConversation,
    firstSend: SendOptions,
  ): Promise<void> {
    const { client, clock } = this.#options;
    const messages: ChatMessage[] = [
      { role: "system", content: conversation.system },
    ];
    let sendOptions = firstSend;
    for (const turn of conversation.turns) {
      messages.push({ role: "user", content: turn });
      const result = await client.sendTurn(
        { ...conversation, messages },
        sendOptions,
      );
      this.#record(result);
      if (result.outcome !== "answered") return;
      messages.push({ role: "assistant", content: result.text });
      // A load balancer may send a later turn to any node.
      const node = this.#random.choose(this.#options.target.nodes);
      sendOptions = { ...firstSend, node, dueAt: clock.now() };
    }
  }

  async #runCall(call: SampledCall, sendOptions: SendOptions): Promise<void> {
    const key = await this.#findKey(call, sendOptions);
    this.#record(await this.#options.client.sendCall(call, sendOptions, key));
  }

  async #findKey(
    call: SampledCall,
    sendOptions: SendOptions,
  ): Promise<string | undefined> {
    switch (call.idempotencyKey) {
      case "issued":
        return await this.#options.client.issueKey(sendOptions.node, call.key)
          .catch(() => undefined);
      case "own":
        return `own-${this.#options.seed}-${sendOptions.dueAt}`;
      case undefined:
        return undefined;
    }
  }

  #record(result: RequestResult): void {
    this.#results.push(result);
    this.#options.onProgress?.(this.#results.length);
  }
}

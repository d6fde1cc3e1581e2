/**
 * Runs a mix against one or more targets with the same arrivals.
 *
 * Each arrival starts a conversation or a call at its time, whatever became of
 * the earlier ones. Later turns of a conversation follow the answer before them.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type {
  ChatMessage,
  LoadClient,
  RequestResult,
  Sending,
} from "./load_client.ts";
import { computeArrivals, type Phase } from "./arrivals.ts";
import {
  type DrawnCall,
  type DrawnConversation,
  MixDrawer,
  type RequestMix,
} from "./request_mix.ts";

/** A set of nodes that is measured as one. */
export interface LoadTarget {
  readonly name: string;
  /** Callers' addresses; arrivals are spread over them. */
  readonly nodes: readonly string[];
}

/** One run. */
export interface LoadRunOptions {
  readonly target: LoadTarget;
  readonly mix: RequestMix;
  readonly phases: readonly Phase[];
  /** Draws arrivals and requests; the same for all targets of a comparison. */
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
    const drawer = MixDrawer.create(mix, this.#random, `s${seed}`);
    this.#startedAt = clock.now();
    const running: Promise<void>[] = [];
    for (const arrival of arrivals) {
      const dueAt = this.#startedAt + arrival;
      const wait = dueAt - clock.now();
      if (wait > 0) await clock.sleep(wait);
      const node = this.#random.choose(this.#options.target.nodes);
      const sending = { node, dueAt, startedAt: this.#startedAt };
      const drawn = drawer.draw();
      running.push(
        drawn.kind === "call"
          ? this.#runCall(drawn, sending)
          : this.#runConversation(drawn, sending),
      );
    }
    await Promise.all(running);
    return this.#results;
  }

  async #runConversation(
    conversation: DrawnConversation,
    first: Sending,
  ): Promise<void> {
    const { client, clock } = this.#options;
    const messages: ChatMessage[] = [
      { role: "system", content: conversation.system },
    ];
    let sending = first;
    for (const turn of conversation.turns) {
      messages.push({ role: "user", content: turn });
      const result = await client.sendTurn(
        { ...conversation, messages },
        sending,
      );
      this.#record(result);
      if (result.outcome !== "answered") return;
      messages.push({ role: "assistant", content: result.text });
      // A later turn may enter through any node, as a balancer would have it.
      const node = this.#random.choose(this.#options.target.nodes);
      sending = { ...first, node, dueAt: clock.now() };
    }
  }

  async #runCall(call: DrawnCall, sending: Sending): Promise<void> {
    const key = await this.#findKey(call, sending);
    this.#record(await this.#options.client.sendCall(call, sending, key));
  }

  async #findKey(
    call: DrawnCall,
    sending: Sending,
  ): Promise<string | undefined> {
    switch (call.idempotencyKey) {
      case "issued":
        return await this.#options.client.issueKey(sending.node, call.key)
          .catch(() => undefined);
      case "own":
        return `own-${this.#options.seed}-${sending.dueAt}`;
      case undefined:
        return undefined;
    }
  }

  #record(result: RequestResult): void {
    this.#results.push(result);
    this.#options.onProgress?.(this.#results.length);
  }
}

/**
 * In-memory model engine for tests.
 *
 * Latencies and failures are set by the test. The text of each output token
 * contains prompt and index, so that a token of another stream is detected.
 */

import { setMaxListeners } from "node:events";
import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  CacheEventBatch,
  CacheExport,
  CacheImport,
  Engine,
  EngineState,
  GenerateEvent,
  GenerateRequest,
  LoadReport,
} from "@almondcrank/endpoint/engine.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import { splitTokens } from "@almondcrank/endpoint/tokens.ts";

/** Latencies and faults of the engine; may be changed while it runs. */
export interface FakeBehaviour {
  firstTokenMs: number;
  betweenTokensMs: number;
  outputTokens: number;
  /** Index of the token before which the connection is lost. */
  cutAt: number | undefined;
  /** Index of the token before which the engine freezes until `wake`. */
  freezeAt: number | undefined;
  /** Declines every request. */
  declines: boolean;
  /** Continues to send after the request was aborted. */
  ignoresAbort: boolean;
  /** Offset added to the index of each token. */
  indexOffset: number;
  /** Outcome of `exportCache`. */
  exports: "works" | "fails" | "hangs";
  /** Text in a prompt that crashes the engine when it begins the answer. */
  crashesOn: string | undefined;
  /** Time after which a crashed engine accepts connections again. */
  restartMs: number;
}

/** Formats the text of an output token. */
export function formatToken(prompt: string, index: number): string {
  return ` ${prompt.slice(0, 8)}#${index}`;
}

/** Model engine in memory, with injected faults. */
export class FakeEngine implements Engine {
  readonly name: string;
  readonly behaviour: FakeBehaviour = {
    firstTokenMs: 10,
    betweenTokensMs: 10,
    outputTokens: 20,
    cutAt: undefined,
    freezeAt: undefined,
    declines: false,
    ignoresAbort: false,
    indexOffset: 0,
    exports: "works",
    crashesOn: undefined,
    restartMs: 3_000,
  };
  readonly requests: GenerateRequest[] = [];
  /** Those of the requests that a running engine received. */
  readonly received: GenerateRequest[] = [];
  readonly aborted: string[] = [];
  readonly exported: string[] = [];
  readonly imported: CacheImport[] = [];
  running = 0;
  maxAhead = 0;
  /** Times at which the engine crashed. */
  readonly crashes: number[] = [];
  readonly #clock: Clock;
  #dead = new AbortController();
  #wake = new AbortController();

  private constructor(name: string, clock: Clock) {
    this.name = name;
    this.#clock = clock;
    setMaxListeners(0, this.#dead.signal);
  }

  static create(name: string, clock: Clock): FakeEngine {
    return new FakeEngine(name, clock);
  }

  /** Ends all connections and accepts no further ones. */
  kill(): void {
    this.#dead.abort();
    this.#wake.abort();
  }

  /** Ends all connections, and accepts new ones after `restartMs`. */
  async crash(): Promise<void> {
    this.crashes.push(this.#clock.now());
    this.kill();
    await this.#clock.sleep(this.behaviour.restartMs);
    this.#dead = new AbortController();
    setMaxListeners(0, this.#dead.signal);
    this.#wake = new AbortController();
  }

  /** Resumes frozen generations. */
  wake(): void {
    this.behaviour.freezeAt = undefined;
    this.#wake.abort();
    this.#wake = new AbortController();
  }

  async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Either<EndpointError, GenerateEvent>, void, void> {
    this.requests.push(request);
    if (this.#dead.signal.aborted) return yield this.#fail("unreachable");
    this.received.push(request);
    if (this.behaviour.declines) return yield this.#fail("declined");
    const abort = (): void => void this.aborted.push(request.id);
    signal.addEventListener("abort", abort);
    this.running++;
    try {
      yield* this.#generateTokens(request, signal);
    } finally {
      this.running--;
      signal.removeEventListener("abort", abort);
    }
  }

  async *#generateTokens(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Either<EndpointError, GenerateEvent>, void, void> {
    const { behaviour } = this;
    const dead = this.#dead.signal;
    const from = request.tokensSoFar.length;
    const to = Math.min(request.maxTokens, behaviour.outputTokens);
    for (let index = from; index <= to; index++) {
      const delayMs = index === from
        ? behaviour.firstTokenMs
        : behaviour.betweenTokensMs;
      await this.#clock.sleep(delayMs, dead);
      while (!dead.aborted && this.#isFrozenAt(index)) await this.#waitWake();
      if (dead.aborted || index === behaviour.cutAt) {
        return yield this.#fail("connection_lost");
      }
      if (signal.aborted && !behaviour.ignoresAbort) return;
      if (index === from && this.#isCrashing(request)) {
        void this.crash();
        return yield this.#fail("connection_lost");
      }
      if (index === to) break;
      yield Right({
        kind: "token",
        index: index + behaviour.indexOffset,
        text: formatToken(request.prompt, index),
      });
    }
    yield Right(this.#createEnd(request, to));
  }

  #isFrozenAt(index: number): boolean {
    const { freezeAt } = this.behaviour;
    return freezeAt !== undefined && index >= freezeAt;
  }

  #isCrashing({ prompt }: GenerateRequest): boolean {
    const { crashesOn } = this.behaviour;
    return crashesOn !== undefined && prompt.includes(crashesOn);
  }

  #createEnd(request: GenerateRequest, outputTokens: number): GenerateEvent {
    const promptTokens = splitTokens(request.prompt).length;
    const input = promptTokens + request.tokensSoFar.length;
    const cachedTokens = request.importId === undefined ? 0 : input;
    const computedTokens = input - cachedTokens;
    const reason = outputTokens === request.maxTokens ? "length" : "stop";
    const usage = {
      promptTokens,
      cachedTokens,
      computedTokens,
      outputTokens,
    };
    return { kind: "end", reason, usage };
  }

  #waitWake(): Promise<void> {
    const { signal } = this.#wake;
    return new Promise((resolve) => {
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
  }

  #fail(
    kind: "unreachable" | "declined" | "connection_lost",
  ): Either<EndpointError, never> {
    const endpoint = this.name;
    return Left(EndpointError.create({ kind, endpoint, reason: "fake" }));
  }

  async exportCache(id: string): Promise<Either<EndpointError, CacheExport>> {
    this.exported.push(id);
    if (this.behaviour.exports === "fails" || this.#dead.signal.aborted) {
      return this.#fail("connection_lost");
    }
    if (this.behaviour.exports === "hangs") {
      await new Promise<void>((resolve) => {
        this.#dead.signal.addEventListener("abort", () => resolve());
      });
      return this.#fail("connection_lost");
    }
    await this.#clock.sleep(5, this.#dead.signal);
    return Right({ handle: `${this.name}/${id}`, tokens: 10, bytes: 1_000 });
  }

  async importCache(
    cacheImport: CacheImport,
  ): Promise<Either<EndpointError, number>> {
    await this.#clock.sleep(5, this.#dead.signal);
    if (this.#dead.signal.aborted) return this.#fail("connection_lost");
    this.imported.push(cacheImport);
    return Right(10);
  }

  readLoad(): Promise<Either<EndpointError, LoadReport>> {
    return Promise.resolve(this.#fail("unreachable"));
  }

  readCacheEvents(): Promise<Either<EndpointError, CacheEventBatch>> {
    return Promise.resolve(this.#fail("unreachable"));
  }

  sendOrder(): Promise<Either<EndpointError, EngineState>> {
    return Promise.resolve(this.#fail("unreachable"));
  }

  readState(): Promise<Either<EndpointError, EngineState>> {
    return Promise.resolve(this.#fail("unreachable"));
  }
}

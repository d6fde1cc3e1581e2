/**
 * Measures choice policies: nodes with simulated engines serve multi-turn
 * conversations in virtual time.
 *
 * Each turn goes to a random node, as behind a load balancer. Load reports are
 * delayed. Tokens of blocks that an engine has computed before, but that are not
 * cached at the chosen one, count as recomputed.
 */

import { Right } from "purify-ts";
import {
  type Configuration,
  emptyConfiguration,
  type Endpoint,
  type ModelService,
  type Team,
} from "@almondcrank/common/configuration.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import {
  blockTokens,
  computeBlockHashes,
  splitTokens,
} from "@almondcrank/endpoint/tokens.ts";
import { LoadTable } from "@almondcrank/routing/choice/load_table.ts";
import type { ModelStream } from "@almondcrank/routing/routers/model_router.ts";
import type {
  ChoicePolicy,
  ChoiceRequest,
  ReplicaChoice,
} from "@almondcrank/routing/choice/replica_chooser.ts";
import { NodeModelRouter } from "@almondcrank/routing/routers/node_model_router.ts";
import type { EngineSettingsInput } from "@almondcrank/standin/engine_settings.ts";
import {
  chooseInteger,
  createRandom,
  formatSystemPrompt,
  formatWords,
} from "./conversation_texts.ts";
import { SimulatedEngine } from "./simulated_engine.ts";
import { VirtualClock } from "./virtual_clock.ts";

/** Policies of the product, and an oracle that knows all caches and loads. */
export type MeasuredPolicy = ChoicePolicy["kind"] | "oracle";

/** Options of a run. */
export interface BenchOptions {
  readonly policy: MeasuredPolicy;
  readonly seed: number;
  readonly hasher: Hasher;
  readonly nodes: number;
  readonly replicas: number;
  readonly engine: EngineSettingsInput;
  /** New conversations a second. */
  readonly conversationsPerSecond: number;
  readonly meanTurns: number;
  readonly meanThinkTimeMs: number;
  readonly durationMs: number;
  /** Requests before this time fill the caches and are not counted. */
  readonly warmUpMs: number;
  /** Priorities of the teams; each conversation has a random team. */
  readonly priorities: readonly number[];
  /** Whether requests say where the start of their conversation ends. */
  readonly sendsConversationStart: boolean;
}

/** Outcome of one turn. */
export interface TurnRecord {
  /** Virtual time of the request in milliseconds. */
  readonly at: number;
  readonly priority: number;
  readonly accepted: boolean;
  readonly isComplete: boolean;
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
  readonly promptTokens: number;
  readonly computedTokens: number;
  /** Tokens computed although an engine had computed their block before. */
  readonly recomputedTokens: number;
  readonly attempts: number;
}

/** Longest time between load reports, and their age on arrival. */
const reportIntervalMs = 250;
const reportAgeMs = 300;
const systemPrompts = 6;
/** Exceeds the cost of any replica that is not late. */
const lateCost = 1e9;
const questionTokens = [30, 150] as const;
const maxOutputTokens = 256;

/** Model service of the measurements. */
export const benchService: ModelService = {
  kind: "model",
  name: "assistant",
  model: "base",
  adapters: [],
  target: { firstTokenMs: 1_600, betweenTokensMs: 32 },
  timeoutMs: 60_000,
  maxOutputTokens,
};

/** A run with its nodes, engines and records. */
export class PolicyBench {
  readonly #options: BenchOptions;
  readonly #clock = VirtualClock.create();
  readonly #random: Random;
  readonly #engines: ReadonlyMap<string, SimulatedEngine>;
  readonly #loads: LoadTable[] = [];
  readonly #routers: NodeModelRouter[] = [];
  readonly #computed = new Set<number>();
  readonly #records: TurnRecord[] = [];
  readonly #teams: readonly Team[];
  #conversations = 0;
  #ended = false;

  private constructor(options: BenchOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    const endpoints = Array.from({ length: options.replicas }, createEndpoint);
    const { hasher, engine } = options;
    this.#engines = new Map(endpoints.map(({ name }) => [
      name,
      SimulatedEngine.open({
        name,
        clock: this.#clock,
        hasher,
        settings: engine,
      }),
    ]));
    this.#teams = options.priorities.map((priority) => ({
      name: `team-${priority}`,
      keyHash: "",
      priority,
      share: 1,
    }));
    const configuration: Configuration = {
      ...emptyConfiguration,
      teams: this.#teams,
      services: [benchService],
      endpoints,
    };
    for (let node = 0; node < options.nodes; node++) {
      this.#addNode(node, configuration);
    }
  }

  /** Runs the conversations and returns the turns after the warm-up. */
  static async run(options: BenchOptions): Promise<readonly TurnRecord[]> {
    const bench = new PolicyBench(options);
    void bench.#reportLoads();
    void bench.#openConversations();
    await bench.#clock.run(options.durationMs);
    bench.#ended = true;
    await bench.#clock.run(options.durationMs + 60_000);
    for (const router of bench.#routers) router.dispose();
    for (const engine of bench.#engines.values()) engine.dispose();
    return bench.#records.filter(({ at }) => at >= options.warmUpMs);
  }

  #addNode(node: number, configuration: Configuration): void {
    const { policy, seed, hasher } = this.#options;
    const loads = LoadTable.create({ clock: this.#clock });
    loads.apply(configuration.endpoints);
    this.#loads.push(loads);
    this.#routers.push(NodeModelRouter.create({
      nodeName: `n${node}`,
      incarnation: "1",
      configuration: { current: () => configuration },
      engines: ({ name }) => this.#findEngine(name),
      loads,
      limiter: { admit: () => Right({ release: () => {} }) },
      retries: { recordSend: () => {}, takeRetry: () => false },
      peers: {
        list: () => [],
        readEvents: () => Promise.reject(new Error("no peers")),
        cancel: () => Promise.resolve(),
        handOver: () => Promise.reject(new Error("no peers")),
      },
      clock: this.#clock,
      random: createRandom(seed * 1_000 + node),
      hasher,
      metrics: Metrics.create(),
      log: createSilentLog(),
      ...(policy === "oracle"
        ? {
          chooser: {
            choose: (request: ChoiceRequest) =>
              this.#chooseByOracle(request, configuration.endpoints),
          },
        }
        : { policy: { kind: policy } }),
    }));
  }

  /**
   * Chooses the replica with the most cached tokens among those that would send
   * the first token within half of the target, with all caches and loads known.
   * If all are late, the one with the earliest first token.
   */
  #chooseByOracle(
    request: ChoiceRequest,
    endpoints: readonly Endpoint[],
  ): ReplicaChoice | undefined {
    let best: ReplicaChoice | undefined;
    let lowestCost = Infinity;
    for (const endpoint of endpoints) {
      const engine = this.#findEngine(endpoint.name);
      const load = engine.computeLoad();
      const cachedTokens = engine.cache.countPrefixBlocks(request.chain) *
        blockTokens;
      const perToken = 1_000 / load.prefillTokensPerSecond;
      const prefillMs = (request.inputTokens - cachedTokens) * perToken;
      const betweenMs = Math.max(12, load.betweenTokensMs);
      const ahead = load.queued + load.running - load.slots + 1;
      const slotMs = Math.max(0, ahead) * 128 * betweenMs / load.slots;
      const waitMs = Math.max(load.queuedTokens * perToken, slotMs);
      const firstTokenMs = waitMs + prefillMs;
      const isLate = firstTokenMs > benchService.target.firstTokenMs / 2;
      // Load decides only between replicas with equally many cached tokens.
      const cost = isLate
        ? lateCost + firstTokenMs
        : -cachedTokens + load.running / load.slots;
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      const totalMs = firstTokenMs + request.outputTokens * betweenMs;
      best = {
        endpoint,
        waitMs,
        firstTokenMs,
        totalMs,
        cachedTokens,
        seenTokens: 0,
      };
    }
    return best;
  }

  async #reportLoads(): Promise<void> {
    while (!this.#ended) {
      for (const engine of this.#engines.values()) {
        const load = engine.computeLoad();
        void this.#clock.sleep(reportAgeMs).then(() => {
          for (const loads of this.#loads) {
            const { name: endpoint } = engine;
            const ageMs = reportAgeMs;
            loads.record({ ...load, endpoint, ageMs, reachable: true });
          }
        });
      }
      await this.#clock.sleep(reportIntervalMs);
    }
  }

  async #openConversations(): Promise<void> {
    const meanMs = 1_000 / this.#options.conversationsPerSecond;
    while (!this.#ended) {
      await this.#clock.sleep(this.#random.nextExponential(meanMs));
      void this.#runConversation(this.#conversations++);
    }
  }

  async #runConversation(index: number): Promise<void> {
    const { meanTurns, meanThinkTimeMs, seed } = this.#options;
    const random = createRandom(seed * 1_000_003 + index);
    const team = random.choose(this.#teams);
    let prompt = formatSystemPrompt(random.nextInt(systemPrompts));
    const turns = 1 + Math.floor(random.nextExponential(meanTurns - 1));
    let startLength = 0;
    for (let turn = 0; turn < turns && !this.#ended; turn++) {
      const question = chooseInteger(random, questionTokens);
      prompt += formatWords(question, `c${index}t${turn}`);
      if (turn === 0) startLength = prompt.length;
      const answer = await this.#send(prompt, { team, random, startLength });
      if (answer === undefined) return;
      prompt += ` ${answer}`;
      await this.#clock.sleep(random.nextExponential(meanThinkTimeMs));
    }
  }

  /** Sends one turn; undefined unless the complete answer arrived. */
  async #send(
    prompt: string,
    { team, random, startLength }: {
      readonly team: Team;
      readonly random: Random;
      readonly startLength: number;
    },
  ): Promise<string | undefined> {
    const at = this.#clock.now();
    const chain = computeBlockHashes(this.#options.hasher, splitTokens(prompt));
    const computedBlocks = this.#countComputed(chain);
    const opened = await random.choose(this.#routers).open({
      team,
      service: benchService,
      prompt,
      conversationStart: this.#options.sendsConversationStart ? startLength : 0,
      maxTokens: maxOutputTokens,
      deadline: at + benchService.timeoutMs,
    });
    const base = { at, priority: team.priority, promptTokens: 0 };
    if (opened.isLeft()) {
      this.#records.push({ ...base, ...noAnswer });
      return undefined;
    }
    const stream = opened.unsafeCoerce();
    const answer = await this.#readAnswer(stream, base, computedBlocks);
    this.#addComputed(prompt, answer ?? "");
    return answer;
  }

  async #readAnswer(
    stream: ModelStream,
    base: Pick<TurnRecord, "at" | "priority">,
    computedBlocks: number,
  ): Promise<string | undefined> {
    let text = "";
    let firstAt = 0;
    let tokens = 0;
    for await (const event of stream.read(0, new AbortController().signal)) {
      if (event.kind === "token") {
        if (tokens++ === 0) firstAt = this.#clock.now();
        text += event.text;
        continue;
      }
      const isComplete = event.kind === "end";
      const usage = isComplete ? event.usage : noAnswer;
      const cached = isComplete ? event.usage.cachedTokens : 0;
      const lastMs = this.#clock.now() - firstAt;
      this.#records.push({
        ...base,
        accepted: true,
        isComplete,
        firstTokenMs: firstAt - base.at,
        betweenTokensMs: tokens > 1 ? lastMs / (tokens - 1) : 0,
        promptTokens: isComplete ? event.usage.promptTokens : 0,
        computedTokens: usage.computedTokens,
        recomputedTokens: Math.max(0, computedBlocks * blockTokens - cached),
        attempts: usage.attempts,
      });
      return isComplete ? text : undefined;
    }
    return undefined;
  }

  /** Counts the leading blocks that an engine has computed before. */
  #countComputed(chain: readonly number[]): number {
    let blocks = 0;
    for (const block of chain) {
      if (!this.#computed.has(block)) break;
      blocks++;
    }
    return blocks;
  }

  #addComputed(prompt: string, answer: string): void {
    const tokens = splitTokens(`${prompt} ${answer}`);
    for (const block of computeBlockHashes(this.#options.hasher, tokens)) {
      this.#computed.add(block);
    }
  }

  #findEngine(name: string): SimulatedEngine {
    const engine = this.#engines.get(name);
    if (engine === undefined) throw new Error(`engine ${name} is unknown`);
    return engine;
  }
}

const noAnswer = {
  accepted: false,
  isComplete: false,
  firstTokenMs: 0,
  betweenTokensMs: 0,
  computedTokens: 0,
  recomputedTokens: 0,
  attempts: 0,
} as const;

function createEndpoint(_: unknown, index: number): Endpoint {
  return {
    name: `e${index}`,
    service: benchService.name,
    address: `10.0.0.${index}:8000`,
    host: `h${index}`,
    zone: `zone-${index % 4}`,
    machineClass: "a",
    market: "reclaimable",
    checksFencing: true,
  };
}

/** Whether a turn has a complete answer within the service's target. */
export function isOnTime(turn: TurnRecord): boolean {
  const { target } = benchService;
  return turn.isComplete && turn.firstTokenMs <= target.firstTokenMs &&
    turn.betweenTokensMs <= target.betweenTokensMs;
}

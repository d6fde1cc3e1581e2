/**
 * Simulates nodes that place streams on replicas, in virtual time and without a
 * network, to compare placement policies.
 *
 * Prompts have long tails and share parts, one of which is in great demand. Each
 * node sees a part of the requests, knows its own sends at once, and hears what
 * others have sent and learnt in reports that have an age.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";
import { Random } from "@almondcrank/common/random.ts";
import { CandidateOrder } from "@almondcrank/gateway/choice/candidate_order.ts";
import type {
  EngineChoiceServices,
  EngineRequest,
} from "@almondcrank/gateway/choice/engine_choice.ts";
import { PrefixIndex } from "@almondcrank/gateway/choice/prefix_index.ts";
import { ReplicaState } from "@almondcrank/gateway/choice/replica_state.ts";
import { createReplica } from "@almondcrank/gateway/testing/create_replica.ts";
import { CostModel } from "@almondcrank/routing/placement/cost_model.ts";
import { choosePlacement, type PlacementPolicy } from "./placement_policies.ts";
import { type PlacedRequest, SimulatedReplica } from "./placement_replica.ts";

const reportIntervalMs = 250;
const slots = 24;
const hotShare = 0.35;
const partsPerKind = 12;

/** Options of a run. */
export interface PlacementOptions {
  readonly policy: PlacementPolicy;
  readonly seed: number;
  readonly hasher: Hasher;
  readonly nodes: number;
  readonly replicas: number;
  readonly reportAgeMs: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** Whether replicas differ in speed, for good and for moments. */
  readonly isUneven: boolean;
}

/** Outcome of one request. */
export interface PlacementRecord {
  readonly firstMs: number;
  readonly promptTokens: number;
  /** Shared tokens that were read although a replica had them. */
  readonly rereadTokens: number;
}

interface SimulatedNode {
  readonly states: readonly ReplicaState[];
  readonly services: EngineChoiceServices;
  readonly stated: Map<string, number>;
  placed: number;
}

interface Task {
  readonly at: number;
  readonly run: () => void;
}

/** One run. */
export class PlacementSimulation {
  readonly #options: PlacementOptions;
  readonly #random: Random;
  readonly #replicas: readonly SimulatedReplica[];
  readonly #nodes: readonly SimulatedNode[];
  /** Tasks by the millisecond in which they are due. */
  readonly #tasks = new Map<number, Task[]>();
  readonly #records: PlacementRecord[] = [];
  readonly #told: Map<string, number>[] = [];
  #now = 0;

  private constructor(options: PlacementOptions) {
    this.#options = options;
    this.#random = Random.create(options.seed);
    const { replicas, isUneven } = options;
    this.#replicas = Array.from(
      { length: replicas },
      (_, index) =>
        SimulatedReplica.create({
          index,
          slots,
          tokensPerMs: 90,
          slowness: isUneven ? 0.7 + this.#random.next() : 1,
          isNoisy: isUneven,
        }),
    );
    this.#nodes = Array.from(
      { length: options.nodes },
      () => createNode(options),
    );
  }

  /** Runs, and returns what became of the requests of the later half. */
  static run(options: PlacementOptions): readonly PlacementRecord[] {
    const simulation = new PlacementSimulation(options);
    simulation.#run();
    const { length } = simulation.#records;
    return simulation.#records.slice(Math.floor(length / 2));
  }

  #run(): void {
    const { durationMs, requestsPerSecond } = this.#options;
    let arrivesAt = 0;
    for (let tick = 0; tick < durationMs; tick += 1) {
      this.#now = tick;
      const due = this.#tasks.get(tick) ?? [];
      this.#tasks.delete(tick);
      for (const { run } of due) run();
      if (tick % reportIntervalMs === 0) this.#report();
      for (; arrivesAt <= tick;) {
        this.#place();
        arrivesAt += this.#random.nextExponential(1_000 / requestsPerSecond);
      }
    }
  }

  #schedule(at: number, run: () => void): void {
    const tick = Math.max(this.#now + 1, Math.ceil(at));
    const tasks = this.#tasks.get(tick) ?? [];
    tasks.push({ at: tick, run });
    this.#tasks.set(tick, tasks);
  }

  #place(): void {
    const node = this.#random.choose(this.#nodes);
    const { kind, request } = this.#createRequest();
    const now = this.#now;
    const parts = [
      { id: request.sharedPart, tokens: request.sharedTokens },
      { id: "own", tokens: request.promptTokens - request.sharedTokens },
    ];
    const query: EngineRequest = {
      service: "s",
      parts,
      promptTokens: request.promptTokens,
      zone: "a",
      traits: { slots, cacheTokens: 1e7, tokensPerEvent: 9, canMove: false },
      now,
      excluded: new Set(),
      draw: this.#random.next(),
    };
    const state = choosePlacement(this.#options.policy, {
      states: node.states,
      request: query,
      services: node.services,
      placed: node.placed++,
      secondDraw: this.#random.next(),
      stated: node.stated,
      computeFirstAt: (candidate) =>
        this.#findReplica(candidate).computeFirstAt(request, now),
    });
    this.#send(node, state, { kind, request, query });
  }

  #send(
    node: SimulatedNode,
    state: ReplicaState,
    { kind, request, query }: {
      readonly kind: string;
      readonly request: PlacedRequest;
      readonly query: EngineRequest;
    },
  ): void {
    const { prefixes, costs } = node.services;
    const { promptTokens } = request;
    const sentAt = this.#now;
    const cached = prefixes.computeCachedTokens(query.parts, state.key);
    const pendingTokens = promptTokens - cached;
    const load = state.work.estimate(sentAt, 2_000);
    const work = {
      tokens: pendingTokens + load.pendingTokens,
      active: load.active,
    };
    const key = { service: "s", softwareVersion: "v1" };
    const usualMs = costs.predictFirstEventMs(key, work, sentAt);
    const placement = this.#findReplica(state).place(request, sentAt);
    prefixes.record(query.parts.slice(0, 1), state.key, sentAt);
    state.addOwnLoad(
      { active: 1, pendingTokens, activeTokens: promptTokens },
      sentAt,
    );
    const sharedPrompt = promptTokens - placement.uncachedTokens;
    this.#records.push({
      firstMs: placement.firstAt - sentAt,
      promptTokens,
      rereadTokens: request.sharedTokens - sharedPrompt,
    });
    this.#schedule(placement.firstAt, () => {
      const now = this.#now;
      const observedMs = placement.firstAt - sentAt;
      const statement = this.#findReplica(state).composeStatement(now);
      node.stated.set(state.key, statement.running + statement.waiting);
      if (this.#options.isUneven) state.recordStatement(statement, now);
      state.addOwnLoad(
        { active: 0, pendingTokens: -pendingTokens, activeTokens: 0 },
        now,
      );
      state.recordFirstEvent(observedMs, usualMs, now);
      const slowness = state.speed.readStatedSlowness(now);
      costs.firstEvents.record(key, {
        work,
        observedMs: observedMs / slowness,
      }, now);
    });
    this.#schedule(placement.endAt, () => {
      state.addOwnLoad(
        { active: -1, pendingTokens: 0, activeTokens: -promptTokens },
        this.#now,
      );
      costs.outputs.record({
        ...key,
        route: kind,
        uncachedTokens: 0,
        promptTokens,
        maxOutputTokens: undefined,
        hintedOutputTokens: undefined,
      }, {
        tokens: request.outputTokens,
        runMs: placement.endAt - placement.firstAt,
      }, this.#now);
    });
  }

  /** Sends what each node has placed and learnt to all others. */
  #report(): void {
    const at = this.#now + this.#options.reportAgeMs;
    const loads = this.#nodes.map(({ states }) =>
      states.map(({ ownLoad }) => ownLoad)
    );
    const sums = this.#replicas.map((_, replica) => {
      const sum = { active: 0, pendingTokens: 0, activeTokens: 0 };
      for (const load of loads) {
        sum.active += load[replica]?.active ?? 0;
        sum.pendingTokens += load[replica]?.pendingTokens ?? 0;
        sum.activeTokens += load[replica]?.activeTokens ?? 0;
      }
      return sum;
    });
    const learnt = this.#nodes.map(({ services }, node) =>
      this.#listChanges(services.costs, node)
    );
    const allLearnt = new Map<string, number>();
    for (const changes of learnt) addAll(allLearnt, changes);
    this.#schedule(at, () => {
      for (const [index, node] of this.#nodes.entries()) {
        for (const [replica, state] of node.states.entries()) {
          const sum = sums[replica];
          const own = loads[index]?.[replica];
          if (sum === undefined || own === undefined) continue;
          state.setPeerLoad({
            active: sum.active - own.active,
            pendingTokens: sum.pendingTokens - own.pendingTokens,
            activeTokens: sum.activeTokens - own.activeTokens,
          }, { now: this.#now, ageMs: this.#options.reportAgeMs });
        }
        for (const [name, change] of allLearnt) {
          const rest = change - (learnt[index]?.get(name) ?? 0);
          node.services.costs.firstEvents.applyPeer(name, rest, this.#now);
        }
      }
    });
  }

  #listChanges(costs: CostModel, node: number): Map<string, number> {
    const previous = this.#told[node] ?? new Map<string, number>();
    const current = new Map(costs.firstEvents.listOwn());
    this.#told[node] = current;
    return new Map([...current].map(([name, sum]) => [
      name,
      sum - (previous.get(name) ?? 0),
    ]));
  }

  #createRequest(): { readonly kind: string; readonly request: PlacedRequest } {
    const random = this.#random;
    const kind = random.choose(kinds);
    const isHot = random.next() < hotShare;
    const part = isHot ? 0 : random.nextInt(partsPerKind);
    const spread = 1.1;
    let normal = -6;
    for (let draw = 0; draw < 12; draw += 1) normal += random.next();
    const tail = Math.exp(spread * normal - spread * spread / 2);
    return {
      kind: kind.name,
      request: {
        sharedPart: `${kind.name}-${part}`,
        sharedTokens: kind.sharedTokens,
        promptTokens: kind.sharedTokens +
          Math.min(60_000, Math.ceil(kind.ownTokens * tail)),
        outputTokens: Math.ceil(random.nextExponential(kind.outputTokens)),
      },
    };
  }

  #findReplica({ replica }: ReplicaState): SimulatedReplica {
    return this.#replicas[Number(replica.id)] as SimulatedReplica;
  }
}

const kinds = [
  { name: "long", sharedTokens: 5_000, ownTokens: 6_000, outputTokens: 300 },
  { name: "short", sharedTokens: 200, ownTokens: 600, outputTokens: 250 },
  { name: "label", sharedTokens: 600, ownTokens: 1_800, outputTokens: 30 },
] as const;

function createNode(
  { replicas, hasher }: PlacementOptions,
): SimulatedNode {
  const states = Array.from(
    { length: replicas },
    (_, index) =>
      ReplicaState.create(
        `${index}`,
        createReplica({ id: `${index}`, service: "s", slots }),
      ),
  );
  return {
    states,
    services: {
      hasher,
      prefixes: PrefixIndex.create(),
      costs: CostModel.create(),
      order: CandidateOrder.create(hasher),
      sender: { hasIdleConnection: () => false },
    },
    stated: new Map(),
    placed: 0,
  };
}

function addAll(
  sums: Map<string, number>,
  changes: ReadonlyMap<string, number>,
): void {
  for (const [name, change] of changes) {
    sums.set(name, (sums.get(name) ?? 0) + change);
  }
}

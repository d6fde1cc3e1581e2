/**
 * Simulation of nodes with real team limits in front of one pool of slots, on a
 * manual clock.
 *
 * Demand and load reports lag by up to a second. Nodes can stop, stop reporting,
 * or be partitioned into groups that do not receive each other's demand.
 */

import {
  type ConfigurationSource,
  emptyConfiguration,
  type Team,
} from "@almondcrank/common/configuration.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { TeamDemand } from "@almondcrank/membership/membership.ts";
import { TeamLimits } from "../limits/team_limits.ts";

const updateMs = 1_000;
/** Interval of queue reports. */
const pollMs = 500;

/** Slots with one first-in-first-out queue. */
class SlotPool {
  readonly slots: number;
  running = 0;
  readonly #queue: (() => void)[] = [];

  constructor(slots: number) {
    this.slots = slots;
  }

  get queued(): number {
    return this.#queue.length;
  }

  async take(): Promise<void> {
    if (this.running < this.slots) this.running++;
    else await new Promise<void>((resolve) => this.#queue.push(resolve));
  }

  release(): void {
    const next = this.#queue.shift();
    if (next === undefined) this.running--;
    else next();
  }
}

/** Simulated node. */
export interface LimitsNode {
  readonly limits: TeamLimits;
  /** Demand that peers received last. */
  receivedDemand: readonly TeamDemand[];
  alive: boolean;
  /** Whether its demand reports are lost. */
  silent: boolean;
  /** Nodes receive demand only from their own group. */
  group: number;
}

/** Request counts of one team. */
export interface TeamTotals {
  offered: number;
  onTime: number;
  late: number;
  refused: number;
}

/** Options of a simulation. */
export interface LimitsSimulationOptions {
  readonly nodes: number;
  readonly slots: number;
  readonly meanServiceMs: number;
  /** Time within which an answer is on time. */
  readonly dueMs: number;
  readonly teams: readonly Team[];
  readonly seed: number;
}

/** Nodes, pool and request generator. */
export class LimitsSimulation {
  readonly clock = ManualClock.create();
  readonly pool: SlotPool;
  readonly nodes: LimitsNode[] = [];
  readonly #options: LimitsSimulationOptions;
  readonly #random: Random;
  readonly #totals = new Map<string, TeamTotals>();
  readonly #stopped = new AbortController();
  #reportedQueue = 0;

  private constructor(options: LimitsSimulationOptions) {
    this.#options = options;
    this.#random = Random.create(options.seed);
    this.pool = new SlotPool(options.slots);
    for (let index = 0; index < options.nodes; index++) this.#start(index);
    void this.#poll();
  }

  static create(options: LimitsSimulationOptions): LimitsSimulation {
    return new LimitsSimulation(options);
  }

  /** Sends a team's requests at random times to random live nodes. */
  async sendRequests(
    team: Team,
    perSecond: number,
    untilMs: number,
  ): Promise<void> {
    for (;;) {
      await this.clock.sleep(this.#random.nextExponential(1_000 / perSecond));
      if (this.clock.now() >= untilMs) return;
      const live = this.nodes.filter(({ alive }) => alive);
      void this.#send(this.#random.choose(live), team);
    }
  }

  /** Reads the totals of a team and resets them. */
  readTotals(team: Team): TeamTotals {
    const totals = this.#readTotals(team);
    this.#totals.delete(team.name);
    return totals;
  }

  dispose(): void {
    this.#stopped.abort();
  }

  async #send(node: LimitsNode, team: Team): Promise<void> {
    const started = this.clock.now();
    const totals = this.#readTotals(team);
    totals.offered++;
    const admitted = node.limits.admit(team, 1);
    if (admitted.isLeft()) {
      totals.refused++;
      return;
    }
    await this.pool.take();
    const { meanServiceMs, dueMs } = this.#options;
    await this.clock.sleep(this.#random.nextExponential(meanServiceMs));
    this.pool.release();
    admitted.unsafeCoerce().release();
    if (this.clock.now() - started <= dueMs) totals.onTime++;
    else totals.late++;
  }

  #start(index: number): void {
    const { teams, seed } = this.#options;
    const configuration: ConfigurationSource = {
      current: () => ({ ...emptyConfiguration, teams }),
    };
    const limits = TeamLimits.create({
      clock: this.clock,
      random: Random.create(seed + 100 + index),
      metrics: Metrics.create(),
      configuration,
      pool: "booking",
      unit: "requests",
    });
    const node = {
      limits,
      receivedDemand: [],
      alive: true,
      silent: false,
      group: 0,
    };
    this.nodes.push(node);
    void this.#runUpdates(node, index * updateMs / this.#options.nodes);
  }

  async #runUpdates(node: LimitsNode, offsetMs: number): Promise<void> {
    const { signal } = this.#stopped;
    await this.clock.sleep(offsetMs);
    while (!signal.aborted) {
      const peers = this.nodes.filter((other) =>
        other !== node && other.alive && other.group === node.group
      );
      node.limits.update({
        peers: peers.filter(({ silent }) => !silent)
          .map(({ receivedDemand }) => ({ nodes: 1, demand: receivedDemand })),
        liveNodes: 1 + peers.length,
        capacity: { slots: this.pool.slots, queued: this.#reportedQueue },
      });
      node.receivedDemand = node.limits.readDemand();
      await this.clock.sleep(updateMs);
    }
  }

  async #poll(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      this.#reportedQueue = this.pool.queued;
      await this.clock.sleep(pollMs);
    }
  }

  #readTotals({ name }: Team): TeamTotals {
    let totals = this.#totals.get(name);
    if (totals === undefined) {
      totals = { offered: 0, onTime: 0, late: 0, refused: 0 };
      this.#totals.set(name, totals);
    }
    return totals;
  }
}

/** Share of the offered requests that were answered on time. */
export function computeOnTimeShare({ offered, onTime }: TeamTotals): number {
  return offered === 0 ? 1 : onTime / offered;
}

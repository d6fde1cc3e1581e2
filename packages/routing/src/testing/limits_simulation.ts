/**
 * Nodes with real team limits before one pool of slots, on a manual clock.
 *
 * Digests and load reports lag by up to a second. Nodes can stop, fall silent or
 * be split into groups that do not hear each other.
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
const pollMs = 500;

/** Slots with one queue in order of arrival. */
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

/** One node. */
export interface LimitsNode {
  readonly limits: TeamLimits;
  /** What peers last heard. */
  digest: readonly TeamDemand[];
  alive: boolean;
  silent: boolean;
  /** Nodes hear those of their own group only. */
  group: number;
}

/** Totals of one team. */
export interface TeamTotals {
  offered: number;
  onTime: number;
  late: number;
  refused: number;
}

/** Options of the world. */
export interface LimitsSimulationOptions {
  readonly nodes: number;
  readonly slots: number;
  readonly meanServiceMs: number;
  readonly dueMs: number;
  readonly teams: readonly Team[];
  readonly seed: number;
}

/** All of a simulation. */
export class LimitsSimulation {
  readonly clock = ManualClock.create();
  readonly pool: SlotPool;
  readonly nodes: LimitsNode[] = [];
  readonly #options: LimitsSimulationOptions;
  readonly #random: Random;
  readonly #totals = new Map<string, TeamTotals>();
  readonly #stop = new AbortController();
  #reportedQueue = 0;

  private constructor(options: LimitsSimulationOptions) {
    this.#options = options;
    this.#random = Random.create(options.seed);
    this.pool = new SlotPool(options.slots);
    for (let at = 0; at < options.nodes; at++) this.#start(at);
    void this.#poll();
  }

  static create(options: LimitsSimulationOptions): LimitsSimulation {
    return new LimitsSimulation(options);
  }

  /** Offers a team's requests at random times to random live nodes. */
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

  /** Totals of a team since the last reading. */
  readTotals(team: Team): TeamTotals {
    const totals = this.#readTotals(team);
    this.#totals.delete(team.name);
    return totals;
  }

  dispose(): void {
    this.#stop.abort();
  }

  async #send(node: LimitsNode, team: Team): Promise<void> {
    const started = this.clock.now();
    const counted = this.#readTotals(team);
    counted.offered++;
    const admitted = node.limits.admit(team, 1);
    if (admitted.isLeft()) {
      counted.refused++;
      return;
    }
    await this.pool.take();
    const { meanServiceMs, dueMs } = this.#options;
    await this.clock.sleep(this.#random.nextExponential(meanServiceMs));
    this.pool.release();
    admitted.unsafeCoerce().release();
    if (this.clock.now() - started <= dueMs) counted.onTime++;
    else counted.late++;
  }

  #start(at: number): void {
    const { teams, seed } = this.#options;
    const configuration: ConfigurationSource = {
      current: () => ({ ...emptyConfiguration, teams }),
    };
    const limits = TeamLimits.create({
      clock: this.clock,
      random: Random.create(seed + 100 + at),
      metrics: Metrics.create(),
      configuration,
      pool: "booking",
      unit: "requests",
    });
    const node = { limits, digest: [], alive: true, silent: false, group: 0 };
    this.nodes.push(node);
    void this.#runUpdates(node, at * updateMs / this.#options.nodes);
  }

  async #runUpdates(node: LimitsNode, offsetMs: number): Promise<void> {
    const { signal } = this.#stop;
    await this.clock.sleep(offsetMs);
    while (!signal.aborted) {
      const peers = this.nodes.filter((other) =>
        other !== node && other.alive && other.group === node.group
      );
      node.limits.update({
        peers: peers.filter(({ silent }) => !silent)
          .map(({ digest }) => ({ nodes: 1, demand: digest })),
        liveNodes: 1 + peers.length,
        capacity: { slots: this.pool.slots, queued: this.#reportedQueue },
      });
      node.digest = node.limits.readDemand();
      await this.clock.sleep(updateMs);
    }
  }

  async #poll(): Promise<void> {
    const { signal } = this.#stop;
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

/** Share of the offered requests answered on time. */
export function computeOnTimeShare({ offered, onTime }: TeamTotals): number {
  return offered === 0 ? 1 : onTime / offered;
}

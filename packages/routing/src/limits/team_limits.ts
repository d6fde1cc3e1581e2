/**
 * Limits of teams over all nodes without a coordinator.
 *
 * Each node tells its peers what each team asks of it, and each second computes
 * from everyone's demand what share of the pool every team gets and which part
 * of that is this node's. The unit is the request in flight, weighed by its
 * cost, because slots stay what they are when endpoints slow down. Nothing is
 * limited while the pool is not contended. A peer that is alive and silent is
 * assumed to use an equal part; a peer that is suspected leaves its part to the
 * others, down to the last node, which has all of it.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  Team,
} from "@almondcrank/common/configuration.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { TeamDemand } from "@almondcrank/membership/membership.ts";
import type { Limiter, Permit } from "./limiter.ts";
import type { PoolCapacity } from "../choice/pool_capacity.ts";
import { Refusal } from "../admission/refusal.ts";
import {
  computeShares,
  type TeamNeed,
  type TeamShare,
} from "./share_allocation.ts";
import { TeamMeter } from "./team_meter.ts";

const queueFactor = 1.2;
const contendedFraction = 0.8;
const localBurstFactor = 2;
const floodFactor = 1.5;
const burstDeviations = 3;
const minBurstRequests = 2;
const defaultHoldMs = 100;
const overloadedQueueFraction = 0.5;
const pressureDecrease = 0.8;
const pressureIncrease = 0.2;
const minPressureFactor = 0.3;
const minRetryMs = 100;
const maxRetryMs = 10_000;
const costWeight = 0.05;

/** Demand at one peer, or at several that it speaks for. */
export interface PeerDemand {
  /** Number of processes. */
  readonly nodes: number;
  readonly demand: readonly TeamDemand[];
}

/** What a node knows at the moment. */
export interface LimitsUpdate {
  /** Peers that are not suspected and were heard of lately. */
  readonly peers: readonly PeerDemand[];
  /** Processes that are not suspected, this one included. */
  readonly liveNodes: number;
  /** Capacity of the pool; undefined while it is not known. */
  readonly capacity: PoolCapacity | undefined;
}

/** Options of the limits of one pool. */
export interface TeamLimitsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationSource;
  /** Label of counters. */
  readonly pool: string;
  /** What costs are counted in. */
  readonly unit: "requests" | "tokens";
}

/** Limit of one team at this node, in units of cost. */
interface TeamLimit {
  readonly amount: number;
  readonly retryAfterMs: number;
}

/** Limits of one pool at one node. */
export class TeamLimits implements Limiter {
  readonly #options: TeamLimitsOptions;
  readonly #meters = new Map<string, TeamMeter>();
  #limits = new Map<string, TeamLimit>();
  #contended = false;
  /** Cost in flight at this node beyond which limits hold in any case. */
  #localCeiling = Infinity;
  #inFlight = 0;
  #updatedAt: number;
  #meanCost: number | undefined;
  /** Holds of all teams. */
  readonly #poolMeter = TeamMeter.create();
  #pressureFactor = 1;

  private constructor(options: TeamLimitsOptions) {
    this.#options = options;
    this.#updatedAt = options.clock.now();
  }

  static create(options: TeamLimitsOptions): TeamLimits {
    return new TeamLimits(options);
  }

  admit(team: Team, cost: number): Either<Refusal, Permit> {
    const meter = this.#readMeter(team.name);
    meter.recordOffer(cost);
    if (!this.#hasSpace(team, cost)) return Left(this.#createRefusal(team));
    meter.inFlight += cost;
    this.#inFlight += cost;
    this.#meanCost = computeAverage(this.#meanCost, cost, costWeight);
    const started = this.#options.clock.now();
    let released = false;
    return Right({
      release: () => {
        if (released) return;
        released = true;
        meter.inFlight -= cost;
        this.#inFlight -= cost;
        const heldMs = this.#options.clock.now() - started;
        meter.recordHold(heldMs);
        this.#poolMeter.recordHold(heldMs);
      },
    });
  }

  check(team: Team, cost: number): Either<Refusal, void> {
    if (this.#hasSpace(team, cost)) return Right(undefined);
    this.#readMeter(team.name).recordOffer(cost);
    return Left(this.#createRefusal(team));
  }

  /** Demand at this node for the digest, as of the last update. */
  readDemand(): readonly TeamDemand[] {
    const isTokens = this.#options.unit === "tokens";
    return [...this.#meters].map(([team, { rate }]) => ({
      team,
      requestsPerSecond: isTokens ? 0 : rate,
      tokensPerSecond: isTokens ? rate : 0,
    }));
  }

  /** Recomputes all limits; called about once a second. */
  update({ peers, liveNodes, capacity }: LimitsUpdate): void {
    this.#advanceMeters();
    // Slots take requests; before the first one its cost in tokens is unknown.
    const meanCost = this.#meanCost ??
      (this.#options.unit === "requests" ? 1 : undefined);
    if (capacity === undefined || meanCost === undefined) {
      this.#contended = false;
      this.#localCeiling = Infinity;
      return;
    }
    this.#updatePressure(capacity);
    const total = capacity.slots * queueFactor * this.#pressureFactor *
      meanCost;
    const heardPart = computeHeardPart(peers, liveNodes);
    const needs = this.#computeNeeds(peers, heardPart);
    const demand = needs.reduce((sum, need) => sum + need.demand, 0);
    this.#contended = demand > contendedFraction * total ||
      capacity.queued > overloadedQueueFraction * capacity.slots;
    this.#localCeiling = localBurstFactor * total / Math.max(1, liveNodes);
    this.#setPoolGauges({ demand, total, queued: capacity.queued });
    const spare = Math.max(0, total - demand);
    const limits = new Map<string, TeamLimit>();
    for (const share of computeShares(total, needs)) {
      const need = needs.find(({ team }) => team === share.team);
      const portion = this.#computePortion(share, { peers, heardPart });
      limits.set(
        share.team,
        this.#createLimit(share, {
          demand: need?.demand ?? 0,
          spare,
          portion,
        }),
      );
    }
    this.#limits = limits;
    this.#setGauges();
  }

  #hasSpace(team: Team, cost: number): boolean {
    if (!this.#contended && this.#inFlight + cost <= this.#localCeiling) {
      return true;
    }
    const limit = this.#limits.get(team.name);
    if (limit === undefined) return true;
    const { inFlight } = this.#readMeter(team.name);
    return inFlight === 0 || inFlight + cost <= limit.amount;
  }

  #createRefusal(team: Team): Refusal {
    const { metrics, pool } = this.#options;
    metrics.count("team_refusals_total", { pool, team: team.name });
    const retryAfterMs = this.#limits.get(team.name)?.retryAfterMs ??
      minRetryMs;
    return Refusal.create({
      kind: "over_limit",
      run: "not_run",
      retryAfterMs,
      message:
        `team "${team.name}" uses its share of the service while others need theirs; send the request again in ${
          Math.ceil(retryAfterMs)
        } ms`,
    });
  }

  #advanceMeters(): void {
    const now = this.#options.clock.now();
    const { teams } = this.#options.configuration.current();
    const known = new Set(teams.map(({ name }) => name));
    for (const [team, meter] of this.#meters) {
      meter.advance(now - this.#updatedAt);
      if (!known.has(team) && meter.inFlight === 0) this.#meters.delete(team);
    }
    this.#poolMeter.advance(now - this.#updatedAt);
    this.#updatedAt = now;
  }

  /** Takes back capacity while endpoints queue more than this node accounts for. */
  #updatePressure({ slots, queued }: PoolCapacity): void {
    this.#pressureFactor = queued > overloadedQueueFraction * slots
      ? Math.max(minPressureFactor, this.#pressureFactor * pressureDecrease)
      : Math.min(1, this.#pressureFactor + pressureIncrease);
  }

  /** Needs of all nodes; silent ones are taken to be like those heard. */
  #computeNeeds(
    peers: readonly PeerDemand[],
    heardPart: number,
  ): readonly TeamNeed[] {
    const { teams } = this.#options.configuration.current();
    return teams.map(({ name, priority, share }) => {
      const rate = this.#readRate(name) + this.#readPeerRate(name, peers);
      const demand = rate * this.#readHold(name) / 1_000 / heardPart;
      return { team: name, priority, weight: share, demand };
    });
  }

  /** Part of a team's share that is this node's. */
  #computePortion(
    { team, satisfied }: TeamShare,
    { peers, heardPart }: {
      readonly peers: readonly PeerDemand[];
      readonly heardPart: number;
    },
  ): number {
    const equalPart = heardPart / countHeard(peers);
    const own = this.#readRate(team);
    const all = own + this.#readPeerRate(team, peers);
    const portion = all > 0 ? heardPart * own / all : equalPart;
    return satisfied ? Math.max(portion, equalPart) : portion;
  }

  #createLimit(
    share: TeamShare,
    { demand, spare, portion }: {
      readonly demand: number;
      readonly spare: number;
      readonly portion: number;
    },
  ): TeamLimit {
    const meanCost = this.#meanCost ?? 1;
    // What nobody asked for lately is free to each team that needs more now.
    const granted = share.satisfied
      ? Math.max(share.fairAmount, demand + spare)
      : share.amount;
    // Rounding at random keeps the sum over the nodes at the share.
    const requests = Math.floor(
      granted * portion / meanCost + this.#options.random.next(),
    );
    // Demand near the share may be no more than chance; a flood is far above.
    const isFlood = demand > floodFactor * share.amount;
    const mean = Math.min(demand, share.amount) * portion / meanCost;
    const least = isFlood ? 1 : computeBurst(mean);
    const holdMs = this.#readHold(share.team);
    const excess = share.amount > 0 ? demand / share.amount : Infinity;
    return {
      amount: Math.max(least, requests) * meanCost,
      retryAfterMs: Math.min(
        maxRetryMs,
        Math.max(minRetryMs, holdMs * Math.max(1, excess)),
      ),
    };
  }

  #readHold(team: string): number {
    return this.#meters.get(team)?.holdMs ?? this.#poolMeter.holdMs ??
      defaultHoldMs;
  }

  #readRate(team: string): number {
    return this.#meters.get(team)?.rate ?? 0;
  }

  #readPeerRate(team: string, peers: readonly PeerDemand[]): number {
    const isTokens = this.#options.unit === "tokens";
    let rate = 0;
    for (const { demand } of peers) {
      for (const entry of demand) {
        if (entry.team !== team) continue;
        rate += isTokens ? entry.tokensPerSecond : entry.requestsPerSecond;
      }
    }
    return rate;
  }

  #readMeter(team: string): TeamMeter {
    let meter = this.#meters.get(team);
    if (meter === undefined) {
      meter = TeamMeter.create();
      this.#meters.set(team, meter);
    }
    return meter;
  }

  #setPoolGauges(figures: {
    readonly demand: number;
    readonly total: number;
    readonly queued: number;
  }): void {
    const { metrics, pool } = this.#options;
    const contended = this.#contended ? 1 : 0;
    metrics.setGauge("team_pool_demand", figures.demand, { pool });
    metrics.setGauge("team_pool_capacity", figures.total, { pool });
    metrics.setGauge("team_pool_queued", figures.queued, { pool });
    metrics.setGauge("team_pool_contended", contended, { pool });
  }

  #setGauges(): void {
    const { metrics, pool } = this.#options;
    for (const [team, { amount }] of this.#limits) {
      metrics.setGauge("team_limit", amount, { pool, team });
    }
  }
}

function computeAverage(
  mean: number | undefined,
  sample: number,
  weight: number,
): number {
  return mean === undefined ? sample : mean + weight * (sample - mean);
}

/** Requests in flight that random arrivals with this mean hardly ever exceed. */
function computeBurst(mean: number): number {
  return Math.ceil(mean + burstDeviations * Math.sqrt(mean)) + minBurstRequests;
}

/** Number of processes whose demand is known, this one included. */
function countHeard(peers: readonly PeerDemand[]): number {
  return peers.reduce((sum, { nodes }) => sum + nodes, 1);
}

/** Part of the live processes whose demand is known, this one included. */
function computeHeardPart(
  peers: readonly PeerDemand[],
  liveNodes: number,
): number {
  const heard = countHeard(peers);
  return heard / Math.max(heard, liveNodes);
}

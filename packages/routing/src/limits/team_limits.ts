/**
 * Limits of teams across all nodes, without a coordinator.
 *
 * Each node reports the demand of every team at it to its peers. Each second it
 * computes from all reports which share of the pool every team gets and which part
 * of that share is its own. The unit is the request in flight, weighted by its
 * cost, because the number of slots stays the same when endpoints slow down.
 * Nothing is limited while the pool is not contended. A peer that is alive but has
 * not reported is assumed to use an equal part. The part of a suspected peer goes
 * to the others, so the last node has all of it.
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

/** Requests admitted per slot: the surplus waits in the endpoints' queues. */
const queueFactor = 1.2;
/** Part of the capacity beyond which demand makes the pool contended. */
const contendedFraction = 0.8;
/** Multiple of its equal part that a node may use of an uncontended pool. */
const uncontendedBurstFactor = 2;
/** Multiple of its share beyond which a team's demand gets no burst allowance. */
const overloadFactor = 1.5;
/** Standard deviations by which a burst may exceed the mean. */
const burstDeviations = 3;
const minBurstRequests = 2;
/** Hold time assumed before any request has ended. */
const defaultHoldMs = 100;
/** Queued requests per slot beyond which the pool is overloaded. */
const overloadedQueueFraction = 0.5;
/** Additive increase and multiplicative decrease of the capacity factor. */
const capacityDecreaseFactor = 0.8;
const capacityIncreaseStep = 0.2;
const minCapacityFactor = 0.3;
const minRetryMs = 100;
const maxRetryMs = 10_000;
/** Weight of the latest request in the moving average of costs. */
const costWeight = 0.05;

/** Demand at one peer, or summed over several nodes. */
export interface PeerDemand {
  /** Number of nodes. */
  readonly nodes: number;
  readonly demand: readonly TeamDemand[];
}

/** Input of one recomputation of the limits. */
export interface LimitsUpdate {
  /** Peers that are not suspected and reported recently. */
  readonly peers: readonly PeerDemand[];
  /** Number of nodes that are not suspected, including this one. */
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
  /** Name of the pool, a label of metrics. */
  readonly pool: string;
  /** Unit of costs. */
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
  /** Cost in flight at this node beyond which limits apply without contention. */
  #uncontendedLimit = Infinity;
  #inFlight = 0;
  #updatedAt: number;
  #meanCost: number | undefined;
  /** Hold times over all teams. */
  readonly #poolMeter = TeamMeter.create();
  /** Part of the capacity that is shared out; below 1 while the pool is overloaded. */
  #capacityFactor = 1;

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

  /** Demand at this node as of the last update, which peers receive. */
  readDemand(): readonly TeamDemand[] {
    const isTokens = this.#options.unit === "tokens";
    return [...this.#meters].map(([team, { offeredRate }]) => ({
      team,
      requestsPerSecond: isTokens ? 0 : offeredRate,
      tokensPerSecond: isTokens ? offeredRate : 0,
    }));
  }

  /** Recomputes all limits; called about once a second. */
  update({ peers, liveNodes, capacity }: LimitsUpdate): void {
    this.#advanceMeters();
    // Slots count requests; a request's cost in tokens is unknown before the first.
    const meanCost = this.#meanCost ??
      (this.#options.unit === "requests" ? 1 : undefined);
    if (capacity === undefined || meanCost === undefined) {
      this.#contended = false;
      this.#uncontendedLimit = Infinity;
      return;
    }
    this.#updateCapacityFactor(capacity);
    const total = capacity.slots * queueFactor * this.#capacityFactor *
      meanCost;
    const reportingFraction = computeReportingFraction(peers, liveNodes);
    const needs = this.#computeNeeds(peers, reportingFraction);
    const demand = needs.reduce((sum, need) => sum + need.demand, 0);
    this.#contended = demand > contendedFraction * total ||
      capacity.queued > overloadedQueueFraction * capacity.slots;
    this.#uncontendedLimit = uncontendedBurstFactor * total /
      Math.max(1, liveNodes);
    this.#setPoolGauges({ demand, total, queued: capacity.queued });
    const spare = Math.max(0, total - demand);
    const limits = new Map<string, TeamLimit>();
    for (const share of computeShares(total, needs)) {
      const need = needs.find(({ team }) => team === share.team);
      const localFraction = this.#computeLocalFraction(share, {
        peers,
        reportingFraction,
      });
      limits.set(
        share.team,
        this.#createLimit(share, {
          demand: need?.demand ?? 0,
          spare,
          localFraction,
        }),
      );
    }
    this.#limits = limits;
    this.#setGauges();
  }

  #hasSpace(team: Team, cost: number): boolean {
    if (!this.#contended && this.#inFlight + cost <= this.#uncontendedLimit) {
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

  /** Reduces the capacity while the endpoints' queues are too long. */
  #updateCapacityFactor({ slots, queued }: PoolCapacity): void {
    this.#capacityFactor = queued > overloadedQueueFraction * slots
      ? Math.max(
        minCapacityFactor,
        this.#capacityFactor * capacityDecreaseFactor,
      )
      : Math.min(1, this.#capacityFactor + capacityIncreaseStep);
  }

  /** Demand over all nodes; silent nodes are assumed to be like reporting ones. */
  #computeNeeds(
    peers: readonly PeerDemand[],
    reportingFraction: number,
  ): readonly TeamNeed[] {
    const { teams } = this.#options.configuration.current();
    return teams.map(({ name, priority, share }) => {
      const offeredRate = this.#readRate(name) +
        this.#readPeerRate(name, peers);
      const demand = offeredRate * this.#readHold(name) / 1_000 /
        reportingFraction;
      return { team: name, priority, weight: share, demand };
    });
  }

  /** Fraction of a team's share that this node may use. */
  #computeLocalFraction(
    { team, satisfied }: TeamShare,
    { peers, reportingFraction }: {
      readonly peers: readonly PeerDemand[];
      readonly reportingFraction: number;
    },
  ): number {
    const equalFraction = reportingFraction / countReportingNodes(peers);
    const localRate = this.#readRate(team);
    const totalRate = localRate + this.#readPeerRate(team, peers);
    const localFraction = totalRate > 0
      ? reportingFraction * localRate / totalRate
      : equalFraction;
    return satisfied ? Math.max(localFraction, equalFraction) : localFraction;
  }

  #createLimit(
    share: TeamShare,
    { demand, spare, localFraction }: {
      readonly demand: number;
      readonly spare: number;
      readonly localFraction: number;
    },
  ): TeamLimit {
    const meanCost = this.#meanCost ?? 1;
    // Capacity without recent demand is available to each team that needs it now.
    const granted = share.satisfied
      ? Math.max(share.fairAmount, demand + spare)
      : share.amount;
    // Random rounding keeps the expected sum over the nodes equal to the share.
    const requests = Math.floor(
      granted * localFraction / meanCost + this.#options.random.next(),
    );
    // Demand near the share may exceed it by chance; an overload is far above it.
    const isOverload = demand > overloadFactor * share.amount;
    const mean = Math.min(demand, share.amount) * localFraction / meanCost;
    const minRequests = isOverload ? 1 : computeBurst(mean);
    const holdMs = this.#readHold(share.team);
    const excess = share.amount > 0 ? demand / share.amount : Infinity;
    return {
      amount: Math.max(minRequests, requests) * meanCost,
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
    return this.#meters.get(team)?.offeredRate ?? 0;
  }

  #readPeerRate(team: string, peers: readonly PeerDemand[]): number {
    const isTokens = this.#options.unit === "tokens";
    let offeredRate = 0;
    for (const { demand } of peers) {
      for (const entry of demand) {
        if (entry.team !== team) continue;
        offeredRate += isTokens
          ? entry.tokensPerSecond
          : entry.requestsPerSecond;
      }
    }
    return offeredRate;
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

/** Requests in flight that random arrivals with this mean rarely exceed. */
function computeBurst(mean: number): number {
  return Math.ceil(mean + burstDeviations * Math.sqrt(mean)) + minBurstRequests;
}

/** Number of nodes whose demand is known, including this one. */
function countReportingNodes(peers: readonly PeerDemand[]): number {
  return peers.reduce((sum, { nodes }) => sum + nodes, 1);
}

/** Fraction of the live nodes whose demand is known, including this one. */
function computeReportingFraction(
  peers: readonly PeerDemand[],
  liveNodes: number,
): number {
  const reporting = countReportingNodes(peers);
  return reporting / Math.max(reporting, liveNodes);
}

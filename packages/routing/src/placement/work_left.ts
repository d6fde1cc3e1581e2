/**
 * Estimates what a replica still has to do, from what this node sent there, what
 * other nodes report, and what the replica states.
 *
 * A report or statement tells of a moment that is gone. As it ages, the work that it
 * told of ends and other work comes, so the estimate nears the average of what was
 * told before (after Dahlin, "Interpreting Stale Load Information", 2000). Prompts
 * that this node sent count in full until their first event: a replica that has
 * stopped must not seem to have done them.
 *
 * Answers a load of tens to hundreds of nodes that each see a few requests a second:
 * if all believe an old report, all send to the replica that it showed as idle.
 */

import type { LoadStatement } from "./load_statement.ts";

/** Load that one or more nodes put on a replica. */
export interface NodeLoad {
  /** Requests that were sent and have not ended. */
  readonly active: number;
  /** Prompt tokens of requests without a first event. */
  readonly pendingTokens: number;
  /** Prompt tokens of all active requests. */
  readonly activeTokens: number;
}

/** Load of a replica as this node expects it. */
export interface EstimatedLoad extends NodeLoad {
  /** Pending tokens that are only known as an average. */
  readonly uncertainTokens: number;
}

const noLoad: NodeLoad = { active: 0, pendingTokens: 0, activeTokens: 0 };
/** Shortest time over which what peers told is averaged. */
const minAverageMs = 3_500;
/**
 * Shortest time over which what peers told is averaged, in ages of their reports: a
 * shorter average would follow what nodes did because of the last report, and swing.
 */
const averageAges = 3;
/** Time in which the pending prompts of a report are replaced by others to 1/e. */
const pendingWorthMs = 300;
/**
 * Longest time in which running requests of a report lose their worth to 1/e: the
 * other nodes send where it showed few.
 */
const activeWorthMs = 400;
/** Time before a statement in which this node's sends had not arrived. */
const unseenSendMs = 5;
/** Share of the reported requests below which no statement is believed. */
const leastStatedShare = 0.5;

/** When peers told of their load. */
export interface ReportTime {
  readonly now: number;
  /** Age that the peers' latest report had when it arrived, in milliseconds. */
  readonly ageMs: number;
}

/** Work of one replica. Times are monotonic, in milliseconds. */
export class WorkLeft {
  #own: NodeLoad = noLoad;
  #peers: NodeLoad = noLoad;
  /** Average of what peers told. */
  #peersAverage: NodeLoad | undefined;
  #averagedAt = -Infinity;
  #peersAt = -Infinity;
  #lastSendAt = -Infinity;
  /** Sends of the last moments, which a statement that comes now can't count. */
  #unseenSends = 0;
  #stated: StatedRequests | undefined;

  static create(): WorkLeft {
    return new WorkLeft();
  }

  /** Load that this node put on the replica. */
  get own(): NodeLoad {
    return this.#own;
  }

  /** Load of this node and its peers, as last told. */
  get told(): NodeLoad {
    return sum(this.#own, this.#peers);
  }

  /** Adds a change, which may be negative, to the load of this node. */
  addOwn(change: NodeLoad, now: number): void {
    this.#own = sum(this.#own, change);
    if (change.active <= 0) return;
    const isBurst = now - this.#lastSendAt < unseenSendMs;
    this.#unseenSends = (isBurst ? this.#unseenSends : 0) + change.active;
    this.#lastSendAt = now;
  }

  /** Sets what peers told, of which the latest is `ageMs` old. */
  setPeers(load: NodeLoad, { now, ageMs }: ReportTime): void {
    // Reports repeat a load until they tell another one.
    if (!isSame(load, this.#peers)) this.#peersAt = now - ageMs;
    this.#peers = load;
    const averageMs = Math.max(minAverageMs, ageMs * averageAges);
    const weight = 1 - Math.exp((this.#averagedAt - now) / averageMs);
    this.#averagedAt = now;
    this.#peersAverage = mix(this.#peersAverage ?? load, load, weight);
  }

  /** Records what the replica states in an answer. */
  recordStatement({ running, waiting }: LoadStatement, now: number): void {
    const isUnseen = now - this.#lastSendAt < unseenSendMs;
    this.#stated = {
      requests: running + waiting + (isUnseen ? this.#unseenSends : 0),
      ownActive: this.#own.active,
      at: now,
    };
  }

  /** Age of the last statement; undefined if there is none. */
  computeStatementAgeMs(now: number): number | undefined {
    return this.#stated === undefined ? undefined : now - this.#stated.at;
  }

  /**
   * Estimates the load at `now`.
   *
   * @param runMs Time that a request of the service runs.
   */
  estimate(now: number, runMs: number): EstimatedLoad {
    const average = this.#peersAverage ?? noLoad;
    const ageMs = Math.max(0, now - this.#peersAt);
    const worthMs = Math.max(1, Math.min(runMs, activeWorthMs));
    const active = mix(average, this.#peers, Math.exp(-ageMs / worthMs));
    const pendingWorth = Math.exp(-ageMs / pendingWorthMs);
    const pending = mix(average, this.#peers, pendingWorth);
    const reported = this.#own.active + active.active;
    return {
      active: this.#applyStatement(reported, now, runMs),
      pendingTokens: this.#own.pendingTokens + pending.pendingTokens,
      activeTokens: this.#own.activeTokens + active.activeTokens,
      uncertainTokens: average.pendingTokens * (1 - pendingWorth),
    };
  }

  /** Corrects the number of requests by what the replica stated. */
  #applyStatement(reported: number, now: number, runMs: number): number {
    if (this.#stated === undefined) return reported;
    const { requests, ownActive, at } = this.#stated;
    const sinceThen = this.#own.active - ownActive;
    const stated = Math.max(
      this.#own.active,
      reported * leastStatedShare,
      requests + sinceThen,
    );
    const worth = Math.exp((at - now) / Math.max(1, runMs));
    return reported + (stated - reported) * worth;
  }
}

interface StatedRequests {
  readonly requests: number;
  /** Requests of this node when the replica stated its load. */
  readonly ownActive: number;
  readonly at: number;
}

function sum(a: NodeLoad, b: NodeLoad): NodeLoad {
  return {
    active: a.active + b.active,
    pendingTokens: a.pendingTokens + b.pendingTokens,
    activeTokens: a.activeTokens + b.activeTokens,
  };
}

/** Mixes two loads, the second with the given weight. */
function mix(a: NodeLoad, b: NodeLoad, weight: number): NodeLoad {
  return {
    active: a.active + (b.active - a.active) * weight,
    pendingTokens: a.pendingTokens +
      (b.pendingTokens - a.pendingTokens) * weight,
    activeTokens: a.activeTokens + (b.activeTokens - a.activeTokens) * weight,
  };
}

function isSame(a: NodeLoad, b: NodeLoad): boolean {
  return a.active === b.active && a.pendingTokens === b.pendingTokens &&
    a.activeTokens === b.activeTokens;
}

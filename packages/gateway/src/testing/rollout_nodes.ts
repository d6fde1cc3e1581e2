/**
 * Nodes that carry out an order on a driven clock, without a network: they exchange
 * news and counts, and send requests at a steady rate to replicas of two versions.
 */

import { Left, Right } from "purify-ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import { composeStoreVersion } from "@almondcrank/infrastructure/store_version.ts";
import type {
  RolloutOrders,
  StateOutcome,
} from "@almondcrank/platform/rollout_orders.ts";
import type {
  DueState,
  RolloutEntry,
} from "@almondcrank/routing/rollouts/rollout_control.ts";
import { ReplicaTable } from "../choice/replica_table.ts";
import { RolloutDuty } from "../rollouts/rollout_duty.ts";
import {
  createRolloutParts,
  type RolloutParts,
} from "../rollouts/rollout_parts.ts";
import type { RouteTable } from "../routes/route_table.ts";
import { createReplica } from "./create_replica.ts";

export const rolloutService = "booking";
export const rolloutLimit = { share: 0.1, tolerance: 50 };

/** What the store does with calls of a node. */
export type OrdersFault = "none" | "down" | "lose_writes";

/** The operators' entry in a store that the test controls. */
export class FakeOrders {
  entry: RolloutEntry | undefined;
  era = 1;
  revision = 10;
  fault: OrdersFault = "none";
  /** Time that each call takes. */
  delayMs = 0;
  isAffected: (node: string) => boolean = () => true;
  readonly writes: DueState[] = [];
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  order(to: string, durationMs: number): void {
    this.revision += 1;
    this.#put({ to, durationMs, state: undefined });
  }

  withdraw(): void {
    this.revision += 1;
    this.entry = undefined;
  }

  /** Goes back to an earlier entry and revision, in a new era. */
  restore(entry: RolloutEntry | undefined, revision: number): void {
    this.era += 1;
    this.revision = revision;
    if (entry === undefined) this.entry = undefined;
    else this.#put(entry);
  }

  open(node: string): RolloutOrders {
    return {
      list: async () => {
        await this.#clock.sleep(this.delayMs);
        if (this.#isDown(node)) return Left(createOutage());
        return Right({
          version: this.#version,
          era: this.era,
          entries: this.entry === undefined ? [] : [this.entry],
        });
      },
      watch: async (since, waitMs) => {
        const endsAt = this.#clock.now() + waitMs;
        while (this.#clock.now() < endsAt && this.#version === since) {
          await this.#clock.sleep(20);
          if (this.#isDown(node)) return Left(createOutage());
        }
        const version = this.#version;
        return Right({
          change: version === since ? "unchanged" : "changed",
          version,
        });
      },
      writeState: async (due) => {
        await this.#clock.sleep(this.delayMs);
        if (this.#isDown(node)) return Left(createOutage());
        const outcome = this.#write(due);
        const isLost = this.fault === "lose_writes" && this.isAffected(node);
        return isLost ? Left(createOutage()) : Right(outcome);
      },
    };
  }

  get #version(): number {
    return composeStoreVersion({ era: this.era, revision: this.revision });
  }

  #isDown(node: string): boolean {
    return this.fault === "down" && this.isAffected(node);
  }

  #write(due: DueState): StateOutcome {
    const { entry } = this;
    if (entry?.version !== due.version) {
      return { kind: "conflict", current: entry };
    }
    this.writes.push(due);
    this.revision += 1;
    this.#put({ ...entry, state: due.state });
    return { kind: "written", version: this.#version };
  }

  #put(
    entry: Pick<RolloutEntry, "to" | "durationMs" | "state">,
  ): void {
    const { to, durationMs, state } = entry;
    const version = this.#version;
    this.entry = { service: rolloutService, to, durationMs, state, version };
  }
}

/** One node. */
export interface RolloutNode {
  readonly name: string;
  readonly parts: RolloutParts;
  readonly table: ReplicaTable;
  readonly lease: { fencingToken: number | undefined };
  readonly duty: RolloutDuty;
  readonly told: Map<string, number>;
  isAlive: boolean;
  /** Whether it exchanges news and counts with the others. */
  isConnected: boolean;
}

/** What the replicas of a version do. */
export interface VersionBehaviour {
  readonly hasFailed: (count: number) => boolean;
  readonly ms: number;
}

const routes = {
  configuration: { services: [{ name: rolloutService }] },
} as unknown as RouteTable;
const stepMs = 50;
const exchangeMs = 200;
const requestsPerStep = 6;

/** Nodes, their store and the requests that they send. */
export class RolloutNodes {
  readonly clock = ManualClock.create();
  readonly orders = new FakeOrders(this.clock);
  readonly nodes: RolloutNode[] = [];
  readonly random = Random.create(5);
  versions: readonly string[] = ["v1"];
  readonly sends: {
    readonly at: number;
    readonly version: string;
    readonly node: string;
  }[] = [];
  /** Requests for which no replica was allowed. */
  refused = 0;
  fresh: VersionBehaviour = { hasFailed: () => false, ms: 20 };
  #fencing = 0;
  #count = 0;

  static create(count: number): RolloutNodes {
    const system = new RolloutNodes();
    for (let at = 0; at < count; at += 1) system.addNode(`n${at}`);
    return system;
  }

  addNode(name: string): RolloutNode {
    const { clock } = this;
    const log = createSilentLog();
    const metrics = Metrics.create();
    const parts = createRolloutParts({ clock, metrics, log });
    const table = ReplicaTable.create({ drainMs: 2_000 });
    const lease: RolloutNode["lease"] = { fencingToken: undefined };
    const duty = RolloutDuty.create({
      ...parts,
      orders: this.orders.open(name),
      lease: {
        get fencingToken() {
          return lease.fencingToken;
        },
      },
      table,
      limit: rolloutLimit,
      clock,
      log,
      metrics,
      readRoutes: () => routes,
    });
    const node: RolloutNode = {
      name,
      parts,
      table,
      lease,
      duty,
      told: new Map(),
      isAlive: true,
      isConnected: true,
    };
    this.nodes.push(node);
    this.#applyReplicas(node);
    return node;
  }

  /** Gives a node the lease; the one that has it goes on believing it does. */
  grantLease(node: RolloutNode | undefined): void {
    if (node === undefined) throw new Error("there is no such node");
    this.#fencing += 1;
    node.lease.fencingToken = this.#fencing;
  }

  stop(node: RolloutNode | undefined): void {
    if (node === undefined) throw new Error("there is no such node");
    node.isAlive = false;
    node.lease.fencingToken = undefined;
    node.duty.dispose();
  }

  setVersions(versions: readonly string[]): void {
    this.versions = versions;
    for (const node of this.nodes) this.#applyReplicas(node);
  }

  /** Advances the clock and plays requests, checks and exchanges. */
  async run(ms: number): Promise<void> {
    const endsAt = this.clock.now() + ms;
    while (this.clock.now() < endsAt) {
      for (let at = 0; at < requestsPerStep; at += 1) this.#sendRequest();
      if (this.clock.now() % exchangeMs === 0) this.#exchange();
      await this.clock.advance(stepMs);
    }
  }

  countSends(version: string, since: number, until = Infinity): number {
    return this.sends.filter((send) =>
      send.version === version && send.at >= since && send.at <= until
    ).length;
  }

  close(): void {
    for (const { duty } of this.nodes) duty.dispose();
  }

  #applyReplicas({ table }: RolloutNode): void {
    const replicas = this.versions.flatMap((version, index) =>
      [1, 2, 3].map((copy) => ({
        ...createReplica({ id: `${version}-${copy}` }),
        service: rolloutService,
        softwareVersion: version,
        startedAtMs: 1_000 * (index + 1),
      }))
    );
    table.apply(replicas, { now: this.clock.now(), mayHaveExpired: false });
  }

  #sendRequest(): void {
    const alive = this.nodes.filter(({ isAlive }) => isAlive);
    const node = alive[this.#count % Math.max(1, alive.length)];
    if (node === undefined) return;
    this.#count += 1;
    const { table, parts: { gate }, name } = node;
    const states = table.listUsable(rolloutService);
    const draw = this.random.next();
    const [state] = gate.listAllowed(rolloutService, states, { draw })
      .filter((list) => list.length > 0)
      .map((list) => list[Math.floor(this.random.next() * list.length)]);
    if (state === undefined) {
      this.refused += 1;
      return;
    }
    const { softwareVersion: version } = state.replica;
    this.sends.push({ at: this.clock.now(), version, node: name });
    gate.recordSend(state);
    const isFresh = version !== "v1";
    const hasFailed = isFresh && this.fresh.hasFailed(this.#count);
    const time = (isFresh ? this.fresh.ms : 20) *
      (0.8 + 0.4 * this.random.next());
    gate.recordAnswer(state, {
      route: "r",
      measure: "whole",
      hasFailed,
      time: hasFailed ? undefined : time,
    });
  }

  #exchange(): void {
    const now = this.clock.now();
    const connected = this.nodes.filter(({ isAlive, isConnected }) =>
      isAlive && isConnected
    );
    for (const { parts: { gate } } of this.nodes) gate.check();
    for (const from of connected) {
      const news = JSON.parse(
        JSON.stringify(from.parts.news.compose(now) ?? null),
      );
      const changes = from.parts.counts.listOwn().map(([name, sum]) => {
        const change = sum - (from.told.get(name) ?? 0);
        from.told.set(name, sum);
        return [name, change] as const;
      });
      for (const to of connected) {
        if (to === from) continue;
        if (news !== null) to.parts.news.apply(news, now);
        for (const [name, change] of changes) {
          to.parts.counts.applyPeer(name, change);
        }
      }
    }
  }
}

function createOutage(): PlatformError {
  return PlatformError.create({
    kind: "unavailable",
    service: "object_api",
    reason: "the test's store is down",
  });
}

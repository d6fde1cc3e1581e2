/**
 * Configuration and replicas of a node, decoded from its copies of the feeds.
 *
 * The copies are decoded whenever they change. A configuration is applied only if
 * its version is higher than the current one.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import { readStoreEra } from "@almondcrank/infrastructure/store_version.ts";
import type { Bounds } from "@almondcrank/model/gateway_settings.ts";
import { decodeConfiguration } from "@almondcrank/platform/decode_configuration.ts";
import { decodeReplica } from "@almondcrank/platform/decode_replica.ts";
import { configurationKey } from "@almondcrank/platform/platform_store.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import { RouteTable } from "../routes/route_table.ts";
import type { FeedKind, FeedState } from "./feed_state.ts";

/** Time after a store outage in which missing entries may have expired. */
const lapseWindowMs = 6_000;
const syncPollMs = 5;
/** Margin for a watch that delivers nothing just before it is cut. */
const revocationMarginMs = 1_000;

/** Dependencies of a view. */
export interface StoreViewOptions {
  readonly clock: Clock;
  /** Clock that includes time in which the host was suspended. */
  readonly suspensionClock: Clock;
  readonly log: Log;
  /** Reads the bounds currently in force. */
  readonly readBounds: () => Bounds;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  readonly table: ReplicaTable;
}

/** Decoded state of the store, as one node knows it. */
export class StoreView {
  readonly #options: StoreViewOptions;
  readonly #configured = Emitter.create<RouteTable>();
  #routes: RouteTable | undefined;
  #replicasEra: number | undefined;

  private constructor(options: StoreViewOptions) {
    this.#options = options;
    options.feeds.configuration.onChanged(() => this.#applyConfiguration());
    options.feeds.replicas.onChanged(() => this.#applyReplicas());
    options.table.onLeaving((state) => this.#recordLeaving(state));
  }

  static create(options: StoreViewOptions): StoreView {
    return new StoreView(options);
  }

  /** Fired when a newer configuration takes effect. */
  readonly onConfigured: Event<RouteTable> = this.#configured.event;

  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Whether both the configuration and the replicas have been received. */
  get isSynced(): boolean {
    return this.#routes !== undefined && this.hasSyncedReplicas;
  }

  /** Waits until `isSynced`, or until `signal` aborts. */
  async waitUntilSynced(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!this.isSynced && !signal.aborted) {
      await clock.sleep(syncPollMs, signal);
    }
  }

  /** Whether the replicas have been received. */
  get hasSyncedReplicas(): boolean {
    return this.#options.feeds.replicas.isSynced;
  }

  /** Time since the configuration last matched the store, in milliseconds. */
  get configurationAgeMs(): number {
    const { suspensionClock, feeds } = this.#options;
    return suspensionClock.now() - feeds.configuration.confirmedAt;
  }

  /** Time of which no change of the registrations is older, in milliseconds. */
  get replicasAgeMs(): number {
    const { suspensionClock, feeds } = this.#options;
    return suspensionClock.now() - feeds.replicas.provenAt;
  }

  /** Whether the configuration is recent enough to trust its keys. */
  get hasFreshConfiguration(): boolean {
    const bounds = this.#options.readBounds();
    if (!bounds.failsClosed) return true;
    return this.configurationAgeMs < bounds.revocationMs - revocationMarginMs;
  }

  #applyConfiguration(): void {
    const { feeds, log } = this.#options;
    const object = feeds.configuration.listObjects()
      .find(({ key }) => key === configurationKey);
    const configuration = decodeConfiguration(object?.value);
    if (configuration === undefined) {
      if (object !== undefined) log.warn("the configuration is invalid.");
      return;
    }
    const present = this.#routes?.configuration.version ?? -1;
    if (configuration.version <= present) return;
    this.#routes = RouteTable.create(configuration);
    log.info("configuration in force.", {
      version: configuration.version,
      routes: configuration.routes.length,
    });
    this.#configured.fire(this.#routes);
  }

  #recordLeaving({ replica, readyUntil = -Infinity }: ReplicaState): void {
    const { clock, log } = this.#options;
    log.info("replica leaves.", {
      replica: replica.id,
      registered: replica.state,
      // It may have said so that long ago.
      readyMs: Math.round(clock.now() - readyUntil),
    });
  }

  /** Treats a restored store like one that was out of reach. */
  #applyEra(now: number): void {
    const { feeds, table, log } = this.#options;
    const era = readStoreEra(feeds.replicas.version.asOf);
    const previous = this.#replicasEra;
    this.#replicasEra = era;
    if (previous === undefined || previous >= era) return;
    log.warn("the store came back from an older copy.", { era });
    feeds.replicas.recordOutage(this.#options.suspensionClock.now());
    table.recordRestore(now);
  }

  #applyReplicas(): void {
    const { feeds, table, clock, suspensionClock, log } = this.#options;
    const now = clock.now();
    const replicas = feeds.replicas.listObjects().flatMap(({ key, value }) => {
      const id = key.slice(key.indexOf("/") + 1);
      return decodeReplica(id, value) ?? [];
    });
    this.#applyEra(now);
    const outageAgeMs = now - feeds.replicas.lastOutageAt;
    table.apply(replicas, {
      now,
      mayHaveExpired: outageAgeMs < lapseWindowMs,
      asOf: feeds.replicas.version.asOf,
    });
    log.info("replicas changed.", {
      asOf: feeds.replicas.version.asOf,
      provenMs: Math.round(suspensionClock.now() - feeds.replicas.confirmedAt),
      ready: replicas.filter(({ state }) => state === "ready").length,
      draining: replicas.filter(({ state }) => state === "draining").length,
    });
  }
}

/**
 * What a node believes of the configuration and the replicas.
 *
 * Decodes the copies of the store's objects whenever they change. A
 * configuration with a lower version than the present one is never taken up.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Bounds } from "@almondcrank/model/gateway_settings.ts";
import { decodeConfiguration } from "@almondcrank/platform/decode_configuration.ts";
import { decodeReplica } from "@almondcrank/platform/decode_replica.ts";
import { configurationKey } from "@almondcrank/platform/platform_store.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import { RouteTable } from "../routes/route_table.ts";
import type { FeedKind, FeedState } from "./feed_state.ts";

/** Time after an outage in which missing entries may have lapsed. */
const lapseWatchMs = 6_000;
const completePollMs = 5;
/** Margin for a watch that stayed silent just before it was cut. */
const revocationMarginMs = 1_000;

/** What a view needs. */
export interface StoreViewOptions {
  readonly clock: Clock;
  /** Clock that also counts time in which the host stood still. */
  readonly suspensionClock: Clock;
  readonly log: Log;
  /** Bounds in force at present. */
  readonly readBounds: () => Bounds;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  readonly table: ReplicaTable;
}

/** View of one node. */
export class StoreView {
  readonly #options: StoreViewOptions;
  readonly #configured = Emitter.create<RouteTable>();
  #routes: RouteTable | undefined;

  private constructor(options: StoreViewOptions) {
    this.#options = options;
    options.feeds.configuration.onChanged(() => this.#applyConfiguration());
    options.feeds.replicas.onChanged(() => this.#applyReplicas());
  }

  static create(options: StoreViewOptions): StoreView {
    return new StoreView(options);
  }

  /** Fired when a newer configuration is in force. */
  readonly onConfigured: Event<RouteTable> = this.#configured.event;

  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Whether configuration and replicas are known. */
  get isSynced(): boolean {
    return this.#routes !== undefined && this.hasSyncedReplicas;
  }

  /** Waits until all is known, at most until `signal` aborts. */
  async waitUntilSynced(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!this.isSynced && !signal.aborted) {
      await clock.sleep(completePollMs, signal);
    }
  }

  /** Whether the replicas have been read once. */
  get hasSyncedReplicas(): boolean {
    return this.#options.feeds.replicas.isSynced;
  }

  /** Time since the configuration surely was the store's. */
  get configurationAgeMs(): number {
    const { suspensionClock: proofClock, feeds } = this.#options;
    return proofClock.now() - feeds.configuration.confirmedAt;
  }

  /** Whether a key's withdrawal would be known by now. */
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
      if (object !== undefined) log.warn("the configuration cannot be read.");
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

  #applyReplicas(): void {
    const { feeds, table, clock, suspensionClock: proofClock, log } =
      this.#options;
    const now = clock.now();
    const replicas = feeds.replicas.listObjects().flatMap(({ key, value }) => {
      const id = key.slice(key.indexOf("/") + 1);
      return decodeReplica(id, value) ?? [];
    });
    const outageAgeMs = now - feeds.replicas.lastOutageAt;
    table.apply(replicas, { now, mayHaveExpired: outageAgeMs < lapseWatchMs });
    log.info("replicas changed.", {
      asOf: feeds.replicas.version.asOf,
      provenMs: Math.round(proofClock.now() - feeds.replicas.confirmedAt),
      ready: replicas.filter(({ state }) => state === "ready").length,
      draining: replicas.filter(({ state }) => state === "draining").length,
    });
  }
}

/**
 * Hosts that are about to be reclaimed.
 *
 * A few nodes of each data centre wait on the cloud API's notices; the others
 * hear of them through their peers. Each leaving endpoint is reported once,
 * whichever way the news came.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import {
  createDisposable,
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { LeavingEndpoint } from "@almondcrank/membership/membership.ts";
import { Backoff } from "@almondcrank/infrastructure/backoff.ts";
import type {
  CloudApi,
  NoticeBatch,
} from "@almondcrank/infrastructure/cloud_api.ts";

/** Counter of leaving endpoints, labelled `source`. */
export const leavingCounter = "almondcrank_leaving_endpoints_total";

const watchers = 2;
const noticeWaitMs = 10_000;
const idleMs = 3_000;
const retryInitialMs = 500;
const retryMaxMs = 5_000;
/** Time after its end in which a host's name still counts as leaving. */
const rememberMs = 600_000;

/** What the watch needs. */
export interface NoticeWatchOptions {
  readonly cloud: CloudApi;
  readonly configuration: ConfigurationSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly node: string;
  readonly zone: string;
  /** Lists nodes of this data centre that are alive, this one included. */
  readonly listZoneNodes: () => readonly string[];
}

/** Watch over reclaim notices. */
export class NoticeWatch implements Disposable {
  readonly #options: NoticeWatchOptions;
  readonly #log: Log;
  readonly #lifetime = DisposableStore.create();
  readonly #leaving = Emitter.create<LeavingEndpoint>();
  readonly #stopped = new AbortController();
  /** Monotonic time at which each leaving host vanishes. */
  readonly #vanishAt = new Map<string, number>();
  #sequence = 0;

  private constructor(options: NoticeWatchOptions) {
    this.#options = options;
    this.#log = options.log.createChild("fleet");
    this.#lifetime.register(createDisposable(() => this.#stopped.abort()));
    this.#lifetime.register(this.#leaving);
  }

  /** Starts watching if this node is one of its data centre's watchers. */
  static create(options: NoticeWatchOptions): NoticeWatch {
    const watch = new NoticeWatch(options);
    void watch.#run();
    return watch;
  }

  /** Fired once for each endpoint whose host is about to vanish. */
  readonly onLeaving: Event<LeavingEndpoint> = this.#leaving.event;

  /** Whether an endpoint's host is about to vanish or has vanished. */
  isLeaving({ host }: Pick<Endpoint, "host">): boolean {
    return this.#vanishAt.has(host);
  }

  /** Lists leaving endpoints of the configuration in force. */
  list(): LeavingEndpoint[] {
    const now = this.#options.clock.now();
    this.#removeOld(now);
    return this.#options.configuration.current().endpoints
      .flatMap(({ name, host }) => {
        const vanishAt = this.#vanishAt.get(host);
        return vanishAt === undefined
          ? []
          : [{ endpoint: name, remainingMs: Math.max(0, vanishAt - now) }];
      });
  }

  /** Takes in what a peer knows of a leaving endpoint. */
  recordPeerNotice({ endpoint, remainingMs }: LeavingEndpoint): void {
    const found = this.#options.configuration.current().endpoints
      .find(({ name }) => name === endpoint);
    if (found !== undefined) this.#record(found.host, remainingMs, "peer");
  }

  dispose(): void {
    this.#lifetime.dispose();
  }

  async #run(): Promise<void> {
    const { clock, cloud, random } = this.#options;
    const backoff = Backoff.create(random, {
      initialMs: retryInitialMs,
      maxMs: retryMaxMs,
    });
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      if (!this.#isWatcher()) {
        await clock.sleep(idleMs, signal);
        continue;
      }
      const batch = await cloud.waitNotices(this.#sequence, noticeWaitMs);
      if (signal.aborted) return;
      batch.ifRight((batch) => this.#handleBatch(batch));
      if (batch.isRight()) backoff.reset();
      await clock.sleep(
        batch.isRight() ? retryInitialMs : backoff.computePause(),
        signal,
      );
    }
  }

  #isWatcher(): boolean {
    const { hasher, zone, node, listZoneNodes } = this.#options;
    return computeRendezvousOrder(hasher, `notices ${zone}`, listZoneNodes())
      .slice(0, watchers).includes(node);
  }

  #handleBatch(batch: NoticeBatch): void {
    const { clock } = this.#options;
    for (const { host, reclaimAt } of batch.notices) {
      const remainingMs = reclaimAt - clock.wallTime();
      if (remainingMs > -rememberMs) {
        this.#record(host, Math.max(0, remainingMs), "cloud_api");
      }
    }
    // The cloud API's sequence starts over when it was replaced.
    this.#sequence = batch.sequence;
  }

  #record(
    host: string,
    remainingMs: number,
    source: "cloud_api" | "peer",
  ): void {
    const { clock, configuration, metrics } = this.#options;
    this.#removeOld(clock.now());
    if (this.#vanishAt.has(host)) return;
    this.#vanishAt.set(host, clock.now() + remainingMs);
    for (const endpoint of configuration.current().endpoints) {
      if (endpoint.host !== host) continue;
      metrics.count(leavingCounter, { source });
      this.#log.info(`host "${host}" is leaving.`, { remainingMs });
      this.#leaving.fire({ endpoint: endpoint.name, remainingMs });
    }
  }

  #removeOld(now: number): void {
    for (const [host, vanishAt] of this.#vanishAt) {
      if (vanishAt + rememberMs < now) this.#vanishAt.delete(host);
    }
  }
}

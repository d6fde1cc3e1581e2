/**
 * Watches for hosts that are about to be reclaimed.
 *
 * A few nodes of each data centre poll the cloud API for notices; the others
 * learn of them from their peers. Each leaving endpoint is reported once,
 * whichever source reports it first.
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

/** Nodes of each data centre that poll the cloud API. */
const watcherCount = 2;
const longPollMs = 10_000;
/**
 * Time after which a node that does not poll checks again whether it should.
 */
const watcherCheckMs = 3_000;
const retryInitialMs = 500;
const retryMaxMs = 5_000;
/** Time after its reclaim during which a host still counts as leaving. */
const retentionMs = 600_000;

/** Dependencies of a notice watch. */
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
  /** Lists the nodes of this data centre that are alive, including this one. */
  readonly listZoneNodes: () => readonly string[];
}

/** Task that records leaving hosts from notices and peers. */
export class NoticeWatch implements Disposable {
  readonly #options: NoticeWatchOptions;
  readonly #log: Log;
  readonly #lifetime = DisposableStore.create();
  readonly #leaving = Emitter.create<LeavingEndpoint>();
  readonly #stopped = new AbortController();
  /** Monotonic time at which each leaving host is reclaimed. */
  readonly #reclaimDeadlines = new Map<string, number>();
  #sequence = 0;

  private constructor(options: NoticeWatchOptions) {
    this.#options = options;
    this.#log = options.log.createChild("fleet");
    this.#lifetime.register(createDisposable(() => this.#stopped.abort()));
    this.#lifetime.register(this.#leaving);
  }

  /** Starts the task; it polls only while this node is one of the watchers. */
  static create(options: NoticeWatchOptions): NoticeWatch {
    const watch = new NoticeWatch(options);
    void watch.#run();
    return watch;
  }

  /** Fired once for each endpoint whose host is about to be reclaimed. */
  readonly onLeaving: Event<LeavingEndpoint> = this.#leaving.event;

  /** Whether a host is about to be reclaimed or was reclaimed recently. */
  isLeaving({ host }: Pick<Endpoint, "host">): boolean {
    return this.#reclaimDeadlines.has(host);
  }

  /** Lists the leaving endpoints of the configuration in force. */
  list(): LeavingEndpoint[] {
    const now = this.#options.clock.now();
    this.#removeExpired(now);
    return this.#options.configuration.current().endpoints
      .flatMap(({ name, host }) => {
        const deadline = this.#reclaimDeadlines.get(host);
        return deadline === undefined
          ? []
          : [{ endpoint: name, remainingMs: Math.max(0, deadline - now) }];
      });
  }

  /** Records a leaving endpoint that a peer reports. */
  recordPeerNotice({ endpoint, remainingMs }: LeavingEndpoint): void {
    const found = this.#options.configuration.current().endpoints
      .find(({ name }) => name === endpoint);
    if (found !== undefined) this.#recordHost(found.host, remainingMs, "peer");
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
        await clock.sleep(watcherCheckMs, signal);
        continue;
      }
      const batch = await cloud.waitNotices(this.#sequence, longPollMs);
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
      .slice(0, watcherCount).includes(node);
  }

  #handleBatch(batch: NoticeBatch): void {
    const { clock } = this.#options;
    for (const { host, reclaimAt } of batch.notices) {
      const remainingMs = reclaimAt - clock.wallTime();
      if (remainingMs > -retentionMs) {
        this.#recordHost(host, Math.max(0, remainingMs), "cloud_api");
      }
    }
    // A replaced cloud API restarts its sequence, so lower numbers are
    // accepted.
    this.#sequence = batch.sequence;
  }

  #recordHost(
    host: string,
    remainingMs: number,
    source: "cloud_api" | "peer",
  ): void {
    const { clock, configuration, metrics } = this.#options;
    this.#removeExpired(clock.now());
    if (this.#reclaimDeadlines.has(host)) return;
    this.#reclaimDeadlines.set(host, clock.now() + remainingMs);
    for (const endpoint of configuration.current().endpoints) {
      if (endpoint.host !== host) continue;
      metrics.count(leavingCounter, { source });
      this.#log.info(`host "${host}" is leaving.`, { remainingMs });
      this.#leaving.fire({ endpoint: endpoint.name, remainingMs });
    }
  }

  #removeExpired(now: number): void {
    for (const [host, deadline] of this.#reclaimDeadlines) {
      if (deadline + retentionMs < now) this.#reclaimDeadlines.delete(host);
    }
  }
}

/**
 * Finds leaving hosts in the platform's host list.
 *
 * The list lags: it may list dead hosts as live and omit live ones. So the
 * watch only uses it to mark hosts as leaving and never unmarks one: notices
 * and peers usually report earlier, and their reports take precedence.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { ConfigurationSource } from "@almondcrank/common/configuration.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { LeavingEndpoint } from "@almondcrank/membership/membership.ts";
import type {
  HostList,
  HostListing,
} from "@almondcrank/infrastructure/host_list.ts";

const defaultPeriodMs = 5_000;
/** Assumed time until the reclaim of a host that only the list reports. */
const assumedNoticeMs = 30_000;

/** Dependencies and settings of a host list watch. */
export interface HostListWatchOptions {
  readonly hosts: HostList;
  readonly configuration: ConfigurationSource;
  /** Whether this node currently reads the list for its data centre. */
  readonly isReader: () => boolean;
  /** Whether an endpoint is already marked as leaving, by its name. */
  readonly isLeaving: (endpoint: string) => boolean;
  readonly markLeaving: (leaving: readonly LeavingEndpoint[]) => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Mean time between reads, in milliseconds; 5 s if left out. */
  readonly periodMs?: number;
}

/** Task that reads the host list and marks endpoints of leaving hosts. */
export class HostListWatch implements Disposable {
  readonly #options: HostListWatchOptions;
  readonly #stopped = new AbortController();

  private constructor(options: HostListWatchOptions) {
    this.#options = options;
  }

  /** Starts the task; it reads the list only while this node is a reader. */
  static create(options: HostListWatchOptions): HostListWatch {
    const watch = new HostListWatch(options);
    void watch.#run();
    return watch;
  }

  dispose(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const { clock, random, isReader } = this.#options;
    const periodMs = this.#options.periodMs ?? defaultPeriodMs;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      if (isReader()) await this.#read();
      await clock.sleep(periodMs * (0.75 + random.next() / 2), signal);
    }
  }

  async #read(): Promise<void> {
    const listed = await this.#options.hosts.list();
    listed.ifLeft(({ kind }) =>
      this.#options.metrics.count("host_list_failures_total", { reason: kind })
    );
    listed.ifRight((listing) => this.#applyListing(listing));
  }

  #applyListing({ hosts }: HostListing): void {
    const { configuration, isLeaving, markLeaving, metrics } = this.#options;
    const names = new Set(
      hosts.filter(({ state }) => state === "leaving").map(({ host }) => host),
    );
    const leaving = configuration.current().endpoints
      .filter(({ name, host }) => names.has(host) && !isLeaving(name))
      .map(({ name }) => ({ endpoint: name, remainingMs: assumedNoticeMs }));
    if (leaving.length === 0) return;
    metrics.count("host_list_leaving_total", {}, leaving.length);
    markLeaving(leaving);
  }
}

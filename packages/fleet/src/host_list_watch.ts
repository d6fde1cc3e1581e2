/**
 * The platform's host list as a hint of hosts that are leaving.
 *
 * The list lags: it may call dead hosts live and live ones gone. So only one
 * thing is taken from it, that a host is leaving, and never that one is not:
 * notices and peers usually know earlier, and what they said stands.
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
/** Time a host is taken to have when nothing but the list says it leaves. */
const assumedNoticeMs = 30_000;

/** What the watch needs. */
export interface HostListWatchOptions {
  readonly hosts: HostList;
  readonly configuration: ConfigurationSource;
  /** Whether this node reads the list for its data centre at the moment. */
  readonly isReader: () => boolean;
  readonly isLeaving: (endpoint: string) => boolean;
  readonly markLeaving: (leaving: readonly LeavingEndpoint[]) => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly periodMs?: number;
}

/** Watch over the host list. */
export class HostListWatch implements Disposable {
  readonly #options: HostListWatchOptions;
  readonly #stopped = new AbortController();

  private constructor(options: HostListWatchOptions) {
    this.#options = options;
  }

  /** Starts to read the list whenever this node is a reader. */
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

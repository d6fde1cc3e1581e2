/**
 * Brings the engines of one shard to the configuration, while the lease is held.
 *
 * Each engine has a time of its next visit: at once after a change, soon while
 * it loads, with backoff after a failure, and at a slow pace otherwise, to notice
 * drift. A visit reads the engine's state and orders what differs. Visits are
 * bounded per round, so the traffic stays constant however much differs.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  Configuration,
  ConfigurationSource,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import {
  createDisposable,
  type Disposable,
} from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { Engine, EngineState } from "@almondcrank/endpoint/engine.ts";
import type { WeightStore } from "@almondcrank/infrastructure/weight_store.ts";
import { computeDesiredState, computePendingWork } from "./desired_state.ts";
import type { Lease } from "./lease.ts";
import type { OrderError } from "./order_error.ts";
import {
  type DesiredState,
  formatModels,
  type OrderSender,
} from "./order_sender.ts";
import {
  chooseLoads,
  type ServiceReadiness,
  type WaitingLoad,
} from "./weight_loads.ts";

/** Counter of visits, labelled `outcome`. */
export const visitsCounter = "almondcrank_reconcile_visits_total";

const roundMs = 1_000;
const visitsPerRound = 10;
const settledVisitMs = 60_000;
const loadingVisitMs = 3_000;
const firstRetryMs = 2_000;
const longestRetryMs = 60_000;
const drainedAfterMs = 120_000;
const maxActiveLoads = 8;

/** What a reconciler needs. */
export interface ReconcilerOptions {
  /** Zone whose engines it looks after. */
  readonly zone: string;
  readonly configuration: ConfigurationSource;
  readonly engines: (endpoint: Endpoint) => Engine;
  readonly lease: Lease;
  readonly sender: OrderSender;
  readonly weightStore: WeightStore;
  /** Whether an endpoint's host is about to be reclaimed. */
  readonly isLeaving: (endpoint: Endpoint) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** What is known of one engine. */
interface Tracked {
  endpoint: Endpoint;
  desired: DesiredState;
  /** The desired state in a form that compares. */
  key: string;
  visitAt: number;
  failures: number;
  isReady: boolean;
  /** Whether it was loading weights when last heard of. */
  isLoading: boolean;
  /** Desired state and fencing number of the last accepted order. */
  ordered: string | undefined;
  /** Monotonic time at which the endpoint was withdrawn. */
  withdrawnAt: number | undefined;
  /** Weights it waits for, once a visit has found that it does. */
  waitingBytes: number | undefined;
}

/** Reconciler of one shard. */
export class Reconciler implements Disposable {
  readonly #options: ReconcilerOptions;
  readonly #log: Log;
  readonly #stopped = new AbortController();
  readonly #lifetime = createDisposable(() => this.#stopped.abort());
  readonly #tracked = new Map<string, Tracked>();

  private constructor(options: ReconcilerOptions) {
    this.#options = options;
    this.#log = options.log.createChild("fleet");
  }

  /** Starts the task; it works only while the lease is held. */
  static create(options: ReconcilerOptions): Reconciler {
    const reconciler = new Reconciler(options);
    void reconciler.#run();
    return reconciler;
  }

  /** Engines that are in their desired state, of all in the shard. */
  get readiness(): ServiceReadiness {
    const all = [...this.#tracked.values()]
      .filter(({ withdrawnAt }) => withdrawnAt === undefined);
    return {
      ready: all.filter(({ isReady }) => isReady).length,
      all: all.length,
    };
  }

  dispose(): void {
    this.#lifetime.dispose();
  }

  async #run(): Promise<void> {
    const { clock, lease } = this.#options;
    while (!this.#stopped.signal.aborted) {
      if (lease.checkValid().isRight()) await this.runRound();
      else this.#tracked.clear();
      await clock.sleep(roundMs, this.#stopped.signal);
    }
  }

  /** Visits the engines that are due, then starts loads. */
  async runRound(): Promise<void> {
    this.#track(this.#options.configuration.current());
    const now = this.#options.clock.now();
    const due = [...this.#tracked.values()]
      .filter(({ visitAt }) => visitAt <= now)
      .sort((a, b) => a.visitAt - b.visitAt)
      .slice(0, visitsPerRound);
    await Promise.all(due.map((tracked) => this.#visit(tracked)));
    await this.#startLoads();
  }

  /** Takes in what the configuration asks of the shard's engines. */
  #track(configuration: Configuration): void {
    const now = this.#options.clock.now();
    const present = new Set<string>();
    for (const endpoint of configuration.endpoints) {
      if (endpoint.zone !== this.#options.zone) continue;
      const isLeaving = this.#options.isLeaving(endpoint);
      const role = isLeaving ? "drain" : "serve";
      const desired = computeDesiredState(configuration, endpoint, role);
      if (desired === undefined) continue;
      present.add(endpoint.name);
      this.#setDesired(endpoint, desired).withdrawnAt = undefined;
    }
    for (const [name, { endpoint, desired }] of [...this.#tracked]) {
      if (present.has(name)) continue;
      const tracked = this.#setDesired(endpoint, { ...desired, role: "drain" });
      tracked.withdrawnAt ??= now;
      const isDrained = tracked.isReady && tracked.ordered !== undefined;
      if (isDrained || now - tracked.withdrawnAt > drainedAfterMs) {
        this.#tracked.delete(name);
      }
    }
  }

  #setDesired(endpoint: Endpoint, desired: DesiredState): Tracked {
    const key = formatDesired(endpoint, desired);
    const known = this.#tracked.get(endpoint.name);
    if (known?.key === key) return known;
    const tracked: Tracked = {
      endpoint,
      desired,
      key,
      visitAt: this.#options.clock.now(),
      failures: 0,
      isReady: false,
      isLoading: false,
      ordered: undefined,
      withdrawnAt: known?.withdrawnAt,
      waitingBytes: undefined,
    };
    this.#tracked.set(endpoint.name, tracked);
    return tracked;
  }

  async #visit(tracked: Tracked): Promise<void> {
    const engine = this.#options.engines(tracked.endpoint);
    const state = await engine.readState();
    await state.caseOf<void | Promise<void>>({
      Left: (error) => this.#retryLater(tracked, error.kind),
      Right: (state) => this.#handleState(tracked, state),
    });
  }

  #handleState(tracked: Tracked, state: EngineState): void | Promise<void> {
    const { desired } = tracked;
    const wasOrdered = tracked.ordered === this.#formatOrdered(tracked);
    const work = computePendingWork(this.#options.configuration.current(), {
      state,
      desired,
      wasOrdered,
    });
    tracked.isReady = work.kind === "none";
    tracked.isLoading = work.kind === "loading";
    tracked.waitingBytes = undefined;
    tracked.failures = 0;
    switch (work.kind) {
      case "none":
        if (!wasOrdered && tracked.endpoint.checksFencing) {
          // Raises the engine's fencing number above earlier holders'.
          return this.#order(tracked);
        }
        return this.#visitLater(tracked, settledVisitMs, "in_state");
      case "order":
        return this.#order(tracked);
      case "loading":
        return this.#visitLater(tracked, loadingVisitMs, "loading");
      case "load":
        tracked.waitingBytes = work.bytes;
        return this.#visitLater(tracked, loadingVisitMs, "waiting_for_load");
    }
  }

  async #startLoads(): Promise<void> {
    const all = [...this.#tracked.values()];
    const waiting = all.flatMap((tracked): WaitingLoad[] =>
      tracked.waitingBytes === undefined ? [] : [{
        endpoint: tracked.endpoint.name,
        service: tracked.endpoint.service,
        bytes: tracked.waitingBytes,
      }]
    );
    if (waiting.length === 0) return;
    const own = all.filter(({ isLoading }) => isLoading).length;
    const rate = await this.#options.weightStore.readRate();
    const slots = rate.caseOf({
      // Without the store's word, one load at a time goes on.
      Left: () => own === 0 ? 1 : 0,
      Right: ({ activeLoads }) => maxActiveLoads - Math.max(activeLoads, own),
    });
    const readiness = computeReadiness(all);
    const chosen = chooseLoads({ waiting, readiness, slots });
    await Promise.all(chosen.map((name) => {
      const tracked = this.#tracked.get(name);
      if (tracked === undefined) return undefined;
      tracked.isLoading = true;
      return this.#order(tracked);
    }));
  }

  async #order(tracked: Tracked): Promise<void> {
    const { endpoint, desired } = tracked;
    tracked.waitingBytes = undefined;
    const engine = this.#options.engines(endpoint);
    const outcome = await this.#options.sender.send(
      { engine, endpoint },
      desired,
    );
    outcome.caseOf({
      Left: (error) => this.#handleRefusal(tracked, error),
      Right: () => {
        tracked.ordered = this.#formatOrdered(tracked);
        this.#visitLater(tracked, loadingVisitMs, "ordered");
      },
    });
  }

  #handleRefusal(tracked: Tracked, error: OrderError): void {
    const { detail } = error;
    switch (detail.kind) {
      case "waiting_out":
        return this.#visitLater(tracked, detail.remainingMs, "waiting_out");
      case "lease":
      case "endpoint":
      case "timeout":
        this.#retryLater(tracked, detail.kind);
        this.#log.warn("order failed.", {
          endpoint: tracked.endpoint.name,
          reason: error.message,
        });
    }
  }

  #retryLater(tracked: Tracked, reason: string): void {
    const ms = Math.min(longestRetryMs, firstRetryMs * 2 ** tracked.failures);
    tracked.failures += 1;
    tracked.isReady = false;
    tracked.isLoading = false;
    this.#visitLater(tracked, ms, reason);
  }

  #visitLater(tracked: Tracked, ms: number, outcome: string): void {
    const { clock, random, metrics } = this.#options;
    tracked.visitAt = clock.now() + ms * (0.9 + random.next() * 0.2);
    metrics.count(visitsCounter, { outcome });
  }

  #formatOrdered({ key }: Tracked): string {
    return `${this.#options.lease.checkValid().orDefault(0)} ${key}`;
  }
}

function formatDesired(endpoint: Endpoint, desired: DesiredState): string {
  const { address, checksFencing } = endpoint;
  const models = formatModels(desired.models);
  return `${address} ${checksFencing} ${desired.role} ${models}`;
}

function computeReadiness(
  all: readonly Tracked[],
): Map<string, ServiceReadiness> {
  const readiness = new Map<string, ServiceReadiness>();
  for (const { endpoint, isReady, withdrawnAt } of all) {
    if (withdrawnAt !== undefined) continue;
    const known = readiness.get(endpoint.service) ?? { ready: 0, all: 0 };
    readiness.set(endpoint.service, {
      ready: known.ready + (isReady ? 1 : 0),
      all: known.all + 1,
    });
  }
  return readiness;
}

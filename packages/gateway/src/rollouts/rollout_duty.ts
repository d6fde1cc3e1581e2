/**
 * Carries out the operators' orders of rollouts on the node that holds the duties'
 * lease.
 *
 * It waits for changes of the entries with long watches, so that days without an
 * order cost a few calls a minute. A version that nobody has checked makes it read
 * the entries at once, as replicas may register before a watch tells their order.
 * Reads and writes run beside the steps: a slow store must not let a step expire.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type {
  RolloutOrders,
  StateOutcome,
} from "@almondcrank/platform/rollout_orders.ts";
import type { RolloutBook } from "@almondcrank/routing/rollouts/rollout_book.ts";
import {
  type DueState,
  RolloutControl,
  type RolloutEvent,
} from "@almondcrank/routing/rollouts/rollout_control.ts";
import type { ExposureLimit } from "@almondcrank/routing/rollouts/rollout_plan.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import type { DutyLease } from "../duties/duty_lease.ts";
import { runDutyLoop } from "../duties/duty_loop.ts";
import type { RouteTable } from "../routes/route_table.ts";
import type { RolloutGate } from "./version_gate.ts";

/** Interval between steps. */
const stepMs = 200;
/** Longest wait of one watch. */
const watchWaitMs = 15_000;
/** Pause after a call that failed. */
const retryMs = 300;
/** Longest time that a watch takes to tell of a change. */
const watchDelayMs = 150;

/** What became of a write; one that failed may have been done. */
type WriteOutcome =
  | StateOutcome
  | { readonly kind: "failed"; readonly message: string };

/** Dependencies of the duty. */
export interface RolloutDutyOptions {
  readonly orders: RolloutOrders;
  readonly lease: Pick<DutyLease, "fencingToken">;
  readonly book: RolloutBook;
  readonly gate: RolloutGate;
  readonly table: ReplicaTable;
  readonly limit: ExposureLimit;
  /** Clock that includes time in which the host was suspended. */
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly readRoutes: () => RouteTable | undefined;
}

/** Duty of one node. */
export class RolloutDuty implements Disposable {
  readonly #options: RolloutDutyOptions;
  readonly #stopped = new AbortController();
  #control: RolloutControl;
  /** Version of the store as of the last read; undefined before one. */
  #version: number | undefined;
  /** Whether this holder has read the entries. */
  #hasRead = false;
  /** Latest time at which the entries were known. */
  #confirmedAt = -Infinity;
  #isListing = false;
  #listedAt = -Infinity;
  readonly #writing = new Set<string>();

  private constructor(options: RolloutDutyOptions) {
    this.#options = options;
    this.#control = this.#createControl();
  }

  /** Creates the duty and starts it. */
  static create(options: RolloutDutyOptions): RolloutDuty {
    const duty = new RolloutDuty(options);
    const { clock, lease } = options;
    const { signal } = duty.#stopped;
    void runDutyLoop({
      clock,
      lease,
      pollMs: stepMs,
      signal,
      discardState: () => duty.#discard(),
      step: () => Promise.resolve(duty.#step()),
    });
    void duty.#watch();
    return duty;
  }

  dispose(): void {
    this.#stopped.abort();
  }

  #discard(): void {
    this.#control = this.#createControl();
    this.#version = undefined;
    this.#hasRead = false;
  }

  #createControl(): RolloutControl {
    const { book, gate, limit, table, readRoutes } = this.#options;
    return RolloutControl.create({
      book,
      limit,
      readView: (service, to) => {
        const states = table.listUsable(service);
        const configured = readRoutes()?.configuration.services ?? [];
        const fresh = gate.countWarm(states, to);
        const { barred = [] } = book.find(service) ?? {};
        const isOld = (version: string): boolean =>
          version !== to && !barred.includes(version);
        return {
          versions: [
            ...new Set(states.map(({ replica }) => replica.softwareVersion)),
          ],
          isConfigured: configured.some(({ name }) => name === service),
          oldReplicas: states.filter(({ replica }) =>
            isOld(replica.softwareVersion)
          ).length,
          freshReplicas: fresh,
        };
      },
      readCounts: (record) => gate.readCounts(record),
      onEvent: (event) => this.#logEvent(event),
    });
  }

  /** Plans the steps and starts the calls that are due; never waits for them. */
  #step(): void {
    const { clock, lease, table, book } = this.#options;
    const { fencingToken } = lease;
    if (fencingToken === undefined) return;
    const isUnchecked = [...table.listAll()].some(({ replica, leavesAt }) =>
      leavesAt === undefined &&
      !book.isChecked(replica.service, replica.softwareVersion)
    );
    if (this.#version === undefined || isUnchecked) void this.#list();
    // Steps go on while the store is down: its orders were known.
    if (!this.#hasRead) return;
    this.#control.step(clock.now(), fencingToken);
    for (const due of this.#control.listDue()) {
      if (!this.#writing.has(due.service)) void this.#write(due);
    }
  }

  async #watch(): Promise<void> {
    const { clock, orders, lease } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const since = this.#version;
      if (lease.fencingToken === undefined || since === undefined) {
        await clock.sleep(stepMs, signal);
        continue;
      }
      const result = await orders.watch(since, watchWaitMs);
      if (this.#version === undefined) continue;
      const outcome = result.extract();
      if (!("change" in outcome)) {
        this.#options.log.warn("the orders of rollouts can't be watched.", {
          reason: outcome.message,
        });
        this.#version = undefined;
        await clock.sleep(retryMs, signal);
        continue;
      }
      switch (outcome.change) {
        case "unchanged":
          this.#confirmedAt = clock.now();
          this.#version = Math.max(this.#version, outcome.version);
          break;
        case "changed":
          // Until the entries are read, each step asks for them again.
          this.#version = undefined;
          await this.#list();
          break;
        case "expired":
          this.#version = undefined;
          break;
      }
    }
  }

  /** Reads all entries. */
  async #list(): Promise<void> {
    const { clock, orders, table, book, log } = this.#options;
    const sentAt = clock.now();
    if (this.#isListing || sentAt - this.#listedAt < retryMs) return;
    this.#isListing = true;
    this.#listedAt = sentAt;
    const control = this.#control;
    const seen = [...table.listAll()].map(({ replica }) => replica);
    const result = await orders.list();
    this.#isListing = false;
    const listed = result.extract();
    if (!("entries" in listed)) {
      log.warn("the orders of rollouts can't be read.", {
        reason: listed.message,
      });
      return;
    }
    // The lease changed hands meanwhile, or the answer comes from before a freeze.
    if (control !== this.#control) return;
    if (this.#options.lease.fencingToken === undefined) return;
    const now = clock.now();
    const { entries, era } = listed;
    const absentAt = Math.max(this.#confirmedAt, sentAt - watchDelayMs);
    control.applyAll(entries, { era, absentAt, now });
    this.#hasRead = true;
    this.#confirmedAt = sentAt;
    this.#version = Math.max(this.#version ?? 0, listed.version);
    for (const { service, softwareVersion } of seen) {
      const { order } = book.find(service) ?? {};
      if (order?.to === softwareVersion) continue;
      book.recordChecked(service, [softwareVersion]);
    }
  }

  async #write(due: DueState): Promise<void> {
    const { clock, orders, lease, log, metrics } = this.#options;
    // The condition on the version keeps a holder that is late from undoing an end.
    if (lease.fencingToken === undefined) return;
    const { service, to, state } = due;
    const control = this.#control;
    this.#writing.add(service);
    const sentAt = clock.now();
    const result = await orders.writeState(due);
    control.recordWriteTime(clock.now() - sentAt);
    const outcome = result.caseOf<WriteOutcome>({
      Left: ({ message }) => ({ kind: "failed", message }),
      Right: (outcome) => outcome,
    });
    metrics.count("rollout_writes_total", { state, outcome: outcome.kind });
    log.info("the state of a rollout was written.", {
      service,
      to,
      state,
      outcome: outcome.kind,
      reason: "message" in outcome ? outcome.message : undefined,
    });
    if (control === this.#control) {
      const now = clock.now();
      switch (outcome.kind) {
        case "written":
          control.recordWritten(due, outcome.version, now);
          break;
        case "conflict": {
          const { current } = outcome;
          if (current === undefined) this.#version = undefined;
          else control.applyEntry(current, { absentAt: now, now });
          break;
        }
        case "failed":
          // It may have been done, or be done later.
          await this.#list();
          await clock.sleep(retryMs, this.#stopped.signal);
          break;
      }
    }
    this.#writing.delete(service);
  }

  #logEvent({ kind, service, to, reason }: RolloutEvent): void {
    const { log, metrics } = this.#options;
    metrics.count("rollout_events_total", { kind });
    const fields = { service, to, reason };
    switch (kind) {
      case "taken":
        return log.info("an order of a rollout was taken up.", fields);
      case "ignored":
        return log.warn("an order of a rollout can't be carried out.", fields);
      case "withdrawn":
        return log.warn("an order of a rollout is gone.", fields);
      case "step":
        return log.info("a rollout made a step.", fields);
      case "stopped":
        return log.warn("a new version is taken back.", fields);
      case "ended":
        return log.info("a rollout ended.", fields);
      case "restored":
        return log.warn("the end of a rollout is written again.", fields);
    }
  }
}

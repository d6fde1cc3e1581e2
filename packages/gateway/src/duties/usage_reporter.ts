/**
 * Reports the usage of each window once, also when its holder changes.
 *
 * The counts of a window are written to the store under a condition before they
 * are sent. Whoever takes the duty over sends what is written, to the letter, so
 * the platform never gets two counts for one window.
 */

import { z } from "zod";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import type { Bounds } from "@almondcrank/model/gateway_settings.ts";
import type {
  PlatformCloud,
  UsageReport,
} from "@almondcrank/platform/platform_cloud.ts";
import type { MemberTable } from "../cluster/member_table.ts";
import type { DutyLease } from "./duty_lease.ts";
import { runDutyLoop } from "./duty_loop.ts";
import type { UsageCounts } from "./usage_counts.ts";

const recordKey = "duties/usage";
const pollMs = 400;
/** Time after a window's end in which the nodes' sums arrive. */
const settleMs = 1_500;
/** The same while a node that may live is silent. */
const longSettleMs = 6_000;
/** Windows for which a report is kept beyond those that are still due. */
const keptWindows = 2;

const reportRecord = z.object({
  reports: z.array(z.object({
    window: z.number(),
    counts: z.record(z.string(), z.number()),
  })),
});

/** What a reporter needs. */
export interface UsageReporterOptions {
  readonly store: ObjectStore;
  readonly cloud: Pick<PlatformCloud, "sendUsage">;
  readonly lease: Pick<DutyLease, "fencing" | "readProof">;
  readonly counts: UsageCounts;
  readonly members: MemberTable;
  readonly clock: Clock;
  readonly log: Log;
  readonly bounds: Bounds;
}

interface StoredReports {
  readonly version: number;
  readonly reports: readonly UsageReport[];
}

/** Reporter of one node. */
export class UsageReporter implements Disposable {
  readonly #options: UsageReporterOptions;
  readonly #stopped = new AbortController();
  readonly #sent = new Set<number>();
  readonly #firstWindow: number;
  #stored: StoredReports | undefined;

  private constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#firstWindow = options.counts.readWindow();
  }

  /** Starts at once; reports only while the lease is held. */
  static create(options: UsageReporterOptions): UsageReporter {
    const reporter = new UsageReporter(options);
    void reporter.#start();
    return reporter;
  }

  dispose(): void {
    this.#stopped.abort();
  }

  #start(): Promise<void> {
    const { clock, lease } = this.#options;
    return runDutyLoop({
      clock,
      lease,
      pollMs,
      signal: this.#stopped.signal,
      discardState: () => {
        this.#stored = undefined;
      },
      step: () => this.#reportAll(),
    });
  }

  async #reportAll(): Promise<void> {
    this.#stored ??= await this.#read();
    if (this.#stored === undefined) return;
    const present = this.#options.counts.readWindow();
    for (let window = this.#readFirstDue(); window < present; window++) {
      if (this.#sent.has(window) || !this.#isSettled(window)) continue;
      if (!await this.#report(window)) return;
    }
  }

  /** Oldest window that is reported if it was not yet. */
  #readFirstDue(): number {
    const { bounds, counts } = this.#options;
    const dueWindows = Math.ceil(bounds.usageDueMs / bounds.usageWindowMs);
    return counts.readWindow() - dueWindows - 1;
  }

  /** Whether the sums of the nodes have had time to arrive. */
  #isSettled(window: number): boolean {
    const { bounds, counts, members, clock } = this.#options;
    const now = clock.now();
    const endMs = (window + 1) * bounds.usageWindowMs;
    const wallTime = members.computeWallTime(now, clock.wallTime());
    const silent = members.listKnown(now).length -
      members.listAlive(now).length;
    // A window before this node's start may lack what others counted.
    if (window < this.#firstWindow - 1) return this.#find(window) !== undefined;
    const waitMs = silent > 0 ? longSettleMs : settleMs;
    return counts.readWindow() > window && wallTime - endMs >= waitMs;
  }

  #find(window: number): UsageReport | undefined {
    return this.#stored?.reports.find((report) => report.window === window);
  }

  /** Writes a window's counts, then sends them; false to try again later. */
  async #report(window: number): Promise<boolean> {
    const report = this.#find(window) ?? await this.#write(window);
    if (report === undefined) return false;
    const { lease, cloud, log } = this.#options;
    const proof = lease.readProof();
    if (proof === undefined) return false;
    const outcome = await cloud.sendUsage(report, proof);
    return outcome.caseOf({
      Left: (error) => {
        log.warn("usage was not reported.", { window, reason: error.message });
        return false;
      },
      Right: (outcome) => {
        log.info("usage reported.", { window, outcome });
        this.#sent.add(window);
        return true;
      },
    });
  }

  async #write(window: number): Promise<UsageReport | undefined> {
    const stored = this.#stored;
    if (stored === undefined) return undefined;
    const { store, counts } = this.#options;
    const report = { window, counts: counts.computeTotals(window) };
    // A report that another holder could still write again must stay.
    const oldestKept = this.#readFirstDue() - keptWindows;
    const reports = [...stored.reports, report]
      .filter((other) => other.window >= oldestKept);
    const written = await store.write(
      recordKey,
      { reports },
      stored.version === 0
        ? { kind: "absent" }
        : { kind: "version", version: stored.version },
    );
    // After a failure or a conflict the record is read anew.
    this.#stored = undefined;
    return written.caseOf<UsageReport | undefined>({
      Left: () => undefined,
      Right: (outcome) => {
        if (outcome.kind === "conflict") return undefined;
        this.#stored = { version: outcome.version, reports };
        return report;
      },
    });
  }

  async #read(): Promise<StoredReports | undefined> {
    const read = await this.#options.store.read(recordKey);
    return read.caseOf<StoredReports | undefined>({
      Left: () => undefined,
      Right: (object) => {
        if (object === undefined) return { version: 0, reports: [] };
        const record = reportRecord.safeParse(object.value).data;
        return { version: object.version, reports: record?.reports ?? [] };
      },
    });
  }
}

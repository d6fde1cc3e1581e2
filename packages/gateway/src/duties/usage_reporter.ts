/**
 * Reports the usage of each window to the platform, with the same counts on every
 * attempt, also when the duty lease changes its holder.
 *
 * The counts of a window are stored with a conditional write before they are sent.
 * A new holder sends exactly the stored counts, so the platform never gets two
 * different reports for one window.
 *
 * A store that comes back from an older copy lacks the latest reports. This node
 * stores those again that it knows. A window that ended before and of which it
 * knows no report may have been reported by another node, so it is left out.
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
/** Time after a window's end in which the nodes' sums arrive, besides rounds. */
const settleMs = 1_100;
/** Rounds of reports in which they arrive. */
const settleRounds = 2;
/** The same while a node that may be running is silent. */
const silentNodeSettleMs = 6_000;
/**
 * Share of the nodes alive whose counts a report has to include. Some may have
 * started after the window, but far fewer than this means that the sums of others
 * do not arrive here, and another holder may have them.
 */
const minCountedShare = 0.35;
/** Number of windows before the oldest due one whose reports stay stored. */
const extraStoredWindows = 2;

const reportRecord = z.object({
  reports: z.array(z.object({
    window: z.number(),
    counts: z.record(z.string(), z.number()),
  })),
});

/** Dependencies of a usage reporter. */
export interface UsageReporterOptions {
  readonly store: ObjectStore;
  readonly cloud: Pick<PlatformCloud, "sendUsage">;
  readonly lease: Pick<DutyLease, "fencingToken" | "readProof">;
  readonly counts: UsageCounts;
  readonly members: MemberTable;
  readonly clock: Clock;
  readonly log: Log;
  readonly bounds: Bounds;
  /**
   * Reads the monotonic time at which this node learned that the store came back
   * from an older copy; -Infinity if it has not.
   */
  readonly readRestoredAt: () => number;
}

/** The stored reports and the version of their object; version 0 if absent. */
interface StoredReports {
  readonly version: number;
  readonly reports: readonly UsageReport[];
}

/** Usage reporter of one node; reports only while the node holds the duty lease. */
export class UsageReporter implements Disposable {
  readonly #options: UsageReporterOptions;
  readonly #stopped = new AbortController();
  readonly #sent = new Set<number>();
  readonly #firstWindow: number;
  /** Reports that this node has read or written, by window. */
  readonly #known = new Map<number, UsageReport>();
  #stored: StoredReports | undefined;
  /** Last window that was held back since it included too few nodes. */
  #uncounted: number | undefined;

  private constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#firstWindow = options.counts.readWindow();
  }

  /** Creates and starts the reporter. */
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
    const currentWindow = this.#options.counts.readWindow();
    for (
      let window = this.#computeFirstDue();
      window < currentWindow;
      window++
    ) {
      if (this.#sent.has(window) || !this.#isSettled(window)) continue;
      if (!await this.#report(window)) return;
    }
  }

  /** Computes the oldest window that still has to be reported if it was not. */
  #computeFirstDue(): number {
    const { bounds, counts } = this.#options;
    const dueWindows = Math.ceil(bounds.usageDueMs / bounds.usageWindowMs);
    return counts.readWindow() - dueWindows - 1;
  }

  /** Computes the first window that had not ended at the last restore. */
  #computeFirstAfterRestore(wallTime: number, now: number): number {
    const { bounds, readRestoredAt } = this.#options;
    const restoredAt = wallTime - (now - readRestoredAt());
    return Math.floor(restoredAt / bounds.usageWindowMs);
  }

  /** Whether the sums of all nodes have had time to arrive. */
  #isSettled(window: number): boolean {
    const { bounds, counts, members, clock } = this.#options;
    const now = clock.now();
    const endMs = (window + 1) * bounds.usageWindowMs;
    const wallTime = members.computeWallTime(now, clock.wallTime());
    const silentNodes = members.listKnown(now).length -
      members.listAlive(now).length;
    // For windows before its start this node may lack other nodes' counts.
    const isUnknown = window < this.#firstWindow - 1 ||
      window < this.#computeFirstAfterRestore(wallTime, now);
    if (isUnknown) return this.#find(window) !== undefined;
    // The counts of most nodes would be missing.
    if (members.isIsolated(now) || !this.#checkCounted(window)) return false;
    const waitMs = silentNodes > 0
      ? silentNodeSettleMs
      : settleMs + members.roundMs * settleRounds;
    return counts.readWindow() > window && wallTime - endMs >= waitMs;
  }

  /** Whether the totals of a window include enough nodes. */
  #checkCounted(window: number): boolean {
    const { counts, members, clock, log } = this.#options;
    const nodes = members.listAlive(clock.now()).length + 1;
    const counted = Math.max(1, counts.computeNodes(window));
    if (counted >= nodes * minCountedShare) return true;
    if (this.#uncounted !== window) {
      log.warn("usage is not reported, most nodes are missing in it.", {
        window,
        counted,
        nodes,
      });
    }
    this.#uncounted = window;
    return false;
  }

  #find(window: number): UsageReport | undefined {
    return this.#stored?.reports.find((report) => report.window === window);
  }

  /** Stores a window's counts, then sends them; false to try again later. */
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
        const requests = Object.values(report.counts)
          .reduce((sum, count) => sum + count, 0);
        log.info("usage reported.", { window, outcome, requests });
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
    // A report that another holder could still write must stay stored.
    const oldestKept = this.#computeFirstDue() - extraStoredWindows;
    this.#forgetBefore(oldestKept);
    const reports = [...stored.reports, report]
      .filter((other) => other.window >= oldestKept);
    const written = await store.write(
      recordKey,
      { reports },
      stored.version === 0
        ? { kind: "absent" }
        : { kind: "version", version: stored.version },
    );
    // After a failure or a conflict the record is read again.
    this.#stored = undefined;
    return written.caseOf<UsageReport | undefined>({
      Left: () => undefined,
      Right: (outcome) => {
        if (outcome.kind === "conflict") return undefined;
        this.#stored = { version: outcome.version, reports };
        this.#known.set(window, report);
        return report;
      },
    });
  }

  async #read(): Promise<StoredReports | undefined> {
    const read = await this.#options.store.read(recordKey);
    return read.caseOf<StoredReports | undefined>({
      Left: () => undefined,
      Right: (object) => {
        if (object === undefined) {
          return { version: 0, reports: this.#merge([]) };
        }
        const record = reportRecord.safeParse(object.value).data;
        return {
          version: object.version,
          reports: this.#merge(record?.reports ?? []),
        };
      },
    });
  }

  /** Adds the reports that this node knows and a restored store lacks. */
  #merge(stored: readonly UsageReport[]): readonly UsageReport[] {
    for (const report of stored) {
      if (!this.#known.has(report.window)) {
        this.#known.set(report.window, report);
      }
    }
    return [...this.#known.values()];
  }

  #forgetBefore(oldest: number): void {
    for (const window of this.#known.keys()) {
      if (window < oldest) this.#known.delete(window);
    }
  }
}

/**
 * Checks of a soak's records beside replicas that name a limit of requests.
 */

import { contactMs } from "@almondcrank/standin/platform/node_settings.ts";
import type {
  FaultSpan,
  Finding,
  LimitRecord,
  RunRecord,
  SoakRecords,
} from "./records.ts";

const windowMs = 4_000;
/** What may reach a replica in a window, of what its limit allows. */
const allowedShare = 1.5;
const allowedExtra = 5;

/** Finds replicas that got more requests than the limits that they named. */
export function checkLimits(
  { limits, runs, faults }: SoakRecords,
): readonly Finding[] {
  return limits.flatMap((limit) => {
    const own = runs.filter(({ replica }) => replica === limit.replica);
    return own.filter(({ startedAt }) => isChecked(startedAt, limit, faults))
      .map((first) => listWindow(first, own))
      .filter((window) => window.length > computeAllowed(limit))
      .slice(0, 1)
      .map((window) => ({
        promise: "a replica's limit is kept",
        request: window.at(-1)?.id ?? "",
        detail: `${window.length} requests in ${windowMs} ms at ` +
          `${limit.replica}, allowed ${computeAllowed(limit)}`,
      }));
  });
}

function computeAllowed({ perSecond }: LimitRecord): number {
  return allowedShare * perSecond * windowMs / 1_000 + allowedExtra;
}

/** Whether the limit binds in the window that begins at `from`. */
function isChecked(
  from: number,
  limit: LimitRecord,
  faults: readonly FaultSpan[],
): boolean {
  const to = from + windowMs;
  if (from < limit.from + contactMs || to > limit.to) return false;
  return faults.every((fault) =>
    !isInterrupting(fault) || fault.to + contactMs < from || fault.from > to
  );
}

/** Whether a fault keeps nodes from telling each other of a limit. */
function isInterrupting({ name }: FaultSpan): boolean {
  return (name.startsWith("node_") && name !== "node_hup") ||
    name.startsWith("replica_link_");
}

function listWindow(
  first: RunRecord,
  runs: readonly RunRecord[],
): readonly RunRecord[] {
  return runs.filter(({ startedAt }) =>
    startedAt >= first.startedAt && startedAt < first.startedAt + windowMs
  );
}

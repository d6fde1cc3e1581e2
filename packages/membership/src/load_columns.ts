/**
 * Loads of endpoints as columns of a message, and which changes are worth one.
 */

import type { EndpointLoad } from "./membership.ts";
import type { LoadColumns } from "./messages.ts";

/** Load with the origin's version at its last change. */
export interface VersionedLoad {
  readonly load: EndpointLoad;
  readonly version: number;
  /** Local monotonic time to which the load's age refers. */
  readonly receivedAt: number;
}

/** Relative change of a quantity that is worth a message. */
const materialShare = 0.1;

/** Whether routing could decide differently with `next` than with `last`. */
export function isMaterialChange(
  last: EndpointLoad,
  next: EndpointLoad,
): boolean {
  if (last.reachable !== next.reachable || last.slots !== next.slots) {
    return true;
  }
  const slotStep = Math.max(1, next.slots * materialShare);
  return Math.abs(last.running - next.running) >= slotStep ||
    isFar(last.queued, next.queued) ||
    isFar(last.queuedTokens, next.queuedTokens) ||
    isFar(last.prefillTokensPerSecond, next.prefillTokensPerSecond) ||
    isFar(last.betweenTokensMs, next.betweenTokensMs);
}

function isFar(last: number, next: number): boolean {
  return Math.abs(last - next) > materialShare * Math.max(last, next);
}

/** Writes loads as columns, sorted by name so that they compress well. */
export function encodeLoads(
  loads: readonly VersionedLoad[],
  now: number,
): LoadColumns {
  const sorted = [...loads]
    .sort((a, b) => (a.load.endpoint < b.load.endpoint ? -1 : 1));
  const pick = (read: (load: EndpointLoad) => number): number[] =>
    sorted.map(({ load }) => read(load));
  return {
    endpoints: sorted.map(({ load }) => load.endpoint),
    versions: sorted.map(({ version }) => version),
    agesMs: sorted.map(({ load, receivedAt }) =>
      Math.round((load.ageMs + now - receivedAt) / 10) * 10
    ),
    queued: pick((load) => load.queued),
    running: pick((load) => load.running),
    slots: pick((load) => load.slots),
    queuedTokens: pick((load) => Math.round(load.queuedTokens)),
    prefillTokensPerSecond: pick((load) =>
      Math.round(load.prefillTokensPerSecond)
    ),
    betweenTokensMs: pick((load) => Math.round(load.betweenTokensMs * 10) / 10),
    reachable: pick((load) => (load.reachable ? 1 : 0)),
  };
}

/** Reads loads from columns; columns of unequal length give fewer loads. */
export function decodeLoads(
  columns: LoadColumns,
  now: number,
): readonly VersionedLoad[] {
  return columns.endpoints.map((endpoint, i) => ({
    version: columns.versions[i] ?? 0,
    receivedAt: now,
    load: {
      endpoint,
      ageMs: columns.agesMs[i] ?? 0,
      queued: columns.queued[i] ?? 0,
      running: columns.running[i] ?? 0,
      slots: columns.slots[i] ?? 0,
      queuedTokens: columns.queuedTokens[i] ?? 0,
      prefillTokensPerSecond: columns.prefillTokensPerSecond[i] ?? 0,
      betweenTokensMs: columns.betweenTokensMs[i] ?? 0,
      reachable: columns.reachable[i] === 1,
    },
  }));
}

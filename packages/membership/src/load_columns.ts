/**
 * Encodes endpoint loads as columns of a message, and decides which changes of
 * load are worth sending.
 */

import type { EndpointLoad } from "./membership.ts";
import type { LoadColumns } from "./messages.ts";

/** Load with the version of the origin's record at which it last changed. */
export interface VersionedLoad {
  readonly load: EndpointLoad;
  readonly version: number;
  /** Local monotonic time to which the load's age refers, in milliseconds. */
  readonly receivedAt: number;
}

/** Stands for no limit of requests in a column. */
const noLimit = -1;
/** Relative change of a value from which it is sent. */
const materialChangeShare = 0.1;

/** Whether `next` could lead routing to another decision than `last`. */
export function isMaterialChange(
  last: EndpointLoad,
  next: EndpointLoad,
): boolean {
  if (last.reachable !== next.reachable || last.slots !== next.slots) {
    return true;
  }
  // Also an unchanged limit: nodes count the time since it was last stated.
  if ((last.requestsPerSecond ?? next.requestsPerSecond) !== undefined) {
    return true;
  }
  const slotStep = Math.max(1, next.slots * materialChangeShare);
  return Math.abs(last.running - next.running) >= slotStep ||
    isMaterialDifference(last.queued, next.queued) ||
    isMaterialDifference(last.queuedTokens, next.queuedTokens) ||
    isMaterialDifference(
      last.prefillTokensPerSecond,
      next.prefillTokensPerSecond,
    ) ||
    isMaterialDifference(last.betweenTokensMs, next.betweenTokensMs);
}

function isMaterialDifference(last: number, next: number): boolean {
  return Math.abs(last - next) > materialChangeShare * Math.max(last, next);
}

/** Encodes loads as columns, sorted by endpoint so that they compress well. */
export function encodeLoads(
  loads: readonly VersionedLoad[],
  now: number,
): LoadColumns {
  const sorted = [...loads]
    .sort((a, b) => (a.load.endpoint < b.load.endpoint ? -1 : 1));
  const listValues = (read: (load: EndpointLoad) => number): number[] =>
    sorted.map(({ load }) => read(load));
  return {
    endpoints: sorted.map(({ load }) => load.endpoint),
    versions: sorted.map(({ version }) => version),
    agesMs: sorted.map(({ load, receivedAt }) =>
      Math.round((load.ageMs + now - receivedAt) / 10) * 10
    ),
    queued: listValues((load) => load.queued),
    running: listValues((load) => load.running),
    slots: listValues((load) => load.slots),
    queuedTokens: listValues((load) => Math.round(load.queuedTokens)),
    prefillTokensPerSecond: listValues((load) =>
      Math.round(load.prefillTokensPerSecond)
    ),
    betweenTokensMs: listValues((load) =>
      Math.round(load.betweenTokensMs * 10) / 10
    ),
    reachable: listValues((load) => (load.reachable ? 1 : 0)),
    requestsPerSecond:
      sorted.some(({ load }) => load.requestsPerSecond !== undefined)
        ? listValues((load) => load.requestsPerSecond ?? noLimit)
        : [],
  };
}

/**
 * Decodes loads from columns: one for each endpoint. Values that are missing in
 * a shorter column read as 0.
 */
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
      ...decodeLimit(columns.requestsPerSecond[i]),
    },
  }));
}

function decodeLimit(
  value: number | undefined,
): Pick<EndpointLoad, "requestsPerSecond"> {
  return value === undefined || value === noLimit
    ? {}
    : { requestsPerSecond: value };
}

/**
 * What reports say of replicas: their loads, and the limits of requests a second
 * that they name.
 */

import type { ReplicaTable } from "../choice/replica_table.ts";
import type { LoadEntry, PeerReport } from "./peer_messages.ts";

/** Limits told in one report; those with the latest answers. */
const maxToldLimits = 64;
/** Age of an answer from which it is no longer told. */
const maxToldAgeMs = 30_000;
/** Time for which the end of a limit is told. */
const tellEndMs = 3_000;

/** Lists the load that this node puts on each replica. */
export function listOwnLoads(table: ReplicaTable): PeerReport["loads"] {
  const loads: LoadEntry[] = [];
  for (const { key, ownLoad: own } of table.listAll()) {
    if (own.active === 0) continue;
    loads.push([key, own.active, own.pendingTokens, own.activeTokens]);
  }
  return loads;
}

/** Lists what this node tells of limits. */
export function listLimits(
  table: ReplicaTable,
  now: number,
): PeerReport["limits"] {
  return [...table.listAll()]
    .filter(({ limit }) =>
      limit.perSecond === undefined
        ? now - limit.changedAt <= tellEndMs
        : now - limit.statedAt <= maxToldAgeMs
    )
    .sort((a, b) => b.limit.statedAt - a.limit.statedAt)
    .slice(0, maxToldLimits)
    .map(({ key, limit: { perSecond, statedAt } }) => [
      key,
      perSecond ?? null,
      Math.round(now - statedAt),
    ]);
}

/** Applies what a peer tells of limits. */
export function applyLimits(
  table: ReplicaTable,
  limits: PeerReport["limits"],
  now: number,
): void {
  for (const [key, perSecond, ageMs] of limits) {
    const told = {
      perSecond: perSecond ?? undefined,
      statedAt: now - ageMs,
    };
    table.find(key)?.limit.learn(told, now);
  }
}

/**
 * Composes the status of a node from the state of its parts.
 */

import type {
  GatewayStatus,
  ReplicaStatus,
  RolloutStatus,
} from "@almondcrank/model/gateway_status.ts";
import { readShare } from "@almondcrank/routing/rollouts/rollout_book.ts";
import type { ReplicaState } from "./choice/replica_state.ts";
import type { RolloutParts } from "./rollouts/rollout_parts.ts";
import type { GatewayParts } from "./gateway_parts.ts";

/** Part of the status that only the running process knows. */
export interface ProcessStatus {
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly isDutyHolder: boolean;
}

/** Composes the current status. */
export function composeGatewayStatus(
  parts: GatewayParts,
  process: ProcessStatus,
): GatewayStatus {
  const {
    settings,
    services,
    view,
    feeds,
    suspensionClock,
    server,
  } = parts;
  const now = services.clock.now();
  return {
    ...process,
    node: settings.nodeName,
    zone: settings.zone,
    requestsRunning: server.running,
    configurationVersion: view.routes?.configuration.version ?? null,
    configurationAgeMs: roundAge(view.configurationAgeMs),
    replicasAgeMs: roundAge(suspensionClock.now() - feeds.replicas.confirmedAt),
    replicas: [...services.table.listAll()]
      .map((state) => composeReplica(state, now)),
    peers: listPeers(parts),
    allowances: parts.rateLimiter.listLevels(now)
      .map(([tenant, left]) => ({ tenant, left })),
    rollouts: parts.rollouts === undefined
      ? []
      : listRollouts(parts.rollouts, suspensionClock.now()),
  };
}

function listRollouts(
  { book, gate }: RolloutParts,
  now: number,
): RolloutStatus[] {
  return book.list().map((record) => {
    const { order, state, step, stopReason = null } = record;
    const { sent, sums } = gate.readCounts(record);
    const fresh = [...sums.values()].map(({ fresh }) => fresh);
    return {
      service: order.service,
      to: order.to,
      state,
      share: roundShare(readShare(record, now)),
      stepAgeMs: Math.round(now - step.issuedAt),
      stopReason,
      sent: sent.all,
      sentToNew: sent.fresh,
      answersOfNew: fresh.reduce((sum, { answers }) => sum + answers, 0),
      badAnswersOfNew: fresh
        .reduce((sum, { failures, slow }) => sum + failures + slow, 0),
    };
  });
}

function composeReplica(state: ReplicaState, now: number): ReplicaStatus {
  const { replica, totalLoad: load } = state;
  return {
    id: replica.id,
    service: replica.service,
    zone: replica.zone,
    state: readState(state),
    isReclaimable: replica.isReclaimable,
    active: load.active,
    pendingTokens: Math.round(load.pendingTokens),
    slowness: roundShare(state.readSlowness(now)),
    failureRate: roundShare(state.failures.read(now)),
  };
}

function readState(state: ReplicaState): ReplicaStatus["state"] {
  if (state.isDraining) return "draining";
  return state.leavesAt === undefined ? "ready" : "gone";
}

function listPeers(
  { members, suspensionClock }: GatewayParts,
): GatewayStatus["peers"] {
  const now = suspensionClock.now();
  return members.listKnown(now).map((member) => ({
    node: member.node,
    ip: member.ip,
    heardAgoMs: Math.round(now - member.lastSeenAt),
    isDraining: member.isDraining,
    isStoreUnreachable: member.isStoreUnreachable,
    isDutyHolder: member.fencingToken !== undefined,
  }));
}

function roundAge(ms: number): number | null {
  return Number.isFinite(ms) ? Math.round(ms) : null;
}

function roundShare(value: number): number {
  return Math.round(value * 100) / 100;
}

/**
 * Registrations of replicas for tests.
 */

import type { Replica } from "@almondcrank/model/replica.ts";

/** Creates a registration of a ready replica, with deviations. */
export function createReplica(change: Partial<Replica> = {}): Replica {
  return {
    id: "r1",
    service: "s",
    address: "10.0.0.1:80",
    zone: "a",
    softwareVersion: "v1",
    slots: 4,
    state: "ready",
    startedAtMs: 1,
    isReclaimable: false,
    leavesInMs: undefined,
    ...change,
  };
}

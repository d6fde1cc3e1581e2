/**
 * Registrations of replicas.
 */

/** A registered process of a service. */
export interface Replica {
  readonly id: string;
  readonly service: string;
  /** IP address and port, such as `10.0.0.4:8080`. */
  readonly address: string;
  readonly zone: string;
  /** Version of its software; empty if not registered. */
  readonly softwareVersion: string;
  /** Requests that run at once. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Wall-clock start time of this incarnation; undefined if not registered. */
  readonly startedAtMs: number | undefined;
  /** Whether the host may be reclaimed at short notice. */
  readonly isReclaimable: boolean;
  /** Time until the replica stops, as of this registration; undefined if unknown. */
  readonly leavesInMs: number | undefined;
  /** Time for which it stays slow after its start, as of this registration. */
  readonly coldMs?: number;
}

/** Formats the key of an incarnation; a restarted replica may reuse its id. */
export function formatIncarnation(replica: Replica): string {
  return `${replica.id}/${replica.startedAtMs ?? 0}`;
}

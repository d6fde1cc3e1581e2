/**
 * Replicas as they register themselves.
 */

/** A registered process of a service. */
export interface Replica {
  readonly id: string;
  readonly service: string;
  /** IP address and port, such as `10.0.0.4:8080`. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Start of this incarnation in wall time; undefined where it is not told. */
  readonly startedAtMs: number | undefined;
  /** Whether the host may be reclaimed at short notice. */
  readonly isReclaimable: boolean;
  /** Time until it leaves, as of its last registration. */
  readonly leavesInMs: number | undefined;
}

/** Key of one incarnation; an id may be used again after a restart. */
export function formatIncarnation(replica: Replica): string {
  return `${replica.id}/${replica.startedAtMs ?? 0}`;
}

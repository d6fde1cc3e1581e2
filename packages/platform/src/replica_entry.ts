/**
 * Composes the registration of a replica as replicas write it to the store, for
 * stand-ins.
 */

/** What a registration states; what is left out is that of a sound replica. */
export interface ReplicaEntryOptions {
  readonly service: string;
  readonly address: string;
  readonly zone?: string;
  readonly softwareVersion?: string | undefined;
  readonly slots?: number;
  readonly state?: string;
  readonly sequenceNumber?: number;
  /** Time at which the replica started, in milliseconds since 1970. */
  readonly startedAtMs?: number;
}

/** Fields of a registration, by their names in the store. */
export type ReplicaEntry = Readonly<Record<string, unknown>>;

/** Composes a registration. */
export function composeReplicaEntry(
  {
    service,
    address,
    zone = "muc-a",
    softwareVersion = "v1",
    slots = 8,
    state = "ready",
    sequenceNumber = 1,
    startedAtMs,
  }: ReplicaEntryOptions,
): ReplicaEntry {
  return {
    service,
    address,
    zone,
    version: softwareVersion,
    slots,
    state,
    "cold-remaining-ms": 0,
    "seq-no": sequenceNumber,
    ...(startedAtMs === undefined ? {} : { born: startedAtMs }),
  };
}

/** Names of fields that a registration needs, for entries that lack them. */
export const replicaFields = {
  coldMs: "cold-remaining-ms",
  sequenceNumber: "seq-no",
} as const;

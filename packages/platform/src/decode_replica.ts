/**
 * Decodes the registration of a replica.
 */

import type { Replica } from "@almondcrank/model/replica.ts";
import { readFields, readNumber, readString } from "./fields.ts";

const addressPattern = /^\d+\.\d+\.\d+\.\d+:\d+$/;

/** Decodes a registration; `undefined` when a required field is missing or invalid. */
export function decodeReplica(id: string, value: unknown): Replica | undefined {
  const fields = readFields(value);
  const service = readString(fields?.["service"]);
  const address = readString(fields?.["address"]);
  const state = readString(fields?.["state"]);
  if (fields === undefined || service === undefined) return undefined;
  if (address === undefined || !addressPattern.test(address)) return undefined;
  if (state !== "ready" && state !== "draining") return undefined;
  const zone = readString(fields["zone"]);
  const slots = readNumber(fields["slots"]);
  if (zone === undefined || slots === undefined || slots < 1) return undefined;
  const softwareVersion = fields["version"] === undefined
    ? ""
    : readString(fields["version"]);
  if (softwareVersion === undefined) return undefined;
  const coldMs = readNumber(fields["cold-remaining-ms"]) ?? 0;
  return {
    id,
    service,
    address,
    zone,
    softwareVersion,
    slots,
    state,
    startedAtMs: readNumber(fields["born"]),
    isReclaimable: fields["spot"] === true,
    leavesInMs: readNumber(fields["leaves_ms"]),
    ...(coldMs > 0 ? { coldMs } : {}),
  };
}

/**
 * Decodes the registration of a replica.
 */

import { parseAddress } from "@almondcrank/common/address.ts";
import type { Replica } from "@almondcrank/model/replica.ts";
import { readFields, readNumber, readString } from "./fields.ts";

/** Most requests that a replica may say it runs at once. */
const maxSlots = 1_000_000;

/** Ids go into a header of each request, so they have only visible characters. */
const idPattern = /^[\x21-\x7e]+$/;

/**
 * Decodes a registration; `undefined` when a field that each replica states of
 * itself is missing or invalid, or the id can't be named to a replica.
 */
export function decodeReplica(id: string, value: unknown): Replica | undefined {
  if (!idPattern.test(id)) return undefined;
  const fields = readFields(value);
  const service = readString(fields?.["service"]);
  const address = readString(fields?.["address"]);
  const state = readString(fields?.["state"]);
  if (fields === undefined || service === undefined) return undefined;
  if (address === undefined || !isReachable(address)) return undefined;
  if (state !== "ready" && state !== "draining") return undefined;
  const zone = readString(fields["zone"]);
  const slots = readNumber(fields["slots"]);
  if (zone === undefined || !isSlotCount(slots)) return undefined;
  const softwareVersion = readString(fields["version"]);
  if (softwareVersion === undefined) return undefined;
  const coldMs = readNumber(fields["cold-remaining-ms"]);
  const sequenceNumber = readNumber(fields["seq-no"]);
  if (coldMs === undefined || sequenceNumber === undefined) return undefined;
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

function isReachable(address: string): boolean {
  const parts = parseAddress(address);
  return parts !== undefined && parts.port > 0;
}

function isSlotCount(slots: number | undefined): slots is number {
  return slots !== undefined && Number.isInteger(slots) && slots >= 1 &&
    slots <= maxSlots;
}

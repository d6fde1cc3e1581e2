/**
 * Decodes the settings file that the platform provides for a process.
 *
 * Unknown fields are ignored, since the platform may add new ones at any time.
 */

import { type Either, Left, Right } from "purify-ts";
import type {
  Bounds,
  ConnectionSettings,
  DutyName,
  ExposureBounds,
  GatewaySettings,
} from "@almondcrank/model/gateway_settings.ts";
import { parseAddress } from "@almondcrank/common/address.ts";
import { KindError } from "@almondcrank/common/kind_error.ts";
import {
  type Fields,
  parseJson,
  readFields,
  readList,
  readNumber,
  readString,
  readStrings,
} from "./fields.ts";

/** Environment variable with the path of the settings file. */
export const settingsVariable = "ALMONDCRANK_SETTINGS";

/** Faults of a settings file, one text each. */
export interface SettingsErrorDetail {
  readonly kind: "invalid_settings";
  readonly faults: readonly string[];
}

/** Error for unusable settings. The message has one line per fault. */
export class SettingsError extends KindError<SettingsErrorDetail> {
  static create(faults: readonly string[]): SettingsError {
    return new SettingsError(
      { kind: "invalid_settings", faults },
      faults.map((fault) => `settings: ${fault}`).join("\n"),
    );
  }
}

/** Duties by their names in the settings file. */
const dutyNames: Readonly<Record<string, DutyName>> = {
  metering: "usage",
  autoscale: "scaling",
};

/** Decodes the text of a settings file, or lists its faults. */
export function decodeSettings(
  text: string,
): Either<SettingsError, GatewaySettings> {
  const fields = readFields(parseJson(text));
  if (fields === undefined) {
    return Left(SettingsError.create([
      "the file is not a JSON object; write it in the platform's format",
    ]));
  }
  const faults = listFaults(fields);
  if (faults.length > 0) return Left(SettingsError.create(faults));
  return Right(decodeFields(fields));
}

function listFaults(fields: Fields): readonly string[] {
  const faults: string[] = [];
  for (const key of ["node-name", "ip", "zone"]) {
    if (readString(fields[key]) !== undefined) continue;
    faults.push(`"${key}" is missing; give it as a string`);
  }
  if (readNumber(readList(fields["port-range"])[0]) === undefined) {
    faults.push(
      `"port-range" is missing; give a list of the first and last free port`,
    );
  }
  const platform = readFields(fields["platform"]);
  if (readString(platform?.["address"]) === undefined) {
    faults.push(`"platform.address" is missing; give the store's IP:PORT`);
  }
  const listen = readFields(fields["listen"]) ?? {};
  for (const key of ["frontend", "ready", "control-plane"]) {
    const address = readString(listen[key]);
    if (address === undefined || parseAddress(address) !== undefined) continue;
    faults.push(`"listen.${key}" is no address; give it as IP:PORT`);
  }
  const connections = readFields(fields[connectionsKey]) ?? {};
  for (const key of ["max", "max-waiting", "max-ending"]) {
    const limit = connections[key];
    if (limit === undefined || isConnectionLimit(limit)) continue;
    faults.push(
      `"${connectionsKey}.${key}" is no whole number above 0; correct or omit it`,
    );
  }
  return faults;
}

/** Section with limits of the connections of a node, which may be omitted. */
const connectionsKey = "connection-limits";

function isConnectionLimit(value: unknown): boolean {
  return typeof value === "number" && Number.isInteger(value) && value > 0;
}

function decodeFields(fields: Fields): GatewaySettings {
  const listen = readFields(fields["listen"]) ?? {};
  const limits = readFields(fields["limits"]) ?? {};
  const cloud = readFields(fields["cloud"]) ?? {};
  const platform = readFields(fields["platform"]) ?? {};
  return {
    nodeName: String(fields["node-name"]),
    ip: String(fields["ip"]),
    zone: String(fields["zone"]),
    zones: Object.keys(readFields(fields["zones"]) ?? {}),
    callers: readString(listen["frontend"]),
    readiness: readString(listen["ready"]),
    control: readString(listen["control-plane"]),
    peerPort: Number(readList(fields["port-range"])[0]),
    seedIps: readStrings(fields["seeds"]).map(readIp),
    isFirstStart: fields["bootstrap"] === true,
    memoryMb: readNumber(limits["memory-mb"]) ?? 256,
    maxDescriptors: readNumber(limits["fd-limit"]) ?? 1_024,
    connections: decodeConnections(fields),
    linkBytesPerMs: decodeLinkSpeed(readNumber(limits["link-mbps"])),
    storeAddress: String(platform["address"]),
    cloudAddress: readString(cloud["address"]),
    duties: readStrings(cloud["duties"])
      .flatMap((name) => dutyNames[name] ?? []),
    bounds: decodeBounds(readFields(fields["bounds"]) ?? {}),
    exposure: decodeExposure(fields),
  };
}

function decodeConnections(fields: Fields): ConnectionSettings {
  const connections = readFields(fields[connectionsKey]) ?? {};
  return {
    max: readNumber(connections["max"]),
    maxWaiting: readNumber(connections["max-waiting"]),
    maxEnding: readNumber(connections["max-ending"]),
  };
}

/** Contract that lets operators order rollouts. */
const rolloutContract = "rollout";

function decodeExposure(fields: Fields): ExposureBounds | undefined {
  const contracts = readStrings(fields["contracts"]);
  if (!contracts.includes(rolloutContract)) return undefined;
  const bounds = readFields(fields["bounds"]) ?? {};
  return {
    share: readNumber(bounds["exposure-share"]) ?? 0,
    tolerance: readNumber(bounds["exposure-tolerance"]) ?? 0,
    rollbackMs: readNumber(bounds["rollback-ms"]) ?? 0,
  };
}

function readIp(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}

function decodeBounds(fields: Fields): Bounds {
  const readMs = (key: string, fallback: number): number =>
    readNumber(fields[key]) ?? fallback;
  const readSeconds = (key: string, fallbackMs: number): number =>
    (readNumber(fields[key]) ?? fallbackMs / 1_000) * 1_000;
  return {
    configurationMs: readMs("config-apply-ms", 2_000),
    revocationMs: readMs("revoke-ms", 5_000),
    failsClosed: fields["revoke-fail-closed"] === true,
    drainMs: readMs("drain-ms", 2_000),
    graceMs: readSeconds("grace-s", 8_000),
    retryRatio: readNumber(fields["retry-budget-ratio"]) ?? 0.2,
    // "budget-extra" is a number of retries, not a share.
    retryExtra: readNumber(fields["budget-extra"]) ?? 10,
    retryWindowMs: readSeconds("budget-window-s", 10_000),
    quotaWindowMs: readSeconds("quota-window-s", 8_000),
    quotaTolerance: readNumber(fields["quota-tolerance"]) ?? 0,
    quotaOverage: readNumber(fields["quota-overage"]) ?? 0,
    leaseMs: readMs("lease-ms", 3_000),
    usageWindowMs: readSeconds("window-s", 5_000),
    usageDueMs: readSeconds("usage-late-s", 10_000),
  };
}

/** Bytes per millisecond of a speed in Mbit/s; undefined if it says nothing. */
function decodeLinkSpeed(mbps: number | undefined): number | undefined {
  return mbps === undefined || mbps <= 0 ? undefined : mbps * 125;
}

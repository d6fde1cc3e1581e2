/**
 * Checks of what peers send: decodes the JSON of a datagram's header and report.
 *
 * Each node receives several datagrams a second from every peer, so these checks
 * run more often than all others. They are written out by hand: a schema library
 * spends more time on a datagram than everything that is done with it.
 */

import type {
  AliveMember,
  FeedStatus,
  IncludedReport,
  PeerHeader,
  PeerReport,
  ReportScope,
} from "./peer_messages.ts";

type Check = (value: unknown) => boolean;
type JsonObject = Readonly<Record<string, unknown>>;

const scopes: ReadonlySet<unknown> = new Set<ReportScope>([
  "none",
  "node",
  "zone",
  "system",
]);

/** Decodes a header; `undefined` if a field is missing or of another type. */
export function decodePeerHeader(json: unknown): PeerHeader | undefined {
  if (!isObject(json)) return undefined;
  const { zone = "", scope = "node", medianTime = null, included = null } =
    json;
  const { heldMs = 0 } = json;
  const isValid = isString(json["node"]) && isString(json["incarnation"]) &&
    isString(json["ip"]) && isString(zone) && scopes.has(scope) &&
    isNumber(json["upMs"]) && isBoolean(json["isDraining"]) &&
    isBoolean(json["isStoreUnreachable"]) && isNumber(json["sentAt"]) &&
    isNumber(heldMs) && isNumber(json["wallTime"]) &&
    isNumberOrNull(medianTime) &&
    isEcho(json["echo"]) && isNumberOrNull(json["duty"]) &&
    (included === null || isIncluded(included));
  const configuration = decodeFeedStatus(json["configuration"]);
  const replicas = decodeFeedStatus(json["replicas"]);
  if (!isValid || configuration === undefined || replicas === undefined) {
    return undefined;
  }
  return {
    node: json["node"] as string,
    incarnation: json["incarnation"] as string,
    ip: json["ip"] as string,
    zone: zone as string,
    scope: scope as ReportScope,
    upMs: json["upMs"] as number,
    isDraining: json["isDraining"] as boolean,
    isStoreUnreachable: json["isStoreUnreachable"] as boolean,
    sentAt: json["sentAt"] as number,
    heldMs: heldMs as number,
    wallTime: json["wallTime"] as number,
    medianTime: medianTime as number | null,
    echo: json["echo"] as PeerHeader["echo"],
    configuration,
    replicas,
    duty: json["duty"] as number | null,
    included: included as IncludedReport | null,
  };
}

/** Decodes a report; `undefined` if a field is missing or of another type. */
export function decodePeerReport(json: unknown): PeerReport | undefined {
  if (!isObject(json)) return undefined;
  const { tallies = [], news = {}, leaving = [], suspects = [], limits = [] } =
    json;
  const { alive = [] } = json;
  const isValid = isListOf(json["allowances"], isCounter) &&
    isListOf(json["budgets"], isCounter) && isListOf(json["work"], isCounter) &&
    isListOf(tallies, isTally) && isListOf(json["loads"], isLoad) &&
    isObject(news) && isListOf(leaving, isString) &&
    isListOf(suspects, isSuspect) && isListOf(limits, isLimit) &&
    isListOf(json["usage"], isUsage) && isListOf(alive, isAlive) &&
    isListOf(json["members"], isMember);
  if (!isValid) return undefined;
  return {
    allowances: json["allowances"] as PeerReport["allowances"],
    budgets: json["budgets"] as PeerReport["budgets"],
    work: json["work"] as PeerReport["work"],
    tallies: tallies as PeerReport["tallies"],
    loads: json["loads"] as PeerReport["loads"],
    news: news as PeerReport["news"],
    leaving: leaving as PeerReport["leaving"],
    suspects: suspects as PeerReport["suspects"],
    limits: limits as PeerReport["limits"],
    usage: json["usage"] as PeerReport["usage"],
    alive: alive as readonly AliveMember[],
    members: json["members"] as PeerReport["members"],
  };
}

function decodeFeedStatus(json: unknown): FeedStatus | undefined {
  if (!isObject(json)) return undefined;
  const { reader = null } = json;
  const isValid = isNumber(json["asOf"]) && isNumber(json["digest"]) &&
    isNumberOrNull(json["ageMs"]) && isNumberOrNull(json["outageMs"]) &&
    isNumberOrNull(json["readMs"]) && (reader === null || isReader(reader));
  if (!isValid) return undefined;
  return {
    asOf: json["asOf"] as number,
    digest: json["digest"] as number,
    ageMs: json["ageMs"] as number | null,
    outageMs: json["outageMs"] as number | null,
    readMs: json["readMs"] as number | null,
    reader: reader as FeedStatus["reader"],
  };
}

function isReader(value: unknown): boolean {
  return isObject(value) && isString(value["node"]) &&
    isNumber(value["ageMs"]);
}

function isEcho(value: unknown): boolean {
  return value === null ||
    (isObject(value) && isNumber(value["sentAt"]) && isNumber(value["heldMs"]));
}

function isIncluded(value: unknown): boolean {
  return isObject(value) && isListOf(value["counters"], isTally) &&
    isListOf(value["loads"], isLoad) && isListOf(value["usage"], isUsage);
}

function isCounter(value: unknown): boolean {
  return isTuple(value, 3) && isString(value[0]) && isNumber(value[1]) &&
    isNumber(value[2]);
}

function isTally(value: unknown): boolean {
  return isTuple(value, 2) && isString(value[0]) && isNumber(value[1]);
}

function isLoad(value: unknown): boolean {
  return isTuple(value, 4) && isString(value[0]) && isNumber(value[1]) &&
    isNumber(value[2]) && isNumber(value[3]);
}

function isSuspect(value: unknown): boolean {
  return isTuple(value, 4) && isString(value[0]) && isNumberOrNull(value[1]) &&
    isNumberOrNull(value[2]) && isListOf(value[3], isTally);
}

function isLimit(value: unknown): boolean {
  return isTuple(value, 3) && isString(value[0]) && isNumberOrNull(value[1]) &&
    isNumber(value[2]);
}

function isUsage(value: unknown): boolean {
  return isTuple(value, 2) && isNumber(value[0]) && isObject(value[1]) &&
    Object.values(value[1]).every(isNumber);
}

function isAlive(value: unknown): boolean {
  return isObject(value) && isString(value["node"]) &&
    isNumber(value["ageMs"]) && isOptional(value["isDraining"], isBoolean) &&
    isOptional(value["isStoreUnreachable"], isBoolean) &&
    isOptional(value["duty"], isNumber);
}

function isMember(value: unknown): boolean {
  return isObject(value) && isString(value["node"]) &&
    isString(value["ip"]) && isString(value["zone"]);
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isTuple(value: unknown, length: number): value is readonly unknown[] {
  return Array.isArray(value) && value.length === length;
}

function isListOf(value: unknown, check: Check): boolean {
  return Array.isArray(value) && value.every(check);
}

function isOptional(value: unknown, check: Check): boolean {
  return value === undefined || check(value);
}

function isString(value: unknown): boolean {
  return typeof value === "string";
}

/** A large literal is parsed as infinite, which no field may be. */
function isNumber(value: unknown): boolean {
  return Number.isFinite(value);
}

function isNumberOrNull(value: unknown): boolean {
  return value === null || Number.isFinite(value);
}

function isBoolean(value: unknown): boolean {
  return typeof value === "boolean";
}

/**
 * Names and formats of the headers that callers, nodes and replicas exchange.
 *
 * Names are in lower case, as Node.js provides them.
 */

import type { LoadStatement } from "@almondcrank/routing/placement/load_statement.ts";

/** Identifier that the caller gives a request. */
export const requestIdHeader = "x-request-id";
/** Time in milliseconds that the sender of a request waits for its answer. */
export const remainingTimeHeader = "x-deadline-ms";
/** Parts of the prompt in order, each with its number of tokens. */
export const promptPartsHeader = "x-prefix-hash";
/** Number of prompt tokens and largest number of output tokens. */
export const tokenCountHeader = "x-token-count";
/** Id of the last event that was received of a stream that is resumed. */
export const lastEventIdHeader = "last-event-id";
/** Request that brought the first event of a stream that is resumed. */
export const resumedRequestHeader = "resumes";
/** Signature of the replica that made an answer. */
export const signatureHeader = "x-server-seal";
/** Name of the tenant that a request belongs to, for replicas. */
export const tenantHeader = "x-tenant";
/** Replica that a request is meant for. */
export const expectedReplicaHeader = "x-expect-instance";
/** Present in an answer if the replica did not run the request and never will. */
export const notExecutedHeader = "x-not-executed";
/** Present with the value 1 in all answers of a replica that is leaving. */
export const leavingHeader = "server-leaving";
/** Number of times that the store has come back from an older copy. */
export const storeEraHeader = "store-era";
/** Seconds, possibly a fraction, for which the sender wants no more requests. */
const retryAfterHeader = "retry-after";
/** Requests a second that a replica in need takes from all nodes together. */
const requestLimitHeader = "server-limit";
const brittleHeader = "server-brittle";
/** Load of the replica: running, waiting, slots and slowness of its host. */
const replicaLoadHeader = "x-replica-load";
/** Number of output tokens that the caller expects. */
export const lengthHintHeader = "x-length-hint";
/** Priority from 0 (highest) to 9. */
export const priorityHeader = "x-request-priority";
/** API key of the caller, after `keyScheme`. */
export const authorizationHeader = "authorization";
/** Source address and KV cache handle of a moved run. */
export const movedRunHeader = "kv-from";

/** Scheme of the authorization header. */
export const keyScheme = "Bearer ";

/**
 * Headers that are not accepted from callers: the system sets them itself, or a
 * replica would act on them.
 */
export const reservedRequestHeaders: ReadonlySet<string> = new Set([
  authorizationHeader,
  tenantHeader,
  remainingTimeHeader,
  expectedReplicaHeader,
  "x-expect-version",
  priorityHeader,
  "x-hold",
  "x-pin-ms",
  "x-kv-backup",
  movedRunHeader,
  "kv-fetch",
]);

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Whether an answer's headers say that its replica is leaving. */
export function isLeavingAnswer(headers: Headers): boolean {
  return headers[leavingHeader] === "1";
}

/** Parses the time of `Retry-After`, in milliseconds; `undefined` if there is none. */
export function parseRetryAfter(headers: Headers): number | undefined {
  const text = headers[retryAfterHeader];
  const seconds = typeof text === "string" ? parseFigure(text) : undefined;
  return seconds !== undefined && seconds >= 0 ? seconds * 1_000 : undefined;
}

/**
 * Parses the requests a second that an answer's replica takes from all nodes
 * together; `undefined` if it names no limit.
 */
export function parseRequestLimit(headers: Headers): number | undefined {
  const text = headers[requestLimitHeader];
  const perSecond = typeof text === "string" ? parseFigure(text) : undefined;
  return perSecond !== undefined && perSecond >= 0 ? perSecond : undefined;
}

/**
 * Parses how many requests a second an answer's replica may turn away before it
 * falls over; `undefined` if it says nothing of it.
 */
export function parseBearableRefusals(headers: Headers): number | undefined {
  const text = headers[brittleHeader];
  const perSecond = typeof text === "string" ? parseFigure(text) : undefined;
  return perSecond !== undefined && perSecond >= 0 ? perSecond : undefined;
}

/** Largest number of requests or slots that a replica can plausibly state. */
const maxStatedRequests = 100_000;
/** Figure of a host on which work takes as long as usual. */
const usualSlownessFigure = 100;
/** Bounds within which a stated slowness is believed. */
const minStatedSlowness = 0.1;
const maxStatedSlowness = 20;

/**
 * Parses the load that an answer's replica states of itself; `undefined` if it is
 * absent or can't be true.
 */
export function parseReplicaLoad(headers: Headers): LoadStatement | undefined {
  const text = headers[replicaLoadHeader];
  if (typeof text !== "string") return undefined;
  const figures = text.split(",").map(parseFigure);
  const [running, waiting, slots, slowness] = figures;
  const counts = [running, waiting, slots];
  if (figures.length > 4 || !counts.every(isPlausibleCount)) return undefined;
  if (slots === undefined || slots < 1) return undefined;
  return {
    running: running ?? 0,
    waiting: waiting ?? 0,
    slots,
    slowness: slowness === undefined || !(slowness > 0) ? undefined : Math.min(
      maxStatedSlowness,
      Math.max(minStatedSlowness, slowness / usualSlownessFigure),
    ),
  };
}

function parseFigure(text: string): number | undefined {
  const figure = Number(text);
  return text.trim() === "" || !Number.isFinite(figure) ? undefined : figure;
}

function isPlausibleCount(count: number | undefined): boolean {
  return count !== undefined && Number.isInteger(count) && count >= 0 &&
    count <= maxStatedRequests;
}

/** Largest number of output tokens that a caller can plausibly expect. */
const maxStatedTokens = 1_000_000;

/**
 * Parses the output tokens that the caller expects; `undefined` if they are not
 * stated or can't be true.
 */
export function parseLengthHint(text: string | undefined): number | undefined {
  const tokens = parseFigure(text ?? "");
  const isPlausible = tokens !== undefined && tokens > 0 &&
    tokens <= maxStatedTokens;
  return isPlausible ? tokens : undefined;
}

/** A part of a prompt, with the id that it has in `promptPartsHeader`. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parses the list of prompt parts, `ID:TOKENS,...`; malformed entries are left out. */
export function parsePromptParts(
  text: string | undefined,
): readonly PromptPart[] {
  if (text === undefined || text === "") return [];
  return text.split(",").flatMap((entry) => {
    const colon = entry.indexOf(":");
    const tokens = Number(entry.slice(colon + 1));
    if (colon < 1 || !Number.isFinite(tokens)) return [];
    return [{ id: entry.slice(0, colon).trim(), tokens }];
  });
}

/** Number of prompt tokens and largest number of output tokens of a request. */
export interface TokenCount {
  readonly prompt: number;
  readonly maxOutput: number;
}

/** Parses the token count, `PROMPT,OUTPUT`; `undefined` if absent or malformed. */
export function parseTokenCount(
  text: string | undefined,
): TokenCount | undefined {
  if (text === undefined) return undefined;
  const [prompt, maxOutput] = text.split(",").map(Number);
  if (prompt === undefined || maxOutput === undefined) return undefined;
  if (!Number.isFinite(prompt) || !Number.isFinite(maxOutput)) return undefined;
  return { prompt, maxOutput };
}

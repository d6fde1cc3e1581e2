/**
 * Names of the headers that callers, nodes and replicas exchange.
 *
 * All in lower case, as Node.js gives them.
 */

export const requestIdHeader = "x-request-id";
/** Milliseconds that the sender of a request will wait for its answer. */
export const remainingTimeHeader = "x-deadline-ms";
/** Parts of the prompt in order, each with its number of tokens. */
export const promptPartsHeader = "x-prefix-hash";
/** Prompt tokens and most output tokens. */
export const tokenCountHeader = "x-token-count";
export const lastEventIdHeader = "last-event-id";
/** Signature of the replica that made an answer. */
export const signatureHeader = "x-server-seal";
export const tenantHeader = "x-tenant";
export const expectedReplicaHeader = "x-expect-instance";
/** Present when a replica did not run a request and never will. */
export const notExecutedHeader = "x-not-executed";
/** Rank from 0 (first) to 9. */
export const priorityHeader = "x-request-priority";
export const authorizationHeader = "authorization";
/** Source address and handle of a moved run. */
export const movedRunHeader = "kv-from";

/** Scheme of the authorization header. */
export const keyScheme = "Bearer ";

/**
 * Headers that callers must not set: the system sets them, or a replica would
 * act on them.
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

/** A part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parses the list of prompt parts; malformed entries are left out. */
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

/** Prompt and output tokens of a request. */
export interface TokenCount {
  readonly prompt: number;
  readonly maxOutput: number;
}

/** Parses the token count; `undefined` when absent or malformed. */
export function parseTokenCount(
  text: string | undefined,
): TokenCount | undefined {
  if (text === undefined) return undefined;
  const [prompt, maxOutput] = text.split(",").map(Number);
  if (prompt === undefined || maxOutput === undefined) return undefined;
  if (!Number.isFinite(prompt) || !Number.isFinite(maxOutput)) return undefined;
  return { prompt, maxOutput };
}

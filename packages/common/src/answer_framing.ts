/**
 * What tells where the body of an HTTP answer ends.
 *
 * A body with a transfer coding other than chunks ends with its connection, like
 * one with neither a length nor a coding, and its clients may take a reset for that
 * end.
 */

/** What tells where a body ends. */
export type ResponseFraming = "length" | "chunks" | "connection";

type HeaderValue = string | readonly string[] | undefined;

/** Headers of an answer, by lower-case names. */
export interface FramingHeaders {
  readonly "transfer-encoding"?: HeaderValue;
  readonly "content-length"?: HeaderValue;
}

const chunksPattern = /^ *chunked *$/i;

/** Finds how the body of an answer is framed. */
export function findFraming(
  { headers }: { readonly headers: FramingHeaders },
): ResponseFraming {
  const coding = headers["transfer-encoding"];
  if (coding !== undefined) {
    return chunksPattern.test(String(coding)) ? "chunks" : "connection";
  }
  return headers["content-length"] === undefined ? "connection" : "length";
}

/** Statuses of final answers: other numbers are of no class of RFC 9110. */
const finalStatuses = { min: 200, max: 599 } as const;

/** Whether a status is that of a final answer. */
export function isFinalStatus(status: number | undefined): boolean {
  return status !== undefined && status >= finalStatuses.min &&
    status <= finalStatuses.max;
}

/** Statuses of answers without a body. */
const bodilessStatuses: ReadonlySet<number | undefined> = new Set([204, 304]);

/** Whether nothing but the end of its connection tells where an answer ends. */
export function endsWithConnection(
  { headers, statusCode }: {
    readonly headers: FramingHeaders;
    readonly statusCode?: number | undefined;
  },
  method: string | undefined,
): boolean {
  const hasBody = method !== "HEAD" && !bodilessStatuses.has(statusCode);
  return hasBody && findFraming({ headers }) === "connection";
}

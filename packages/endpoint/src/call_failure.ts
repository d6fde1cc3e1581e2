/**
 * Kinds of failures of calls that undici reports.
 */

import { WithheldError } from "@almondcrank/common/conditional_handler.ts";

/** Codes of errors that occur before a connection exists. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EHOSTDOWN",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Codes of undici's timeouts. */
const timeoutCodes: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
]);

/** Kind of a failure, as `EndpointErrorDetail` names it. */
export type CallFailureKind =
  | "withheld"
  | "timeout"
  | "unreachable"
  | "connection_lost";

/** Finds the kind of a failure; the call may have run unless it was not sent. */
export function findFailureKind(error: unknown): CallFailureKind {
  if (error instanceof WithheldError) return "withheld";
  const { code } = error as { code?: unknown };
  if (typeof code !== "string") return "connection_lost";
  if (timeoutCodes.has(code)) return "timeout";
  return connectErrorCodes.has(code) ? "unreachable" : "connection_lost";
}

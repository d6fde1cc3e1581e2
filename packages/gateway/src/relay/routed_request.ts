/**
 * A request of a caller that was routed and admitted.
 */

import type { IncomingMessage } from "node:http";
import type { SuspectParts } from "@almondcrank/routing/quarantine/suspect_parts.ts";
import type {
  Route,
  Service,
  Tenant,
} from "@almondcrank/model/configuration.ts";
import type { PromptPart } from "@almondcrank/platform/headers.ts";
import type { RequestTrace } from "./request_trace.ts";

/** An admitted request; a retry by the caller is another one. */
export interface RoutedRequest {
  /** Request id that the caller sent. */
  readonly id: string | undefined;
  readonly route: Route;
  readonly service: Service;
  readonly tenant: Tenant | undefined;
  /** Priority at the replica, 0 (first) to 9. */
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  /** Headers as the caller sent them. */
  readonly received: Pick<IncomingMessage, "headers" | "rawHeaders">;
  /** Whether another node handed it over; it is not handed on then. */
  readonly isHanded: boolean;
  readonly body: Buffer;
  /** Monotonic time of arrival, in milliseconds. */
  readonly receivedAt: number;
  /** Monotonic time by which the final response is due, in milliseconds. */
  readonly deadline: number;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Largest number of output tokens; undefined if not stated. */
  readonly maxOutputTokens: number | undefined;
  /** Output tokens that the caller expects; undefined if not stated. */
  readonly hintedOutputTokens: number | undefined;
  /** By what the quarantine knows it. */
  readonly suspects: SuspectParts;
  /** Id after which the caller wants to resume its stream. */
  readonly resumeAfter: number | undefined;
  /** Id of the request that brought the first event of that stream, if named. */
  readonly resumedRequest: string | undefined;
  /** Software version that began that stream; undefined if it does not matter. */
  readonly resumedVersion: string | undefined;
  /** Random number in [0, 1) that decides on the share of a new version. */
  readonly versionDraw: number;
  /** Aborts when the caller disconnects. */
  readonly callerSignal: AbortSignal;
  /** Decisions on the request, for the log. */
  readonly trace: RequestTrace;
}

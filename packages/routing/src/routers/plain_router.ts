/**
 * Interface of the request path of plain services, used by the callers' routes.
 */

import type { Either } from "purify-ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import type { PlainService, Team } from "@almondcrank/common/configuration.ts";
import type { Refusal } from "../admission/refusal.ts";

/** Authenticated call of a plain service. */
export interface PlainRequest {
  readonly team: Team;
  readonly service: PlainService;
  readonly method: string;
  /** Path below the service with its query, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** Idempotency key issued by the system or made by the caller, if any. */
  readonly key: string | undefined;
  /** Monotonic time by which the answer is due, in milliseconds. */
  readonly deadline: number;
}

/** Routes calls of plain services. */
export interface PlainRouter {
  /** Sends the call to an endpoint, or refuses it. */
  call(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>>;
  /** Issues an idempotency key that binds one call to this process. */
  issueKey(team: Team): Either<Refusal, string>;
}

/**
 * The request path of plain services as the callers' front uses it.
 */

import type { Either } from "purify-ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import type { PlainService, Team } from "@almondcrank/common/configuration.ts";
import type { Refusal } from "../admission/refusal.ts";

/** A caller's call of a plain service, already authenticated. */
export interface PlainRequest {
  readonly team: Team;
  readonly service: PlainService;
  readonly method: string;
  /** Path below the service with its query, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** Key issued by the system or made by the caller; undefined for none. */
  readonly key: string | undefined;
  /** Monotonic time by which the answer is due, in milliseconds. */
  readonly deadline: number;
}

/** Routes calls of plain services. */
export interface PlainRouter {
  call(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>>;
  /** Issues a key that binds one call to this process. */
  issueKey(team: Team): Either<Refusal, string>;
}

/**
 * Protocol of a plain HTTP service.
 *
 * A call is passed on with its method, path, query, body and content type. The
 * endpoint receives the remaining time and the priority in `x-remaining-ms` and
 * `x-priority`, and the idempotency key, if any, in `idempotency-key`. It may
 * decline before running the call with 503 and `x-run: not_run`. `GET /load`
 * answers `PlainLoad`. An endpoint that echoes the `x-call-id` of a call is
 * protected from a late copy of an earlier answer (`call_id.ts`).
 */

import type { Either } from "purify-ts";
import type { EndpointError } from "./endpoint_error.ts";

/** Call that is passed on to an endpoint. */
export interface PlainCall {
  readonly method: string;
  /** Path below the service with its query, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  readonly priority: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Complete answer of an endpoint. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
}

/** Load report of an endpoint; it lags behind the present load. */
export interface PlainLoad {
  /** Age of the report in milliseconds when it was sent. */
  readonly ageMs: number;
  readonly running: number;
  readonly queued: number;
  /** Calls a second that it takes from all nodes; left out without a limit. */
  readonly requestsPerSecond?: number | undefined;
}

/** Client of one endpoint of a plain service. */
export interface PlainEndpoint {
  readonly name: string;
  /** Sends the call; aborting `signal` cancels it. */
  call(
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<Either<EndpointError, PlainAnswer>>;
  readLoad(): Promise<Either<EndpointError, PlainLoad>>;
}

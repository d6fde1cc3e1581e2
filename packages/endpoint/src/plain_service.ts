/**
 * A plain HTTP service as the system calls it.
 *
 * The call is passed on with method, path, query, body and content type. The
 * endpoint is told the remaining time and the priority in `x-remaining-ms` and
 * `x-priority`, and the idempotency key, if any, in `idempotency-key`. It may
 * decline before running with 503 and `x-run: not_run`. `GET /load` answers
 * `PlainLoad`.
 */

import type { Either } from "purify-ts";
import type { EndpointError } from "./endpoint_error.ts";

/** Call to pass on. */
export interface PlainCall {
  readonly method: string;
  /** Path below the service with its query, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  readonly priority: number;
  readonly remainingMs: number;
}

/** Whole answer of the endpoint. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
}

/** Load of a plain service's endpoint; it lags. */
export interface PlainLoad {
  readonly ageMs: number;
  readonly running: number;
  readonly queued: number;
}

/** Client of one endpoint of a plain service. */
export interface PlainEndpoint {
  readonly name: string;
  call(
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<Either<EndpointError, PlainAnswer>>;
  readLoad(): Promise<Either<EndpointError, PlainLoad>>;
}

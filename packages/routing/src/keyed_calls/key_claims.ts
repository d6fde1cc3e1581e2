/**
 * Binds keys that callers made to the process that saw them first.
 *
 * A claim is one object, created under the condition that none exists, so of
 * any number of nodes one wins and the others read its name from the conflict.
 * A claim is repeated word for word when its answer was lost: a write that took
 * effect late then conflicts with itself. Calls a second are bounded, since the
 * platform takes only several hundred writes.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import { KindError } from "@almondcrank/common/kind_error.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type {
  ObjectStore,
  StoredObject,
} from "@almondcrank/infrastructure/object_store.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import {
  type KeyBinding,
  keyBindingSchema,
  type KeyOwner,
} from "./key_peers.ts";

/** Prefix of all claims in the object API. */
export const claimPrefix = "claims/";

const retryPauseMs = 20;
const maxTries = 4;
const defaultRetryAfterMs = 1_000;
const burstSeconds = 2;

export type ClaimErrorDetail =
  /** This node's part of the platform's write rate is used up. */
  | { readonly kind: "rate"; readonly retryAfterMs: number }
  | {
    readonly kind: "platform";
    readonly reason: string;
    readonly retryAfterMs: number;
  };

/** A claim that could not be made or read. */
export class ClaimError extends KindError<ClaimErrorDetail> {
  static create(detail: ClaimErrorDetail): ClaimError {
    return new ClaimError(detail, formatClaimError(detail));
  }
}

function formatClaimError(detail: ClaimErrorDetail): string {
  switch (detail.kind) {
    case "rate":
      return "too many calls with keys made by callers; use issued keys";
    case "platform":
      return `the platform does not take claims (${detail.reason}); use issued keys`;
  }
}

/** Options of the claims. */
export interface KeyClaimsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly store: ObjectStore;
  readonly identity: KeyOwner;
  /** Calls a second that this node may spend on claims at the moment. */
  readonly callsPerSecond: () => number;
}

/** Claims of one process. */
export class KeyClaims {
  readonly #options: KeyClaimsOptions;
  #tokens: number;
  #filledAt: number;

  private constructor(options: KeyClaimsOptions) {
    this.#options = options;
    this.#tokens = options.callsPerSecond() * burstSeconds;
    this.#filledAt = options.clock.now();
  }

  static create(options: KeyClaimsOptions): KeyClaims {
    return new KeyClaims(options);
  }

  /** Binds a key to this process unless it is bound; gives the binding in force. */
  async claim(
    id: string,
    deadline: number,
  ): Promise<Either<ClaimError, KeyBinding>> {
    const { clock, identity, metrics, store } = this.#options;
    const boundAtMs = clock.now();
    const { node, incarnation } = identity;
    const binding: KeyBinding = { node, incarnation, boundAtMs, id };
    const key = formatClaimKey(id);
    let error: ClaimError | undefined;
    for (let tries = 0; tries < maxTries; tries++) {
      if (tries > 0) await clock.sleep(retryPauseMs);
      if (clock.now() >= deadline || !this.#takeCall()) break;
      const written = await store.write(key, binding, { kind: "absent" });
      metrics.count("claim_calls_total", { call: "write" });
      if (written.isLeft()) {
        const failure = written.extract() as PlatformError;
        error = createPlatformError(failure);
        if (failure.kind !== "outcome_unknown") break;
        metrics.count("claim_answers_lost_total");
        continue;
      }
      const outcome = written.unsafeCoerce();
      if (outcome.kind === "written") return Right(binding);
      if (outcome.current !== undefined) return parseClaim(outcome.current);
    }
    return Left(error ?? createRateError());
  }

  /** Reads the binding of a key; undefined when it has none. */
  async find(id: string): Promise<Either<ClaimError, KeyBinding | undefined>> {
    if (!this.#takeCall()) return Left(createRateError());
    this.#options.metrics.count("claim_calls_total", { call: "read" });
    const read = await this.#options.store.read(formatClaimKey(id));
    return read.mapLeft(createPlatformError).chain((object) =>
      object === undefined ? Right(undefined) : parseClaim(object)
    );
  }

  #takeCall(): boolean {
    const now = this.#options.clock.now();
    const rate = this.#options.callsPerSecond();
    const earned = (now - this.#filledAt) / 1_000 * rate;
    this.#tokens = Math.min(rate * burstSeconds, this.#tokens + earned);
    this.#filledAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Key of a claim object; claims are spread over 256 prefixes for listing. */
export function formatClaimKey(id: string): string {
  return `${claimPrefix}${id.slice(0, 2)}/${id}`;
}

function parseClaim(object: StoredObject): Either<ClaimError, KeyBinding> {
  const parsed = keyBindingSchema.safeParse(object.value);
  if (parsed.success) return Right(parsed.data);
  const reason = `object ${object.key} is not a claim`;
  return Left(ClaimError.create({
    kind: "platform",
    reason,
    retryAfterMs: defaultRetryAfterMs,
  }));
}

function createRateError(): ClaimError {
  return ClaimError.create({ kind: "rate", retryAfterMs: defaultRetryAfterMs });
}

function createPlatformError(failure: PlatformError): ClaimError {
  const { detail } = failure;
  const retryAfterMs =
    detail.kind === "breaker_open" || detail.kind === "rate_limited"
      ? Math.max(defaultRetryAfterMs, detail.retryAfterMs)
      : defaultRetryAfterMs;
  const reason = failure.message;
  return ClaimError.create({ kind: "platform", reason, retryAfterMs });
}

/**
 * Binds caller-made keys to the process that received them first.
 *
 * A claim is one object in the object store, written on condition that none
 * exists. Of any number of nodes one succeeds, and the others read its name from
 * the conflict. If the answer to a write is lost, the same object is written
 * again, and a first write that took effect late shows up as a conflict that
 * names this process. A token bucket limits the rate of calls, since the
 * platform accepts only several hundred writes per second.
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

/** Prefix of the object keys of all claims. */
export const claimPrefix = "claims/";

const retryDelayMs = 20;
const maxAttempts = 4;
const defaultRetryAfterMs = 1_000;
/** Size of the token bucket, in seconds of the current rate. */
const burstSeconds = 2;

/** Why a claim could not be written or read. Times are in milliseconds. */
export type ClaimErrorDetail =
  /** This node's share of the platform's call rate is used up. */
  | { readonly kind: "rate"; readonly retryAfterMs: number }
  | {
    readonly kind: "platform";
    readonly reason: string;
    readonly retryAfterMs: number;
  };

/** A claim could not be written or read. */
export class ClaimError extends KindError<ClaimErrorDetail> {
  static create(detail: ClaimErrorDetail): ClaimError {
    return new ClaimError(detail, formatClaimError(detail));
  }
}

function formatClaimError(detail: ClaimErrorDetail): string {
  switch (detail.kind) {
    case "rate":
      return "the rate limit for caller-made keys is reached; use issued keys";
    case "platform":
      return `claims cannot be stored or read on the platform (${detail.reason}); use issued keys`;
  }
}

/** Dependencies of `KeyClaims`. */
export interface KeyClaimsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly store: ObjectStore;
  readonly identity: KeyOwner;
  /** Current limit of this node's claim calls per second. */
  readonly callsPerSecond: () => number;
}

/** Writes and reads claims for one process. */
export class KeyClaims {
  readonly #options: KeyClaimsOptions;
  #tokens: number;
  #refilledAt: number;

  private constructor(options: KeyClaimsOptions) {
    this.#options = options;
    this.#tokens = options.callsPerSecond() * burstSeconds;
    this.#refilledAt = options.clock.now();
  }

  static create(options: KeyClaimsOptions): KeyClaims {
    return new KeyClaims(options);
  }

  /**
   * Binds a key to this process unless it is bound already. Resolves to the
   * binding in force.
   *
   * @param deadline Monotonic milliseconds after which no write is sent.
   */
  async claim(
    id: string,
    deadline: number,
  ): Promise<Either<ClaimError, KeyBinding>> {
    const { clock, identity, metrics, store } = this.#options;
    const boundAtMs = clock.now();
    const { node, incarnation } = identity;
    const binding: KeyBinding = { node, incarnation, boundAtMs, id };
    const key = formatClaimObjectKey(id);
    let error: ClaimError | undefined;
    for (let tries = 0; tries < maxAttempts; tries++) {
      if (tries > 0) await clock.sleep(retryDelayMs);
      if (clock.now() >= deadline || !this.#takeToken()) break;
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

  /** Reads the binding of a key; undefined if it has none. */
  async find(id: string): Promise<Either<ClaimError, KeyBinding | undefined>> {
    if (!this.#takeToken()) return Left(createRateError());
    this.#options.metrics.count("claim_calls_total", { call: "read" });
    const read = await this.#options.store.read(formatClaimObjectKey(id));
    return read.mapLeft(createPlatformError).chain((object) =>
      object === undefined ? Right(undefined) : parseClaim(object)
    );
  }

  #takeToken(): boolean {
    const now = this.#options.clock.now();
    const rate = this.#options.callsPerSecond();
    const earned = (now - this.#refilledAt) / 1_000 * rate;
    this.#tokens = Math.min(rate * burstSeconds, this.#tokens + earned);
    this.#refilledAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Formats a claim's object key; listings are split into 256 prefixes. */
export function formatClaimObjectKey(id: string): string {
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

/**
 * Runs calls that are not idempotent at most once per key.
 *
 * A key is bound to one process incarnation, its owner: an issued key by its
 * content, a caller-made key by its claim. Only the owner runs the call, and it
 * adds a record before the first byte is sent. All other nodes forward the call
 * to the owner. A node that cannot reach the owner answers `unknown`: only the
 * owner answers `not_run`, and it never runs a call after a final `not_run`.
 */

import { createHash } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import type { KeyClaims } from "./key_claims.ts";
import type { KeyFormat } from "./key_format.ts";
import type { KeyForwarding } from "./key_forwarding.ts";
import type { KeyBinding, KeyOwner } from "./key_peers.ts";
import type { KeyOutcome, KeyRecord, KeyRecords } from "./key_records.ts";
import {
  createAnswerDroppedRefusal,
  createBadKeyRefusal,
  createClaimsUnavailableRefusal,
  createExpiredRefusal,
  createFinalRefusal,
  createKeyOutcomeUnknownRefusal,
  createLeavingOwnerRefusal,
  createTableFullRefusal,
  createWithRunState,
} from "./key_refusals.ts";
import { computeFingerprint, type KeyedRequest } from "./key_wire.ts";
import type { Limiter, Permit } from "../limits/limiter.ts";
import {
  createDeadlineRefusal,
  createDrainingRefusal,
} from "../admission/plain_refusals.ts";
import type { Refusal } from "../admission/refusal.ts";
import { waitUntilDeadline } from "../admission/wait_until_deadline.ts";

const claimIdLength = 32;

type CallResult = Either<Refusal, PlainAnswer>;

/** Dependencies of `KeyedCalls`. */
export interface KeyedCallsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly identity: KeyOwner;
  readonly format: KeyFormat;
  readonly claims: KeyClaims;
  readonly records: KeyRecords;
  readonly forwarding: KeyForwarding;
  readonly limiter: Limiter;
  /** Time in milliseconds after its binding in which a key's call may begin. */
  readonly lifetimeMs: number;
  /** Sends an admitted call to endpoints until one answers. */
  readonly send: (request: KeyedRequest) => Promise<CallResult>;
}

/** Handles the calls with keys that one process receives. */
export class KeyedCalls {
  readonly #options: KeyedCallsOptions;
  #state: "open" | "draining" | "closed" = "open";

  private constructor(options: KeyedCallsOptions) {
    this.#options = options;
  }

  static create(options: KeyedCallsOptions): KeyedCalls {
    return new KeyedCalls(options);
  }

  /** Stops claiming keys; keys bound to this process can still be used. */
  drain(): void {
    if (this.#state === "open") this.#state = "draining";
  }

  /** Stops beginning calls; running ones finish and their outcomes are kept. */
  close(): void {
    this.#state = "closed";
  }

  /** Answers a call with the outcome of its key's single run. */
  call(request: KeyedRequest, signal: AbortSignal): Promise<CallResult> {
    const key = this.#options.format.parse(request.key, request.team.name);
    switch (key.kind) {
      case "malformed":
        return Promise.resolve(Left(createBadKeyRefusal(key.reason)));
      case "issued":
        return this.#callBound(key.binding, request, signal);
      case "caller_made":
        return this.#callClaimed(request, signal);
    }
  }

  /** Answers a call as the owner of its key. */
  async callAsOwner(
    binding: KeyBinding,
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const fingerprint = computeFingerprint(request);
    const known = this.#options.records.find(binding.id);
    if (known !== undefined) {
      return this.#waitOutcome(known, { request, fingerprint, signal });
    }
    const refusal = this.#findRefusal(binding, request);
    if (refusal !== undefined) return Left(refusal);
    const admitted = this.#options.limiter.admit(request.team, 1);
    if (admitted.isLeft()) return Left(admitted.extract() as Refusal);
    const permit = admitted.unsafeCoerce();
    const { id } = binding;
    const team = request.team.name;
    if (!this.#options.records.add({ id, team, fingerprint })) {
      permit.release();
      return Left(createTableFullRefusal());
    }
    void this.#run(id, request, permit);
    const record = this.#options.records.find(id) as KeyRecord;
    return await this.#waitOutcome(record, { request, fingerprint, signal });
  }

  async #callClaimed(
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const id = computeClaimId(request);
    const known = this.#options.records.find(id);
    if (known !== undefined) {
      const fingerprint = computeFingerprint(request);
      return this.#waitOutcome(known, { request, fingerprint, signal });
    }
    const refusal = this.#findClaimRefusal(request);
    if (refusal !== undefined) {
      return this.#callWithExistingClaim(id, { request, refusal, signal });
    }
    const claimed = await waitUntilDeadline(
      this.#options.claims.claim(id, request.deadline),
      { clock: this.#options.clock, deadline: request.deadline, signal },
    );
    if (claimed === undefined) {
      return Left(
        createKeyOutcomeUnknownRefusal("the claim of the key took too long"),
      );
    }
    return claimed.caseOf<Promise<CallResult> | CallResult>({
      Left: (error) => Left(createClaimsUnavailableRefusal(error)),
      Right: (binding) => this.#callBound(binding, request, signal),
    });
  }

  /** Answers through the owner in an existing claim without writing a claim. */
  async #callWithExistingClaim(
    id: string,
    { request, refusal, signal }: {
      readonly request: KeyedRequest;
      readonly refusal: Refusal;
      readonly signal: AbortSignal;
    },
  ): Promise<CallResult> {
    const found = await waitUntilDeadline(
      this.#options.claims.find(id),
      { clock: this.#options.clock, deadline: request.deadline, signal },
    );
    if (found === undefined || found.isLeft()) {
      return Left(createWithRunState(refusal, "unknown"));
    }
    const binding = found.unsafeCoerce();
    if (binding === undefined) return Left(refusal);
    return this.#callBound(binding, request, signal);
  }

  #callBound(
    binding: KeyBinding,
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const { identity } = this.#options;
    const isOwner = binding.node === identity.node &&
      binding.incarnation === identity.incarnation;
    return isOwner
      ? this.callAsOwner(binding, request, signal)
      : this.#options.forwarding.call(binding, request, signal);
  }

  /** Runs a key's call to its end, even if its callers have disconnected. */
  async #run(
    id: string,
    request: KeyedRequest,
    permit: Permit,
  ): Promise<void> {
    let outcome: KeyOutcome;
    try {
      const result = await this.#options.send(request);
      outcome = result.caseOf<KeyOutcome>({
        Right: (answer) => ({ kind: "answered", answer }),
        Left: (refusal) => ({
          kind: "refused",
          refusal: createFinalRefusal(refusal),
        }),
      });
    } catch (thrown) {
      const refusal = createKeyOutcomeUnknownRefusal(
        `internal failure: ${thrown}`,
      );
      outcome = { kind: "refused", refusal };
    }
    permit.release();
    this.#options.records.setOutcome(id, outcome);
  }

  async #waitOutcome(
    record: KeyRecord,
    { request, fingerprint, signal }: {
      readonly request: KeyedRequest;
      readonly fingerprint: string;
      readonly signal: AbortSignal;
    },
  ): Promise<CallResult> {
    if (record.fingerprint !== fingerprint) {
      return Left(createBadKeyRefusal("it was used with another request"));
    }
    const outcome = record.outcome ??
      await waitUntilDeadline(record.wait(), {
        clock: this.#options.clock,
        deadline: request.deadline,
        signal,
      });
    if (outcome === undefined) {
      const reason = "it has not ended; send it again with the same key";
      return Left(createKeyOutcomeUnknownRefusal(reason));
    }
    switch (outcome.kind) {
      case "answered":
        return Right(outcome.answer);
      case "dropped":
        return Left(createAnswerDroppedRefusal());
      case "refused":
        return Left(outcome.refusal);
    }
  }

  /** Finds the refusal of a key without a record whose call must not begin. */
  #findRefusal(
    binding: KeyBinding,
    request: KeyedRequest,
  ): Refusal | undefined {
    const now = this.#options.clock.now();
    if (now - binding.boundAtMs > this.#options.lifetimeMs) {
      return createExpiredRefusal();
    }
    if (this.#state === "closed") return createLeavingOwnerRefusal();
    return now >= request.deadline
      ? createDeadlineRefusal("not_run")
      : undefined;
  }

  /** Finds the refusal of a call for which no claim is written now. */
  #findClaimRefusal(request: KeyedRequest): Refusal | undefined {
    if (this.#state !== "open") return createDrainingRefusal();
    const admitted = this.#options.limiter.check(request.team, 1);
    return admitted.isLeft() ? admitted.extract() as Refusal : undefined;
  }
}

/** Computes the id of a caller-made key; keys of different teams differ. */
export function computeClaimId(request: KeyedRequest): string {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([request.team.name, request.key]));
  return hash.digest("hex").slice(0, claimIdLength);
}

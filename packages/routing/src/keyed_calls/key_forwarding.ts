/**
 * Forwards calls to the owners of their keys, or to successors of owners that
 * left.
 *
 * A failed forward is retried, since the owner gives every copy the same answer.
 * If neither the owner nor its successors know the outcome, it is unknown.
 */

import { type Either, Left } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import { chooseSuccessors, type ReceivedOutcomes } from "./key_hand_over.ts";
import type {
  ForwardedOutcome,
  KeyBinding,
  KeyOwner,
  KeyPeers,
} from "./key_peers.ts";
import {
  createBadKeyRefusal,
  createKeyOutcomeUnknownRefusal,
} from "./key_refusals.ts";
import {
  computeFingerprint,
  decodeOutcome,
  encodeCall,
  encodeOutcome,
  type KeyedRequest,
} from "./key_wire.ts";
import type { Refusal } from "../admission/refusal.ts";
import { waitUntilDeadline } from "../admission/wait_until_deadline.ts";

const maxForwards = 3;
const forwardPauseMs = 50;
/** Longest wait for an answer from a peer that is not listed as alive. */
const suspectedPeerWaitMs = 500;
/** Time in which an unknown owner may become known. */
const unknownPeerWaitMs = 1_000;
const forwardAbortReason = "the wait for the owner has ended";

/** Dependencies of `KeyForwarding`. */
export interface KeyForwardingOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly hasher: Hasher;
  readonly identity: KeyOwner;
  readonly peers: KeyPeers;
  readonly receivedOutcomes: ReceivedOutcomes;
}

/** What one process answered, or why it did not answer. */
type PeerResult =
  | { readonly kind: "outcome"; readonly outcome: ForwardedOutcome }
  | {
    readonly kind: "failed";
    readonly reason: string;
    /** Whether an immediate retry cannot help. */
    readonly isFinal: boolean;
    readonly isUnknownPeer: boolean;
  };

/** A call to forward. */
interface PendingCall {
  readonly binding: KeyBinding;
  readonly request: KeyedRequest;
  readonly signal: AbortSignal;
}

/** Forwards the calls that one process received. */
export class KeyForwarding {
  readonly #options: KeyForwardingOptions;

  private constructor(options: KeyForwardingOptions) {
    this.#options = options;
  }

  static create(options: KeyForwardingOptions): KeyForwarding {
    return new KeyForwarding(options);
  }

  /** Answers a call whose key another process owns; refuses if none answers. */
  async call(
    binding: KeyBinding,
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>> {
    const result = await this.#callOwner(binding, request, signal);
    const known = findOutcome(result) ?? this.findReceived(binding, request) ??
      await this.#callSuccessors(binding, request, signal);
    if (known !== undefined) return decodeOutcome(known);
    const later = await this.#waitForOwner(result, {
      binding,
      request,
      signal,
    });
    const outcome = findOutcome(later);
    if (outcome !== undefined) return decodeOutcome(outcome);
    const reason = later.kind === "failed"
      ? later.reason
      : `node ${binding.node} that owned the key was restarted`;
    return Left(createKeyOutcomeUnknownRefusal(reason));
  }

  /** Finds the answer to a call among the outcomes handed over to this node. */
  findReceived(
    binding: KeyBinding,
    request: KeyedRequest,
  ): ForwardedOutcome | undefined {
    const handed = this.#options.receivedOutcomes.find(binding);
    if (handed === undefined) return undefined;
    if (handed.fingerprint === computeFingerprint(request)) {
      return handed.outcome;
    }
    const refusal = createBadKeyRefusal("it was used with another request");
    return encodeOutcome(Left(refusal));
  }

  async #callOwner(
    binding: KeyBinding,
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<PeerResult> {
    const { clock, identity } = this.#options;
    if (binding.node === identity.node) {
      return { kind: "outcome", outcome: { kind: "not_owner" } };
    }
    let result: PeerResult = {
      kind: "failed",
      reason: "the call ended before the owner of its key was asked",
      isFinal: true,
      isUnknownPeer: false,
    };
    for (let tries = 0; tries < maxForwards; tries++) {
      if (tries > 0) await clock.sleep(forwardPauseMs, signal);
      if (clock.now() >= request.deadline || signal.aborted) break;
      result = await this.#callPeer(binding, { binding, request, signal });
      if (result.kind === "outcome" || result.isFinal) break;
    }
    return result;
  }

  /** Retries while the owner is unknown, as this node may have just started. */
  async #waitForOwner(
    result: PeerResult,
    pending: PendingCall,
  ): Promise<PeerResult> {
    const { clock } = this.#options;
    const { binding, request, signal } = pending;
    const until = Math.min(request.deadline, clock.now() + unknownPeerWaitMs);
    let last = result;
    while (last.kind === "failed" && last.isUnknownPeer) {
      await clock.sleep(forwardPauseMs, signal);
      if (clock.now() >= until || signal.aborted) break;
      last = await this.#callOwner(binding, request, signal);
    }
    return last;
  }

  async #callSuccessors(
    binding: KeyBinding,
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome | undefined> {
    const { clock, hasher, identity, peers } = this.#options;
    const alive = [identity, ...peers.list()];
    for (const successor of chooseSuccessors(hasher, binding, alive)) {
      if (successor.node === identity.node) continue;
      if (clock.now() >= request.deadline || signal.aborted) return undefined;
      const result = await this.#callPeer(successor, {
        binding,
        request,
        signal,
      });
      const outcome = findOutcome(result);
      if (outcome !== undefined) return outcome;
    }
    return undefined;
  }

  async #callPeer(
    peer: KeyOwner,
    { binding, request, signal }: PendingCall,
  ): Promise<PeerResult> {
    const { clock, metrics, peers } = this.#options;
    const deadline = this.#computeDeadline(peer, request);
    metrics.count("key_forwards_total");
    const call = encodeCall(
      request,
      binding,
      request.deadline - clock.now(),
    );
    const stop = new AbortController();
    const answer = await waitUntilDeadline(
      peers.forward(peer, call, stop.signal),
      { clock, deadline, signal },
    );
    stop.abort(forwardAbortReason);
    if (answer === undefined) {
      metrics.count("key_forwards_failed_total", { reason: "no_answer" });
      const reason =
        `node ${peer.node} that owns the key did not answer in time`;
      return { kind: "failed", reason, isFinal: true, isUnknownPeer: false };
    }
    return answer.caseOf<PeerResult>({
      Right: (outcome) => ({ kind: "outcome", outcome }),
      Left: (error) => {
        metrics.count("key_forwards_failed_total", { reason: error.kind });
        const isUnknownPeer = error.kind === "unknown_peer";
        const reason = error.message;
        return {
          kind: "failed",
          reason,
          isFinal: isUnknownPeer,
          isUnknownPeer,
        };
      },
    });
  }

  /** Limits the wait for a peer that membership does not list as alive. */
  #computeDeadline(peer: KeyOwner, request: KeyedRequest): number {
    const { clock, peers } = this.#options;
    const isAlive = peers.list().some(({ node }) => node === peer.node);
    return isAlive
      ? request.deadline
      : Math.min(request.deadline, clock.now() + suspectedPeerWaitMs);
  }
}

function findOutcome(result: PeerResult): ForwardedOutcome | undefined {
  return result.kind === "outcome" && result.outcome.kind !== "not_owner"
    ? result.outcome
    : undefined;
}

/**
 * Passes calls to the owners of their keys, or to the heirs of owners that left.
 *
 * A call is passed on again after a failure, as its owner answers each copy
 * alike. When neither owner nor heirs tell, the outcome is unknown.
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
  createOutcomeUnknownRefusal,
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
const suspectedWaitMs = 500;
const unknownPeerWaitMs = 1_000;
const forwardEnded = "the wait for the owner has ended";

/** Options of the forwarding. */
export interface KeyForwardingOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly hasher: Hasher;
  readonly identity: KeyOwner;
  readonly peers: KeyPeers;
  readonly receivedOutcomes: ReceivedOutcomes;
}

/** What one process told, or why it did not. */
type Told =
  | { readonly kind: "outcome"; readonly outcome: ForwardedOutcome }
  | {
    readonly kind: "failed";
    readonly reason: string;
    /** Whether asking again at once is of no use. */
    readonly final: boolean;
    readonly isUnknownPeer: boolean;
  };

/** A call to ask a peer about. */
interface Question {
  readonly binding: KeyBinding;
  readonly request: KeyedRequest;
  readonly signal: AbortSignal;
}

/** Forwarding of one process. */
export class KeyForwarding {
  readonly #options: KeyForwardingOptions;

  private constructor(options: KeyForwardingOptions) {
    this.#options = options;
  }

  static create(options: KeyForwardingOptions): KeyForwarding {
    return new KeyForwarding(options);
  }

  /** Answers a call whose key another process owns. */
  async call(
    binding: KeyBinding,
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>> {
    const told = await this.#callOwner(binding, request, signal);
    const known = findOutcome(told) ?? this.findReceived(binding, request) ??
      await this.#callHeirs(binding, request, signal);
    if (known !== undefined) return decodeOutcome(known);
    const later = await this.#waitForOwner(told, { binding, request, signal });
    const outcome = findOutcome(later);
    if (outcome !== undefined) return decodeOutcome(outcome);
    const reason = later.kind === "failed"
      ? later.reason
      : `node ${binding.node} that owned the key was restarted`;
    return Left(createOutcomeUnknownRefusal(reason));
  }

  /** Finds the answer to a call among the outcomes handed to this process. */
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
  ): Promise<Told> {
    const { clock, identity } = this.#options;
    if (binding.node === identity.node) {
      return { kind: "outcome", outcome: { kind: "not_owner" } };
    }
    let told: Told = {
      kind: "failed",
      reason: "its time was over before its owner was asked",
      final: true,
      isUnknownPeer: false,
    };
    for (let tries = 0; tries < maxForwards; tries++) {
      if (tries > 0) await clock.sleep(forwardPauseMs, signal);
      if (clock.now() >= request.deadline || signal.aborted) break;
      told = await this.#callPeer(binding, { binding, request, signal });
      if (told.kind === "outcome" || told.final) break;
    }
    return told;
  }

  /** Asks again while the owner is not known: this node may have just started. */
  async #waitForOwner(told: Told, question: Question): Promise<Told> {
    const { clock } = this.#options;
    const { binding, request, signal } = question;
    const until = Math.min(request.deadline, clock.now() + unknownPeerWaitMs);
    let last = told;
    while (last.kind === "failed" && last.isUnknownPeer) {
      await clock.sleep(forwardPauseMs, signal);
      if (clock.now() >= until || signal.aborted) break;
      last = await this.#callOwner(binding, request, signal);
    }
    return last;
  }

  async #callHeirs(
    binding: KeyBinding,
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome | undefined> {
    const { clock, hasher, identity, peers } = this.#options;
    const alive = [identity, ...peers.list()];
    for (const heir of chooseSuccessors(hasher, binding, alive)) {
      if (heir.node === identity.node) continue;
      if (clock.now() >= request.deadline || signal.aborted) return undefined;
      const told = await this.#callPeer(heir, { binding, request, signal });
      const outcome = findOutcome(told);
      if (outcome !== undefined) return outcome;
    }
    return undefined;
  }

  async #callPeer(
    peer: KeyOwner,
    { binding, request, signal }: Question,
  ): Promise<Told> {
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
    stop.abort(forwardEnded);
    if (answer === undefined) {
      metrics.count("key_forwards_failed_total", { reason: "no_answer" });
      const reason =
        `node ${peer.node} that owns the key did not answer in time`;
      return { kind: "failed", reason, final: true, isUnknownPeer: false };
    }
    return answer.caseOf<Told>({
      Right: (outcome) => ({ kind: "outcome", outcome }),
      Left: (error) => {
        metrics.count("key_forwards_failed_total", { reason: error.kind });
        const isUnknownPeer = error.kind === "unknown_peer";
        const reason = error.message;
        return { kind: "failed", reason, final: isUnknownPeer, isUnknownPeer };
      },
    });
  }

  /** A peer that is suspected is not waited for until the call's deadline. */
  #computeDeadline(peer: KeyOwner, request: KeyedRequest): number {
    const { clock, peers } = this.#options;
    const isAlive = peers.list().some(({ node }) => node === peer.node);
    return isAlive
      ? request.deadline
      : Math.min(request.deadline, clock.now() + suspectedWaitMs);
  }
}

function findOutcome(told: Told): ForwardedOutcome | undefined {
  return told.kind === "outcome" && told.outcome.kind !== "not_owner"
    ? told.outcome
    : undefined;
}

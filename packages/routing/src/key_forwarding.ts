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
import { chooseHeirs, type KeyInheritance } from "./key_inheritance.ts";
import type {
  ForwardedOutcome,
  KeyBinding,
  KeyOwner,
  KeyPeers,
} from "./key_peers.ts";
import { createBadKeyRefusal, createLostOwnerRefusal } from "./key_refusals.ts";
import {
  computeFingerprint,
  decodeOutcome,
  encodeCall,
  encodeOutcome,
  type KeyedRequest,
} from "./key_wire.ts";
import type { Refusal } from "./refusal.ts";
import { waitUntilDue } from "./wait_until_due.ts";

const maxForwards = 3;
const forwardPauseMs = 50;
const suspectedWaitMs = 500;
const forwardEnded = "the wait for the owner has ended";

/** Options of the forwarding. */
export interface KeyForwardingOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly hasher: Hasher;
  readonly identity: KeyOwner;
  readonly peers: KeyPeers;
  readonly inheritance: KeyInheritance;
}

/** What one process told, or why it did not. */
type Told =
  | { readonly kind: "outcome"; readonly outcome: ForwardedOutcome }
  | {
    readonly kind: "failed";
    readonly reason: string;
    readonly final: boolean;
  };

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
    const told = await this.#askOwner(binding, request, signal);
    if (told.kind === "outcome" && told.outcome.kind !== "not_owner") {
      return decodeOutcome(told.outcome);
    }
    const inherited = this.findInherited(binding, request) ??
      await this.#askHeirs(binding, request, signal);
    if (inherited !== undefined) return decodeOutcome(inherited);
    const reason = told.kind === "failed"
      ? told.reason
      : `node ${binding.node} that owned the key was restarted`;
    return Left(createLostOwnerRefusal(reason));
  }

  /** Finds the answer to a call among the outcomes handed to this process. */
  findInherited(
    binding: KeyBinding,
    request: KeyedRequest,
  ): ForwardedOutcome | undefined {
    const handed = this.#options.inheritance.find(binding);
    if (handed === undefined) return undefined;
    if (handed.fingerprint === computeFingerprint(request)) {
      return handed.outcome;
    }
    const refusal = createBadKeyRefusal("it was used with another request");
    return encodeOutcome(Left(refusal));
  }

  async #askOwner(
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
    };
    for (let tries = 0; tries < maxForwards; tries++) {
      if (tries > 0) await clock.sleep(forwardPauseMs, signal);
      if (clock.now() >= request.deadline || signal.aborted) break;
      told = await this.#ask(binding, { binding, request, signal });
      if (told.kind === "outcome" || told.final) break;
    }
    return told;
  }

  async #askHeirs(
    binding: KeyBinding,
    request: KeyedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome | undefined> {
    const { clock, hasher, identity, peers } = this.#options;
    const alive = [identity, ...peers.list()];
    for (const heir of chooseHeirs(hasher, binding, alive)) {
      if (heir.node === identity.node) continue;
      if (clock.now() >= request.deadline || signal.aborted) return undefined;
      const told = await this.#ask(heir, { binding, request, signal });
      if (told.kind === "outcome" && told.outcome.kind !== "not_owner") {
        return told.outcome;
      }
    }
    return undefined;
  }

  async #ask(
    peer: KeyOwner,
    { binding, request, signal }: {
      readonly binding: KeyBinding;
      readonly request: KeyedRequest;
      readonly signal: AbortSignal;
    },
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
    const answer = await waitUntilDue(
      peers.forward(peer, call, stop.signal),
      { clock, deadline, signal },
    );
    stop.abort(forwardEnded);
    if (answer === undefined) {
      metrics.count("key_forwards_failed_total", { reason: "no_answer" });
      const reason =
        `node ${peer.node} that owns the key did not answer in time`;
      return { kind: "failed", reason, final: true };
    }
    return answer.caseOf<Told>({
      Right: (outcome) => ({ kind: "outcome", outcome }),
      Left: (error) => {
        metrics.count("key_forwards_failed_total", { reason: error.kind });
        const final = error.kind === "unknown_peer";
        return { kind: "failed", reason: error.message, final };
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

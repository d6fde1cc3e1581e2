/**
 * Errors of calls between nodes.
 */

import { KindError } from "@almondcrank/common/kind_error.ts";
import type { Address } from "@almondcrank/common/address.ts";
import type { RunState } from "@almondcrank/endpoint/endpoint_error.ts";

/** Why a call to a peer failed. */
export type PeerErrorDetail =
  /** No connection was made, so nothing was sent. */
  | {
    readonly kind: "unreachable";
    readonly peer: Address;
    readonly reason: string;
  }
  /** The peer refused the key proof before it read the call. */
  | { readonly kind: "unauthorized"; readonly peer: Address }
  /** The connection ended after the call was sent. */
  | {
    readonly kind: "connection_lost";
    readonly peer: Address;
    readonly reason: string;
  }
  /** No answer came within the deadline. */
  | {
    readonly kind: "timeout";
    readonly peer: Address;
    readonly timeoutMs: number;
  }
  /** The peer handled the call and reported a failure. */
  | {
    readonly kind: "failed";
    readonly peer: Address;
    readonly code: string;
    readonly reason: string;
  }
  /** The answer does not follow the protocol. */
  | {
    readonly kind: "bad_answer";
    readonly peer: Address;
    readonly reason: string;
  };

/** A failed call to a peer. */
export class PeerError extends KindError<PeerErrorDetail> {
  static create(detail: PeerErrorDetail): PeerError {
    return new PeerError(detail, formatPeerError(detail));
  }

  /** Whether the peer may have run the call despite the failure. */
  get run(): RunState {
    return findRunState(this.detail);
  }
}

function findRunState(detail: PeerErrorDetail): RunState {
  switch (detail.kind) {
    case "unreachable":
    case "unauthorized":
      return "not_run";
    case "connection_lost":
    case "timeout":
    case "failed":
    case "bad_answer":
      return "unknown";
  }
}

function formatPeerError(detail: PeerErrorDetail): string {
  const { peer } = detail;
  switch (detail.kind) {
    case "unreachable":
      return `peer ${peer} is unreachable (${detail.reason}); use another`;
    case "unauthorized":
      return `peer ${peer} refused the shared key; set the same peer key in the settings of all nodes`;
    case "connection_lost":
      return `connection to peer ${peer} was lost (${detail.reason}); repeat the call if it is idempotent`;
    case "timeout":
      return `peer ${peer} gave no answer within ${
        Math.round(detail.timeoutMs)
      } ms; repeat the call if it is idempotent`;
    case "failed":
      return `peer ${peer} failed the call with ${detail.code} (${detail.reason}); see its log`;
    case "bad_answer":
      return `peer ${peer} sent an answer outside the protocol (${detail.reason}); run the same version on all nodes`;
  }
}

/**
 * Teams' limits as the request paths use them.
 */

import type { Either } from "purify-ts";
import type { Team } from "@almondcrank/common/configuration.ts";
import type { Refusal } from "../admission/refusal.ts";

/** Permission to send one request; released once, when the request has ended. */
export interface Permit {
  release(): void;
}

/** Admits requests within the limits of their teams. */
export interface Limiter {
  /** Counts the request against its team's limit, or refuses it. */
  admit(team: Team, cost: number): Either<Refusal, Permit>;
  /** Tells whether a request would be admitted, without counting it. */
  check(team: Team, cost: number): Either<Refusal, void>;
}

/**
 * Interface of team limits for the request paths.
 */

import type { Either } from "purify-ts";
import type { Team } from "@almondcrank/common/configuration.ts";
import type { Refusal } from "../admission/refusal.ts";

/** Permit of one admitted request; released once, when the request has ended. */
export interface Permit {
  release(): void;
}

/** Admits requests within the limits of their teams. */
export interface Limiter {
  /**
   * Counts the request against its team's limit, or refuses it.
   *
   * @param cost Cost of the request, in requests or tokens as the limits count.
   */
  admit(team: Team, cost: number): Either<Refusal, Permit>;
  /** Checks whether a request would be admitted, without counting it. */
  check(team: Team, cost: number): Either<Refusal, void>;
}

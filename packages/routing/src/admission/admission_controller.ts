/**
 * Admission control of requests to model services.
 *
 * A request that is predicted to miss its deadline, or to wait for too large a
 * share of its first-token target, is refused at once. This keeps the engines'
 * queues short enough for the accepted requests. The limit is well below the
 * target because other nodes admit at the same time from the same late reports.
 * The lower a team's priority, the shorter its wait limit, so that under overload
 * the requests of the lowest priority are shed first.
 *
 * The prefill of the request's own input does not count towards the limit: a long
 * prompt on an idle replica is not a sign of overload.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import { DecayingValue } from "@almondcrank/common/decaying_value.ts";
import type { ModelRequest } from "../routers/model_router.ts";
import { Refusal } from "./refusal.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";

/** Share of the first-token target that priority 0 may wait. */
const maxWaitShare = 0.35;
/** Share subtracted for each lower priority. */
const waitShareStep = 0.035;
/** Time constant with which the counts for `Retry-After` decay. */
const demandDecayMs = 2_000;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 30_000;
/** Upper bound of the ratio of demand to accepted requests. */
const maxDemandFactor = 10;

/** Accepts or refuses requests before they are sent. */
export class AdmissionController {
  readonly #clock: Clock;
  readonly #accepted = DecayingValue.create(demandDecayMs);
  readonly #refused = DecayingValue.create(demandDecayMs);

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): AdmissionController {
    return new AdmissionController(clock);
  }

  /** Accepts or refuses a request by the predictions for its chosen replica. */
  check(request: ModelRequest, choice: ReplicaChoice): Either<Refusal, void> {
    const now = this.#clock.now();
    const limitMs = computeWaitLimit(request);
    const lateMs = Math.max(
      choice.waitMs - limitMs,
      now + choice.totalMs - request.deadline,
    );
    if (lateMs <= 0) {
      this.#accepted.add(1, now);
      return Right(undefined);
    }
    this.#refused.add(1, now);
    return Left(this.#createRefusal(lateMs, now));
  }

  /**
   * Without new requests the backlog drains by 1 ms each millisecond. The delay
   * is multiplied by the ratio of demand to accepted requests, since retries
   * compete with new requests.
   */
  #createRefusal(lateMs: number, now: number): Refusal {
    const accepted = this.#accepted.read(now);
    const refused = this.#refused.read(now);
    const demand = (accepted + refused) / Math.max(1, accepted);
    const factor = Math.min(maxDemandFactor, demand);
    const retryAfterMs = Math.min(
      maxRetryAfterMs,
      Math.max(minRetryAfterMs, Math.ceil(lateMs * factor)),
    );
    return Refusal.create({
      kind: "overload",
      run: "not_run",
      retryAfterMs,
      message: `the request would be ${Math.ceil(lateMs)} ms late; ` +
        `send it again in ${retryAfterMs} ms or allow more time`,
    });
  }
}

/** Longest predicted wait until prefill starts, in milliseconds. */
function computeWaitLimit({ service, team }: ModelRequest): number {
  const share = maxWaitShare - waitShareStep * team.priority;
  return service.target.firstTokenMs * share;
}

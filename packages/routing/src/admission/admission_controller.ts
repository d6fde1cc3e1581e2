/**
 * Admission of requests to model services.
 *
 * A request that is predicted to miss its deadline, or to wait for too large a
 * part of the target for the first token, is refused at once, so that the queues
 * of engines stay short enough for those that are accepted. The limit lies well
 * below the target, since other nodes admit at the same time from the same late
 * reports. The higher a team's priority, the longer it may wait: under overload
 * the lowest priority meets its limit first and is shed first.
 *
 * Computing the request's own input does not count towards the limit: a long
 * prompt on an idle replica is not a sign of overload.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { ModelRequest } from "../routers/model_router.ts";
import { Refusal } from "./refusal.ts";
import type { ReplicaChoice } from "../choice/replica_chooser.ts";

/** Share of the first-token target that the first priority may wait. */
const highestShare = 0.35;
/** Share taken off for each step of priority. */
const shareStep = 0.035;
/** Time constant of the counts behind `Retry-After`, in milliseconds. */
const demandDecayMs = 2_000;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 30_000;
/** Demand beyond capacity is at most taken as this factor. */
const maxDemandFactor = 10;

/** Decides whether a request is worth starting. */
export class AdmissionController {
  readonly #clock: Clock;
  #accepted = 0;
  #refused = 0;
  #countedAt = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): AdmissionController {
    return new AdmissionController(clock);
  }

  /** Accepts or refuses a request by what is predicted of its best replica. */
  check(request: ModelRequest, choice: ReplicaChoice): Either<Refusal, void> {
    const now = this.#clock.now();
    this.#recordElapsed(now);
    const limitMs = computeWaitLimit(request);
    const lateMs = Math.max(
      choice.waitMs - limitMs,
      now + choice.totalMs - request.deadline,
    );
    if (lateMs <= 0) {
      this.#accepted++;
      return Right(undefined);
    }
    this.#refused++;
    return Left(this.#createRefusal(lateMs));
  }

  /**
   * The backlog drains one millisecond a millisecond when nothing is added, and
   * slower by the demand that competes for it.
   */
  #createRefusal(lateMs: number): Refusal {
    const demand = (this.#accepted + this.#refused) /
      Math.max(1, this.#accepted);
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

  #recordElapsed(now: number): void {
    const keep = Math.exp((this.#countedAt - now) / demandDecayMs);
    this.#accepted *= keep;
    this.#refused *= keep;
    this.#countedAt = now;
  }
}

/** Longest predicted wait before its input is computed that a request may have. */
function computeWaitLimit({ service, team }: ModelRequest): number {
  const share = highestShare - shareStep * team.priority;
  return service.target.firstTokenMs * share;
}

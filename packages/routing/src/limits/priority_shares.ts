/**
 * Which requests a nearly empty allowance prefers.
 *
 * The load that this answers: a tenant whose urgent requests alone exceed its
 * allowance. With unlimited preference they would take all of it, and without any
 * the urgent would fare no better than the rest. So they are preferred as long as
 * the others are still admitted in a fixed proportion to them.
 */

import { DecayingValue } from "@almondcrank/common/decaying_value.ts";

/** Time in which what was admitted and refused decays to 1/e. */
const decayMs = 8_000;
/** Largest ratio of the urgent requests' admitted share to that of the others. */
const maxPreference = 1.5;

/** Requests of each preference assumed to be admitted, so that few decide nothing. */
const assumedRequests = 3;

/** Number of requests of one preference. */
interface Outcomes {
  readonly offered: DecayingValue;
  readonly admitted: DecayingValue;
}

/** Admitted shares of one tenant. Times are monotonic, in milliseconds. */
export class PriorityShares {
  readonly #urgent = createOutcomes();
  readonly #others = createOutcomes();

  static create(): PriorityShares {
    return new PriorityShares();
  }

  /** Records whether a request of a priority was admitted; 0 is the highest. */
  record(priority: number, isAdmitted: boolean, now: number): void {
    const outcomes = priority === 0 ? this.#urgent : this.#others;
    outcomes.offered.add(1, now);
    if (isAdmitted) outcomes.admitted.add(1, now);
  }

  /** Whether urgent requests may use what is closed to the others. */
  isUrgentPreferred(now: number): boolean {
    return readShare(this.#urgent, now) <=
      readShare(this.#others, now) * maxPreference;
  }
}

function createOutcomes(): Outcomes {
  return {
    offered: DecayingValue.create(decayMs),
    admitted: DecayingValue.create(decayMs),
  };
}

function readShare({ offered, admitted }: Outcomes, now: number): number {
  return (admitted.read(now) + assumedRequests) /
    (offered.read(now) + assumedRequests);
}

/**
 * Measures one team's demand and use of a pool at this node.
 */

/** Weight of the latest interval in the moving average of offered cost. */
const rateWeight = 0.5;
/** Factor by which earlier holds count less with each interval. */
const holdDecay = 0.5;
/** Decayed number of holds below which their mean is not known. */
const minHoldCount = 1;

/** Offered cost per second, cost in flight and mean hold time. */
export class TeamMeter {
  /** Cost of the requests in flight. */
  inFlight = 0;
  #offered = 0;
  #offeredRate = 0;
  #holdSumMs = 0;
  #holdCount = 0;

  static create(): TeamMeter {
    return new TeamMeter();
  }

  /** Cost offered per second, including refused requests. */
  get offeredRate(): number {
    return this.#offeredRate;
  }

  /** Mean time for which recent requests held their cost; undefined without any. */
  get holdMs(): number | undefined {
    return this.#holdCount < minHoldCount
      ? undefined
      : this.#holdSumMs / this.#holdCount;
  }

  /** Counts the cost of a request, admitted or refused. */
  recordOffer(cost: number): void {
    this.#offered += cost;
  }

  /** Records the time between admission and release of a request. */
  recordHold(ms: number): void {
    this.#holdSumMs += ms;
    this.#holdCount++;
  }

  /** Ends a measuring interval of `elapsedMs`. */
  advance(elapsedMs: number): void {
    if (elapsedMs <= 0) return;
    const offeredRate = this.#offered * 1_000 / elapsedMs;
    this.#offeredRate += rateWeight * (offeredRate - this.#offeredRate);
    this.#offered = 0;
    this.#holdSumMs *= holdDecay;
    this.#holdCount *= holdDecay;
  }
}

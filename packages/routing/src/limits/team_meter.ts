/**
 * Measures one team's demand and use of a pool at this node.
 */

const rateWeight = 0.5;
const holdDecay = 0.5;
const minHolds = 1;

/** Offered cost a second, cost in flight and time for which it is held. */
export class TeamMeter {
  /** Cost of the requests in flight. */
  inFlight = 0;
  #offered = 0;
  #rate = 0;
  #holdSumMs = 0;
  #holds = 0;

  static create(): TeamMeter {
    return new TeamMeter();
  }

  /** Cost offered a second, refused requests included. */
  get rate(): number {
    return this.#rate;
  }

  /** Time for which requests lately held their cost; undefined without any. */
  get holdMs(): number | undefined {
    return this.#holds < minHolds ? undefined : this.#holdSumMs / this.#holds;
  }

  recordOffer(cost: number): void {
    this.#offered += cost;
  }

  recordHold(ms: number): void {
    this.#holdSumMs += ms;
    this.#holds++;
  }

  /** Ends a measuring interval. */
  advance(elapsedMs: number): void {
    if (elapsedMs <= 0) return;
    const rate = this.#offered * 1_000 / elapsedMs;
    this.#rate += rateWeight * (rate - this.#rate);
    this.#offered = 0;
    this.#holdSumMs *= holdDecay;
    this.#holds *= holdDecay;
  }
}

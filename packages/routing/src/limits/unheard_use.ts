/**
 * What a node has used of a shared allowance that other nodes may not have heard of.
 *
 * The load that this answers: many nodes that hear of each other's use late, while
 * demand rises many times over from one second to the next. The others' unheard use
 * can't be known, but requests come to all nodes alike: it is estimated from what
 * was heard last, raised in the proportion in which requests at this node exceed
 * their usual number.
 */

/** Requests in addition to the usual number, so that one request is no surge. */
const assumedRequests = 3;
/** Weight of the latest request in the mean cost. */
const meanCostWeight = 0.1;

/** Sums of one node at the time of a report. */
interface ReportedSums {
  readonly at: number;
  readonly admitted: number;
  readonly requests: number;
}

/** Use of one allowance by one node. Times are monotonic, in milliseconds. */
export class UnheardUse {
  #admitted = 0;
  #requests = 0;
  #meanCost = 0;
  /** Sums at the latest reports, oldest first. */
  readonly #sums: ReportedSums[];

  private constructor(now: number) {
    this.#sums = [{ at: now, admitted: 0, requests: 0 }];
  }

  static create(now: number): UnheardUse {
    return new UnheardUse(now);
  }

  /** Moving average of a request's cost. */
  get meanCost(): number {
    return this.#meanCost;
  }

  /** Records a request, whether it is admitted or refused. */
  recordRequest(cost: number): void {
    this.#meanCost = this.#requests === 0
      ? cost
      : this.#meanCost + (cost - this.#meanCost) * meanCostWeight;
    this.#requests += 1;
  }

  /** Adds admitted cost; negative for a refund. */
  recordAdmitted(cost: number): void {
    this.#admitted += cost;
  }

  /** Records that the sums are reported, and forgets those of older reports. */
  recordReport(now: number, heardUntil: number): void {
    const sums = this.#sums;
    sums.push({ at: now, admitted: this.#admitted, requests: this.#requests });
    let heard = 0;
    while ((sums[heard + 1]?.at ?? Infinity) <= heardUntil) heard += 1;
    sums.splice(0, heard);
  }

  /** Reads the admitted cost of which the others may not have heard. */
  readCost(): number {
    return this.#admitted - (this.#sums[0]?.admitted ?? 0);
  }

  /**
   * Computes how many times the usual the requests at this node are; at least 1.
   *
   * @param usualCost Cost that comes to this node in the same time as a rule.
   */
  computeSurge(usualCost: number): number {
    const usualRequests = usualCost / Math.max(1, this.#meanCost);
    const requests = this.#requests - (this.#sums[0]?.requests ?? 0);
    return Math.max(
      1,
      (assumedRequests + requests) / (assumedRequests + usualRequests),
    );
  }
}

/**
 * Checks of a running fleet that wait for something to hold, or not to happen.
 *
 * Each resolves to undefined, or to what did not hold.
 */

import type { RunningFleet } from "./running_fleet.ts";

const pollMs = 25;

/** Checks over one fleet. */
export class FleetChecks {
  readonly #fleet: RunningFleet;

  private constructor(fleet: RunningFleet) {
    this.#fleet = fleet;
  }

  static create(fleet: RunningFleet): FleetChecks {
    return new FleetChecks(fleet);
  }

  /** Counts how often a slot was booked. */
  async countBookings(slot: string): Promise<number> {
    let count = 0;
    for (let service = 1; service <= this.#fleet.size.bookings; service++) {
      const answer = await this.#fleet.sendControl(
        `booking-${service}`,
        "/records",
      );
      const { records } = answer.body as {
        records: readonly { slot?: string }[];
      };
      count += records.filter((record) => record.slot === slot).length;
    }
    return count;
  }

  /** Checks that a revision comes into force at every running node in time. */
  async checkInForce(
    revision: number,
    withinMs: number,
  ): Promise<string | undefined> {
    const end = Date.now() + withinMs;
    let behind = this.#fleet.runningNodes;
    while (Date.now() < end) {
      const revisions = await this.#readRevisions(behind);
      behind = behind.filter((node) => (revisions.get(node) ?? 0) < revision);
      if (behind.length === 0) return undefined;
      await sleep(pollMs);
    }
    return `not in force at nodes ${behind.join(", ")}`;
  }

  /** Checks that a node is ready in time. */
  async checkReady(
    node: number,
    withinMs: number,
  ): Promise<string | undefined> {
    const end = Date.now() + withinMs;
    while (Date.now() < end) {
      const answer = await this.#fleet.callOperator(node, "/status")
        .catch(() => undefined);
      const body = answer?.body as { readiness?: string } | undefined;
      if (body?.readiness === "ready") return undefined;
      await sleep(pollMs);
    }
    return "not ready";
  }

  /** Checks, after a while, that no request arrived beyond `since`. */
  async checkNoWork(
    engine: number,
    { since, forMs }: { readonly since: number; readonly forMs: number },
  ): Promise<string | undefined> {
    await sleep(forMs);
    const to = await this.readArrivals(engine);
    return to > since ? `${to - since} new requests arrived` : undefined;
  }

  async #readRevisions(
    nodes: readonly number[],
  ): Promise<ReadonlyMap<number, number>> {
    const revisions = new Map<number, number>();
    await Promise.all(nodes.map(async (node) => {
      const answer = await this.#fleet.callOperator(node, "/status")
        .catch(() => undefined);
      const body = answer?.body as { revision?: number } | undefined;
      revisions.set(node, body?.revision ?? 0);
    }));
    return revisions;
  }

  /** Requests that have arrived at an engine, declined ones included. */
  async readArrivals(engine: number): Promise<number> {
    const answer = await this.#fleet.sendControl(
      `engine-${engine}`,
      "/records",
    );
    return (answer.body as { totals: { calls: number } }).totals.calls;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Checks of a running fleet that wait until a condition holds or a time is over.
 *
 * Each resolves to undefined if it passes, or to a description of the failure.
 */

import type { RunningFleet } from "./running_fleet.ts";

const pollMs = 25;

/** Checks and counts of one fleet. */
export class FleetChecks {
  readonly #fleet: RunningFleet;

  private constructor(fleet: RunningFleet) {
    this.#fleet = fleet;
  }

  static create(fleet: RunningFleet): FleetChecks {
    return new FleetChecks(fleet);
  }

  /** Counts the bookings of a slot at all booking services. */
  async countBookings(slot: string): Promise<number> {
    let count = 0;
    for (let service = 1; service <= this.#fleet.size.bookings; service++) {
      const response = await this.#fleet.sendControl(
        `booking-${service}`,
        "/records",
      );
      const { records } = response.body as {
        records: readonly { slot?: string }[];
      };
      count += records.filter((record) => record.slot === slot).length;
    }
    return count;
  }

  /** Checks that a revision is in force at every running node within a time. */
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

  /** Checks that a node becomes ready within a time. */
  async checkReady(
    node: number,
    withinMs: number,
  ): Promise<string | undefined> {
    const end = Date.now() + withinMs;
    while (Date.now() < end) {
      const response = await this.#fleet.callOperator(node, "/status")
        .catch(() => undefined);
      const body = response?.body as { readiness?: string } | undefined;
      if (body?.readiness === "ready") return undefined;
      await sleep(pollMs);
    }
    return "not ready";
  }

  /**
   * Waits `waitMs`, then checks that an engine's arrivals still equal `since`.
   */
  async checkNoWork(
    engine: number,
    { since, waitMs }: {
      readonly since: number;
      readonly waitMs: number;
    },
  ): Promise<string | undefined> {
    await sleep(waitMs);
    const arrivals = await this.readArrivals(engine);
    return arrivals > since
      ? `${arrivals - since} new requests arrived`
      : undefined;
  }

  async #readRevisions(
    nodes: readonly number[],
  ): Promise<ReadonlyMap<number, number>> {
    const revisions = new Map<number, number>();
    await Promise.all(nodes.map(async (node) => {
      const response = await this.#fleet.callOperator(node, "/status")
        .catch(() => undefined);
      const body = response?.body as { revision?: number } | undefined;
      revisions.set(node, body?.revision ?? 0);
    }));
    return revisions;
  }

  /**
   * Reads how many requests have arrived at an engine, including declined ones.
   */
  async readArrivals(engine: number): Promise<number> {
    const response = await this.#fleet.sendControl(
      `engine-${engine}`,
      "/records",
    );
    return (response.body as { totals: { calls: number } }).totals.calls;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

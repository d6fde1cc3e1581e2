/**
 * Fault of a soak in which a part of prompts crashes each replica that begins
 * to answer a request with it. Replicas come back at their addresses.
 */

import { sleep } from "@almondcrank/standin/platform/replica_fault.ts";
import type { CrashRecord, FaultSpan } from "./records.ts";
import { registrationTtlMs } from "./replica_faults.ts";
import type { SoakReplica, SoakSystem } from "./soak_system.ts";

const part = "bad0";
/** Time from the end of a crashed replica's registration to its return. */
const returnMs = 1_000;

/** Lets prompt parts crash the replicas of one system. */
export class PartCrashes {
  readonly #system: SoakSystem;
  readonly #crashes: CrashRecord[] = [];
  readonly #spans: FaultSpan[] = [];

  private constructor(system: SoakSystem) {
    this.#system = system;
  }

  static create(system: SoakSystem): PartCrashes {
    return new PartCrashes(system);
  }

  /** Crashes so far, in order. */
  get crashes(): readonly CrashRecord[] {
    return this.#crashes;
  }

  /** Times from each crash to the return of its replica. */
  get spans(): readonly FaultSpan[] {
    return this.#spans;
  }

  /** Lets a part crash replicas for a time; resolves once all are back. */
  async run(durationMs: number): Promise<void> {
    const returns: Promise<void>[] = [];
    const subscription = this.#system.onCrash((replica) => {
      this.#crashes.push({
        part,
        replica: replica.standin.id,
        at: performance.now(),
      });
      returns.push(this.#returnLater(replica));
    });
    this.#system.setCrashingPart(part);
    await sleep(durationMs);
    this.#system.setCrashingPart(undefined);
    subscription.dispose();
    await Promise.all(returns);
  }

  async #returnLater(replica: SoakReplica): Promise<void> {
    const from = performance.now();
    await sleep(registrationTtlMs);
    this.#system.unregister(replica);
    await sleep(returnMs);
    await this.#system.replaceReplica(replica);
    this.#spans.push({
      from,
      to: performance.now(),
      name: "replica_crashes",
      isMasked: false,
      target: replica.standin.id,
    });
  }
}

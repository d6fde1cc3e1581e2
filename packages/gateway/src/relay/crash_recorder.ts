/**
 * Records for the quarantine how the runs of one request went: which replica broke
 * off before or just after its first output, and which run went on or was whole.
 */

import {
  listParts,
  type SuspectParts,
} from "@almondcrank/routing/quarantine/suspect_parts.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { RelayServices } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Time after its first output from which a run has gone well. */
const survivedAfterMs = 500;

/** Recorder of one request. */
export class CrashRecorder {
  readonly #services: RelayServices;
  readonly #suspects: SuspectParts;
  readonly #parts: readonly string[];
  /** Incarnations on which runs of this request broke. */
  readonly #brokenOn = new Set<string>();
  #startedAt: number | undefined;
  #hasSurvived = false;

  private constructor(
    services: RelayServices,
    { suspects }: RoutedRequest,
  ) {
    this.#services = services;
    this.#suspects = suspects;
    this.#parts = listParts(suspects);
  }

  static create(
    services: RelayServices,
    request: RoutedRequest,
  ): CrashRecorder {
    return new CrashRecorder(services, request);
  }

  /** Records that a replica began to answer. */
  recordBegin(): void {
    this.#startedAt = undefined;
    this.#hasSurvived = false;
  }

  /** Records that output has arrived. */
  recordOutput(): void {
    const now = this.#services.clock.now();
    this.#startedAt ??= now;
    if (now - this.#startedAt >= survivedAfterMs) this.#recordSurvival(now);
  }

  /** Records that the whole answer has arrived. */
  recordWhole(): void {
    this.#recordSurvival(this.#services.clock.now());
  }

  /** Records that the replica broke off the connection while it ran the request. */
  recordBroken({ key, replica }: ReplicaState): void {
    const { quarantine, clock, metrics } = this.#services;
    const now = clock.now();
    const outputMs = now - (this.#startedAt ?? now);
    if (outputMs >= survivedAfterMs) return;
    metrics.count("broken_starts_total", { service: replica.service });
    this.#brokenOn.add(key);
    quarantine.recordCrash(this.#parts, key, now);
  }

  /** Whether the request may be sent again, as far as its parts are concerned. */
  mayRepeat(): boolean {
    const { quarantine, clock } = this.#services;
    return quarantine.mayRepeat(this.#parts, this.#brokenOn, clock.now());
  }

  #recordSurvival(now: number): void {
    if (this.#hasSurvived) return;
    this.#hasSurvived = true;
    const startedAt = this.#startedAt ?? now;
    const { quarantine } = this.#services;
    const { shared, own } = this.#suspects;
    quarantine.recordSurvival(shared, startedAt, now);
    quarantine.recordOwnSurvival(own, startedAt, now);
  }
}

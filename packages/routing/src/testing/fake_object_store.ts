/**
 * The object API in memory, with calls that fail, take long, or lose their
 * answers before or after they took effect.
 */

import { type Either, Left, Right } from "purify-ts";
import type { ManualClock } from "@almondcrank/common/manual_clock.ts";
import type {
  ObjectStore,
  StoredObject,
  WriteOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";

const storeSlowMs = 300;

/** What happens to a write of the object API. */
export type StoreFault = "none" | "out" | "lost_before" | "lost_after" | "slow";

/** Object API in memory. */
export class FakeObjectStore implements ObjectStore {
  readonly objects = new Map<string, StoredObject>();
  /** Faults of the next calls; `fault` applies when it is empty. */
  readonly nextFaults: StoreFault[] = [];
  fault: StoreFault = "none";
  writes = 0;
  calls = 0;
  #version = 0;
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  async read(
    key: string,
  ): Promise<Either<PlatformError, StoredObject | undefined>> {
    const lost = await this.#meetFault();
    return lost === undefined ? Right(this.objects.get(key)) : Left(lost);
  }

  async list(
    prefix: string,
  ): Promise<
    Either<PlatformError, { version: number; objects: StoredObject[] }>
  > {
    const lost = await this.#meetFault();
    if (lost !== undefined) return Left(lost);
    const objects = [...this.objects.values()]
      .filter(({ key }) => key.startsWith(prefix));
    return Right({ version: this.#version, objects });
  }

  async write(
    key: string,
    value: unknown,
    condition: Parameters<ObjectStore["write"]>[2],
  ): Promise<Either<PlatformError, WriteOutcome>> {
    this.writes++;
    const fault = this.nextFaults[0] ?? this.fault;
    const lost = await this.#meetFault();
    if (fault === "out" || fault === "lost_before") return Left(lost!);
    const current = this.objects.get(key);
    const matches = condition.kind === "absent"
      ? current === undefined
      : current?.version === condition.version;
    if (matches) {
      this.objects.set(key, { key, version: ++this.#version, value });
    }
    if (lost !== undefined) return Left(lost);
    return Right(
      matches
        ? { kind: "written", version: this.#version }
        : { kind: "conflict", current },
    );
  }

  async remove(
    key: string,
    version: number,
  ): Promise<Either<PlatformError, WriteOutcome>> {
    this.writes++;
    const lost = await this.#meetFault();
    if (lost !== undefined) return Left(lost);
    const current = this.objects.get(key);
    if (current?.version !== version) {
      return Right({ kind: "conflict", current });
    }
    this.objects.delete(key);
    return Right({ kind: "written", version: ++this.#version });
  }

  watch(): never {
    throw new Error("claims are not watched");
  }

  async #meetFault(): Promise<PlatformError | undefined> {
    this.calls++;
    const fault = this.nextFaults.shift() ?? this.fault;
    const service = "object_api";
    switch (fault) {
      case "none":
        return undefined;
      case "slow":
        await this.#clock.sleep(storeSlowMs);
        return undefined;
      case "out":
        return PlatformError.create({
          kind: "unavailable",
          service,
          reason: "outage",
        });
      case "lost_before":
      case "lost_after":
        return PlatformError.create({
          kind: "outcome_unknown",
          service,
          reason: "answer lost",
        });
    }
  }
}

/**
 * In-memory object API whose calls can fail, take long, or lose their answers
 * before or after they took effect.
 */

import { type Either, Left, Right } from "purify-ts";
import type { ManualClock } from "@almondcrank/common/manual_clock.ts";
import type {
  ObjectStore,
  StoredObject,
  WriteOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";

const slowCallMs = 300;

/** Fault of a call; the answer is lost before or after a write took effect. */
export type StoreFault = "none" | "out" | "lost_before" | "lost_after" | "slow";

/** Object API in memory, with injected faults. */
export class FakeObjectStore implements ObjectStore {
  readonly objects = new Map<string, StoredObject>();
  /** Faults of the next calls; `fault` applies when it is empty. */
  readonly nextFaults: StoreFault[] = [];
  fault: StoreFault = "none";
  readonly era = 0;
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
    const error = await this.#takeFault();
    return error === undefined ? Right(this.objects.get(key)) : Left(error);
  }

  async list(
    prefix: string,
  ): Promise<
    Either<PlatformError, { version: number; objects: StoredObject[] }>
  > {
    const error = await this.#takeFault();
    if (error !== undefined) return Left(error);
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
    const error = await this.#takeFault();
    if (fault === "out" || fault === "lost_before") return Left(error!);
    const current = this.objects.get(key);
    const matches = condition.kind === "absent"
      ? current === undefined
      : current?.version === condition.version;
    if (matches) {
      this.objects.set(key, { key, version: ++this.#version, value });
    }
    if (error !== undefined) return Left(error);
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
    const error = await this.#takeFault();
    if (error !== undefined) return Left(error);
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

  async #takeFault(): Promise<PlatformError | undefined> {
    this.calls++;
    const fault = this.nextFaults.shift() ?? this.fault;
    const service = "object_api";
    switch (fault) {
      case "none":
        return undefined;
      case "slow":
        await this.#clock.sleep(slowCallMs);
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

/**
 * Lease on one shard of control work, with fencing tokens.
 *
 * The lease is one stored object, changed by conditional writes only. The
 * holder measures its validity on its monotonic clock from before it sent the
 * renewal; other processes measure the expiry on theirs from when they first
 * read the object's current version, which is later, so wall clocks are never
 * compared. Each new holder increments the fencing token. When the answer to a
 * write is lost, the object is read again: it holds the sequence number of its
 * last write, from which the holder knows when it sent that write.
 */

import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ObjectStore,
  StoredObject,
  WriteOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import { LeaseError } from "./lease_error.ts";

/** Prefix of the keys of lease objects in the object store. */
export const leasePrefix = "fleet/leases/";

/** Largest difference allowed between the rates of two clocks. */
const maxClockDrift = 0.01;
/** Latest writes whose sending times are kept. */
const maxTrackedWrites = 32;

/** Stored value of a lease. */
export interface LeaseRecord {
  /** Process that holds the lease, unique to its incarnation. */
  readonly holder: string;
  /** Fencing token, incremented by each new holder. */
  readonly fencing: number;
  /** Number of this write among the holder's writes. */
  readonly sequence: number;
  readonly durationMs: number;
  /** Whether the holder gave the lease up before its expiry. */
  readonly released: boolean;
}

const leaseRecord: z.ZodType<LeaseRecord> = z.object({
  holder: z.string(),
  fencing: z.number().int().nonnegative(),
  sequence: z.number().int().nonnegative(),
  durationMs: z.number().positive(),
  released: z.boolean(),
});

/** Dependencies and settings of a lease. */
export interface LeaseOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly shard: string;
  /** Name of this process, unique to its incarnation. */
  readonly holder: string;
  readonly durationMs: number;
}

/** State of a lease after an attempt to acquire or renew it. */
export type LeaseStatus =
  | { readonly kind: "held"; readonly fencing: number }
  /** Not held by this process; `holder` is empty if unknown. */
  | { readonly kind: "other"; readonly holder: string };

interface HeldLease {
  readonly fencing: number;
  readonly version: number;
  /** Monotonic time at which this process learned that it has this token. */
  readonly acquiredAt: number;
  /** Monotonic time, in milliseconds. */
  readonly validUntil: number;
}

/** Latest version of the lease object that was read or written. */
interface ObservedLease {
  /** 0 when nothing is stored. */
  readonly version: number;
  readonly record: LeaseRecord | undefined;
  readonly firstSeenAt: number;
}

/** One process's view of the lease on one shard. */
export class Lease {
  readonly #options: LeaseOptions;
  /** Monotonic time at which each recent write was sent, by sequence number. */
  readonly #sentAt = new Map<number, number>();
  #sequence = 0;
  #highestFencing = 0;
  #observed: ObservedLease | undefined;
  #held: HeldLease | undefined;

  private constructor(options: LeaseOptions) {
    this.#options = options;
  }

  static create(options: LeaseOptions): Lease {
    return new Lease(options);
  }

  get shard(): string {
    return this.#options.shard;
  }

  /** Monotonic time since which the current fencing token is held. */
  get acquiredAt(): number | undefined {
    return this.#held?.acquiredAt;
  }

  /**
   * Checks that this process holds the lease and that it has not lapsed.
   *
   * Call it right before each send.
   *
   * @returns The fencing token that the order carries, or a `not_held` or
   * `lapsed` error.
   */
  checkValid(): Either<LeaseError, number> {
    const { clock, shard } = this.#options;
    if (this.#held === undefined) return Left(this.#createNotHeldError());
    const lapsedMs = clock.now() - this.#held.validUntil;
    if (lapsedMs < 0) return Right(this.#held.fencing);
    return Left(LeaseError.create({ kind: "lapsed", shard, lapsedMs }));
  }

  /** Reads the lease and acquires it if it is free, released or expired. */
  async acquire(): Promise<Either<LeaseError, LeaseStatus>> {
    const read = await this.#options.store.read(this.#key);
    return read.caseOf<
      | Either<LeaseError, LeaseStatus>
      | Promise<Either<LeaseError, LeaseStatus>>
    >({
      Left: (cause) => Left(this.#createPlatformError(cause)),
      Right: (object) => {
        this.#recordObject(object);
        if (this.#held !== undefined) return this.renew();
        return this.#isFree() ? this.#claim() : Right(this.#status);
      },
    });
  }

  /**
   * Renews the lease, conditional on the version that this process last saw;
   * acquires it if it is not held.
   *
   * A lapsed lease is renewed too; this succeeds only if no other process has
   * acquired it in the meantime.
   */
  renew(): Promise<Either<LeaseError, LeaseStatus>> {
    const held = this.#held;
    if (held === undefined) return this.acquire();
    return this.#write({ fencing: held.fencing, released: false });
  }

  /** Gives the lease up at once; no order may be sent from now on. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    // Earlier writes must not count as a held lease again: the release may take
    // effect at any time from now on.
    this.#sentAt.clear();
    if (held === undefined) return;
    await this.#write({ fencing: held.fencing, released: true });
  }

  /**
   * Gives the lease up because an engine knows a newer fencing token; the next
   * acquisition uses a higher one.
   */
  markSuperseded(knownFencing: number): void {
    this.#highestFencing = Math.max(this.#highestFencing, knownFencing);
    this.#held = undefined;
    this.#sentAt.clear();
  }

  get #key(): string {
    return leasePrefix + this.#options.shard;
  }

  get #status(): LeaseStatus {
    if (this.#held !== undefined) {
      return { kind: "held", fencing: this.#held.fencing };
    }
    return { kind: "other", holder: this.#observed?.record?.holder ?? "" };
  }

  #claim(): Promise<Either<LeaseError, LeaseStatus>> {
    const fencing = this.#highestFencing + 1;
    return this.#write({ fencing, released: false });
  }

  async #write(
    { fencing, released }: Pick<LeaseRecord, "fencing" | "released">,
  ): Promise<Either<LeaseError, LeaseStatus>> {
    const { store, clock, holder, durationMs } = this.#options;
    this.#sequence += 1;
    const sequence = this.#sequence;
    const record = { holder, fencing, sequence, durationMs, released };
    const version = this.#observed?.version ?? 0;
    this.#sentAt.set(sequence, clock.now());
    this.#sentAt.delete(sequence - maxTrackedWrites);
    const outcome = await store.write(
      this.#key,
      record,
      version === 0 ? { kind: "absent" } : { kind: "version", version },
    );
    return outcome.bimap(
      (cause) => this.#createPlatformError(cause),
      (outcome) => this.#handleWriteOutcome(outcome, record),
    );
  }

  #handleWriteOutcome(outcome: WriteOutcome, record: LeaseRecord): LeaseStatus {
    switch (outcome.kind) {
      case "written": {
        const { version } = outcome;
        this.#recordObject({ key: this.#key, version, value: record });
        break;
      }
      case "conflict":
        this.#recordObject(outcome.current);
        break;
    }
    return this.#status;
  }

  /**
   * Records the stored object and whether it shows one of this process's
   * writes.
   */
  #recordObject(object: StoredObject | undefined): void {
    const version = object?.version ?? 0;
    const seenVersion = this.#observed?.version ?? 0;
    if (object !== undefined && version < seenVersion) return;
    if (this.#observed?.version !== version) {
      const record = leaseRecord.safeParse(object?.value).data;
      const firstSeenAt = this.#options.clock.now();
      this.#observed = { version, record, firstSeenAt };
      this.#highestFencing = Math.max(
        this.#highestFencing,
        record?.fencing ?? 0,
      );
    }
    const record = this.#observed?.record;
    const sentAt = this.#findSentAt(record);
    if (record === undefined || sentAt === undefined || record.released) {
      this.#held = undefined;
      return;
    }
    const { fencing } = record;
    const isSame = this.#held?.fencing === fencing;
    const { clock, durationMs } = this.#options;
    this.#held = {
      fencing,
      version,
      acquiredAt: isSame && this.#held !== undefined
        ? this.#held.acquiredAt
        : clock.now(),
      validUntil: sentAt + durationMs * (1 - maxClockDrift),
    };
  }

  #findSentAt(record: LeaseRecord | undefined): number | undefined {
    return record?.holder === this.#options.holder
      ? this.#sentAt.get(record.sequence)
      : undefined;
  }

  #isFree(): boolean {
    if (this.#observed?.record === undefined) return true;
    const { record, firstSeenAt } = this.#observed;
    const expiresAt = firstSeenAt + record.durationMs * (1 + maxClockDrift);
    return record.released || this.#options.clock.now() >= expiresAt;
  }

  #createNotHeldError(): LeaseError {
    const { shard } = this.#options;
    const holder = this.#observed?.record?.holder;
    return LeaseError.create({ kind: "not_held", shard, holder });
  }

  #createPlatformError(cause: PlatformError): LeaseError {
    const { shard } = this.#options;
    return LeaseError.create({ kind: "platform", shard, cause });
  }
}

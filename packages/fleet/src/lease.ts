/**
 * Lease on one shard of control work, with fencing numbers.
 *
 * The lease is one object, changed by conditional writes only. The holder counts
 * its validity on its monotonic clock from before the renewal was sent; others
 * count expiry on theirs from when they first saw the object's present version,
 * which is later, so no wall clocks are compared. Each new holder raises the
 * fencing number. A lost answer is settled by reading: each write carries a
 * sequence number, which tells when it was sent.
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

/** Prefix of lease objects. */
export const leasePrefix = "fleet/leases/";

/** Largest difference allowed between the rates of two clocks. */
const maxClockDrift = 0.01;
const keptSequences = 32;

/** Stored value of a lease. */
export interface LeaseRecord {
  /** Holding process, unique to its incarnation. */
  readonly holder: string;
  readonly fencing: number;
  /** Counts the holder's writes. */
  readonly sequence: number;
  readonly durationMs: number;
  /** Set by a holder that shuts down. */
  readonly released: boolean;
}

const leaseRecord: z.ZodType<LeaseRecord> = z.object({
  holder: z.string(),
  fencing: z.number().int().nonnegative(),
  sequence: z.number().int().nonnegative(),
  durationMs: z.number().positive(),
  released: z.boolean(),
});

/** What a lease needs. */
export interface LeaseOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly shard: string;
  /** This process, unique to its incarnation. */
  readonly holder: string;
  readonly durationMs: number;
}

/** State of a lease after an attempt to acquire or renew it. */
export type LeaseStatus =
  | { readonly kind: "held"; readonly fencing: number }
  | { readonly kind: "other"; readonly holder: string };

interface HeldLease {
  readonly fencing: number;
  readonly version: number;
  /** Monotonic time at which this fencing number was first known to be ours. */
  readonly acquiredAt: number;
  readonly validUntil: number;
}

interface SeenLease {
  readonly version: number;
  readonly record: LeaseRecord | undefined;
  readonly firstSeenAt: number;
}

/** Lease of this process on one shard. */
export class Lease {
  readonly #options: LeaseOptions;
  readonly #sentAt = new Map<number, number>();
  #sequence = 0;
  #highestFencing = 0;
  #seen: SeenLease | undefined;
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

  /** Monotonic time since which the present fencing number is held. */
  get acquiredAt(): number | undefined {
    return this.#held?.acquiredAt;
  }

  /**
   * Checks whether an order may be sent now; call it right before each send.
   *
   * @returns The fencing number that the order carries.
   */
  checkValid(): Either<LeaseError, number> {
    const { clock, shard } = this.#options;
    if (this.#held === undefined) return Left(this.#createNotHeld());
    const lapsedMs = clock.now() - this.#held.validUntil;
    if (lapsedMs < 0) return Right(this.#held.fencing);
    return Left(LeaseError.create({ kind: "lapsed", shard, lapsedMs }));
  }

  /** Acquires the lease if it is free, released or expired; else observes it. */
  async acquire(): Promise<Either<LeaseError, LeaseStatus>> {
    const read = await this.#options.store.read(this.#key);
    return read.caseOf<
      | Either<LeaseError, LeaseStatus>
      | Promise<Either<LeaseError, LeaseStatus>>
    >({
      Left: (cause) => Left(this.#createFailure(cause)),
      Right: (object) => {
        this.#observe(object);
        if (this.#held !== undefined) return this.renew();
        return this.#isFree() ? this.#writeNext() : Right(this.#status);
      },
    });
  }

  /**
   * Renews the lease on the version this process last wrote.
   *
   * A lapsed lease is renewed too: that succeeds only if nobody took it over.
   */
  renew(): Promise<Either<LeaseError, LeaseStatus>> {
    const held = this.#held;
    if (held === undefined) return this.acquire();
    return this.#write({ fencing: held.fencing, released: false });
  }

  /** Gives the lease up at once; nothing is ordered from here on. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    // Earlier writes must not be taken for a lease again: the release may take
    // effect at any time from now on.
    this.#sentAt.clear();
    if (held === undefined) return;
    await this.#write({ fencing: held.fencing, released: true });
  }

  /**
   * Drops the lease because an engine knows a newer fencing number; the next
   * acquisition goes beyond it.
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
    return { kind: "other", holder: this.#seen?.record?.holder ?? "" };
  }

  #writeNext(): Promise<Either<LeaseError, LeaseStatus>> {
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
    const version = this.#seen?.version ?? 0;
    this.#sentAt.set(sequence, clock.now());
    this.#sentAt.delete(sequence - keptSequences);
    const outcome = await store.write(
      this.#key,
      record,
      version === 0 ? { kind: "absent" } : { kind: "version", version },
    );
    return outcome.bimap(
      (cause) => this.#createFailure(cause),
      (outcome) => this.#handleOutcome(outcome, record),
    );
  }

  #handleOutcome(outcome: WriteOutcome, record: LeaseRecord): LeaseStatus {
    switch (outcome.kind) {
      case "written": {
        const { version } = outcome;
        this.#observe({ key: this.#key, version, value: record });
        break;
      }
      case "conflict":
        this.#observe(outcome.current);
        break;
    }
    return this.#status;
  }

  /** Takes in the object as it is, and with it what became of own writes. */
  #observe(object: StoredObject | undefined): void {
    const version = object?.version ?? 0;
    const seenVersion = this.#seen?.version ?? 0;
    if (object !== undefined && version < seenVersion) return;
    if (this.#seen?.version !== version) {
      const record = leaseRecord.safeParse(object?.value).data;
      const firstSeenAt = this.#options.clock.now();
      this.#seen = { version, record, firstSeenAt };
      this.#highestFencing = Math.max(
        this.#highestFencing,
        record?.fencing ?? 0,
      );
    }
    const record = this.#seen?.record;
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
    if (this.#seen?.record === undefined) return true;
    const { record, firstSeenAt } = this.#seen;
    const expiresAt = firstSeenAt + record.durationMs * (1 + maxClockDrift);
    return record.released || this.#options.clock.now() >= expiresAt;
  }

  #createNotHeld(): LeaseError {
    const { shard } = this.#options;
    const holder = this.#seen?.record?.holder;
    return LeaseError.create({ kind: "not_held", shard, holder });
  }

  #createFailure(cause: PlatformError): LeaseError {
    const { shard } = this.#options;
    return LeaseError.create({ kind: "platform", shard, cause });
  }
}

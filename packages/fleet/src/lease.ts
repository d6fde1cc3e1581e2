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
 *
 * After the store came back from an older copy, a record of an earlier era proves
 * nothing: another process may have held the lease since. Only a holder whose
 * lease has not lapsed yet may claim it again at once; all others wait one
 * duration from when they first read the record in the new era. Fencing tokens of
 * a later era are higher than all of an earlier one.
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
/** Fencing tokens that one era of the store can give out. */
const tokensPerEra = 1_000_000;

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
  /** Era of the store in which the record was written. */
  readonly era: number;
}

const leaseRecord = z.object({
  holder: z.string(),
  fencing: z.number().int().nonnegative(),
  sequence: z.number().int().nonnegative(),
  durationMs: z.number().positive(),
  released: z.boolean(),
  // Records of earlier releases lack it.
  era: z.number().int().nonnegative().default(0),
});

/** Dependencies and settings of a lease. */
export interface LeaseOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly shard: string;
  /** Name of this process, unique to its incarnation. */
  readonly holder: string;
  readonly durationMs: number;
  /**
   * Reads the highest fencing token that this process has heard of by other ways,
   * in case a restore of the store made it forget that one.
   */
  readonly readKnownFencing?: () => number;
}

/** State of a lease after an attempt to acquire or renew it. */
export type LeaseStatus =
  | { readonly kind: "held"; readonly fencing: number }
  /** Not held by this process; `holder` is empty if unknown. */
  | { readonly kind: "other"; readonly holder: string };

interface HeldLease {
  readonly fencing: number;
  readonly version: number;
  /** Era of the store in which it was claimed or last renewed. */
  readonly era: number;
  /** Monotonic time at which this process learned that it has this token. */
  readonly acquiredAt: number;
  /** Monotonic time, in milliseconds. */
  readonly validUntil: number;
}

/** A write that may show up in the store. */
interface TrackedWrite {
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentAt: number;
  /** Era of the store at that time. */
  readonly era: number;
}

/** Latest version of the lease object that was read or written. */
interface ObservedLease {
  readonly era: number;
  /** 0 when nothing is stored. */
  readonly version: number;
  readonly record: LeaseRecord | undefined;
  /** Whether the store was restored since this process first read the lease. */
  readonly isRestored: boolean;
  readonly firstSeenAt: number;
}

/** One process's view of the lease on one shard. */
export class Lease {
  readonly #options: LeaseOptions;
  /** Recent writes by sequence number. */
  readonly #writes = new Map<number, TrackedWrite>();
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

  /**
   * Monotonic time from which this process may claim the lease, by what it last
   * read; -Infinity if it may at once.
   */
  get freeAt(): number {
    const observed = this.#observed;
    if (observed === undefined) return -Infinity;
    const { record, firstSeenAt, isRestored, era } = observed;
    const isFree = record === undefined
      ? !isRestored
      : record.released && record.era === era;
    if (isFree) return -Infinity;
    const durationMs = record?.durationMs ?? this.#options.durationMs;
    return firstSeenAt + durationMs * (1 + maxClockDrift);
  }

  /** Monotonic time since which the current fencing token is held. */
  get acquiredAt(): number | undefined {
    return this.#held?.acquiredAt;
  }

  /**
   * Fencing token while this process holds the lease and it has not lapsed.
   *
   * It is read for each datagram to a peer, and creates no error.
   */
  get validFencing(): number | undefined {
    const held = this.#held;
    if (held === undefined) return undefined;
    return this.#options.clock.now() < held.validUntil
      ? held.fencing
      : undefined;
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
    const fencing = this.validFencing;
    if (fencing !== undefined) return Right(fencing);
    if (this.#held === undefined) return Left(this.#createNotHeldError());
    const { clock, shard } = this.#options;
    const lapsedMs = clock.now() - this.#held.validUntil;
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
        if (this.#held !== undefined) return this.#renewHeld(this.#held);
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
    const isRestored = held !== undefined &&
      held.era !== this.#options.store.era;
    if (held === undefined || isRestored) return this.acquire();
    return this.#renewHeld(held);
  }

  /** Gives the lease up at once; no order may be sent from now on. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    // Earlier writes must not count as a held lease again: the release may take
    // effect at any time from now on.
    this.#writes.clear();
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
    this.#writes.clear();
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

  /** Renews the lease, or claims it again if it is of an earlier era. */
  #renewHeld(
    { fencing, era }: HeldLease,
  ): Promise<Either<LeaseError, LeaseStatus>> {
    if (era !== this.#options.store.era) return this.#claim();
    return this.#write({ fencing, released: false });
  }

  #claim(): Promise<Either<LeaseError, LeaseStatus>> {
    const { store, readKnownFencing } = this.#options;
    const fencing = 1 + Math.max(
      this.#highestFencing,
      store.era * tokensPerEra,
      readKnownFencing?.() ?? 0,
    );
    return this.#write({ fencing, released: false });
  }

  async #write(
    { fencing, released }: Pick<LeaseRecord, "fencing" | "released">,
  ): Promise<Either<LeaseError, LeaseStatus>> {
    const { store, clock, holder, durationMs } = this.#options;
    this.#sequence += 1;
    const sequence = this.#sequence;
    const { era } = store;
    const record = { holder, fencing, sequence, durationMs, released, era };
    const version = this.#observed?.version ?? 0;
    this.#writes.set(sequence, { sentAt: clock.now(), era });
    this.#writes.delete(sequence - maxTrackedWrites);
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
    const { store, clock, durationMs } = this.#options;
    const { era } = store;
    const version = object?.version ?? 0;
    const seenVersion = this.#observed?.version ?? 0;
    if (object !== undefined && version < seenVersion) return;
    const isNew = this.#observed?.version !== version ||
      this.#observed.era !== era;
    if (isNew) this.#observe(object, era);
    const record = this.#observed?.record;
    const write = this.#findWrite(record);
    if (record === undefined || write === undefined || record.released) {
      this.#dropHeld(record);
      return;
    }
    const { fencing } = record;
    const isSame = this.#held?.fencing === fencing;
    this.#held = {
      fencing,
      version,
      era,
      acquiredAt: isSame && this.#held !== undefined
        ? this.#held.acquiredAt
        : clock.now(),
      validUntil: write.sentAt + durationMs * (1 - maxClockDrift),
    };
  }

  #observe(object: StoredObject | undefined, era: number): void {
    const record = leaseRecord.safeParse(object?.value).data;
    const previous = this.#observed ?? { era, isRestored: false };
    this.#observed = {
      era,
      version: object?.version ?? 0,
      record,
      isRestored: previous.isRestored || previous.era < era,
      firstSeenAt: this.#options.clock.now(),
    };
    this.#highestFencing = Math.max(this.#highestFencing, record?.fencing ?? 0);
  }

  /**
   * Drops the lease unless it is of an earlier era, has not lapsed, and nobody
   * has claimed it in the present one.
   */
  #dropHeld(record: LeaseRecord | undefined): void {
    const held = this.#held;
    if (held === undefined) return;
    const { store, clock } = this.#options;
    const isKept = held.era < store.era && record?.era !== store.era &&
      clock.now() < held.validUntil;
    if (!isKept) this.#held = undefined;
  }

  /** Finds this process's write of a record in the present era. */
  #findWrite(record: LeaseRecord | undefined): TrackedWrite | undefined {
    if (record?.holder !== this.#options.holder) return undefined;
    const write = this.#writes.get(record.sequence);
    const { era } = this.#options.store;
    return write?.era === era && record.era === era ? write : undefined;
  }

  #isFree(): boolean {
    return this.#options.clock.now() >= this.freeAt;
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

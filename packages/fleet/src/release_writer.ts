/**
 * Applies release notes to the head object.
 *
 * One conditional write changes the head, and its version is the revision. The
 * head keeps the ids of its last writes, so a writer whose answer was lost reads
 * back whether its write took effect, also when others wrote after it. A write
 * that did not show yet is repeated only with the same id on the same version,
 * of which at most one can take effect.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import { emptyConfiguration } from "@almondcrank/common/configuration.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import { Backoff } from "@almondcrank/infrastructure/backoff.ts";
import {
  computeValueBytes,
  decodeHead,
  encodeStoredValue,
  type Head,
  headKey,
  type HeadWrite,
  type ReleasedConfiguration,
} from "@almondcrank/infrastructure/configuration_codec.ts";
import {
  maxObjectBytes,
  type ObjectStore,
  type StoredObject,
  type WriteOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import {
  type ConfigurationChange,
  formatChange,
} from "./configuration_diff.ts";
import { ReleaseError } from "./release_error.ts";
import type { ParsedNote } from "./release_note.ts";
import { applyNote, type ReleasePlan } from "./release_plan.ts";

/** Counter of applies, labelled `outcome`. */
export const appliesCounter = "almondcrank_release_applies_total";

const keptWrites = 100;
const keptChangesPerWrite = 8;
const keptChangeLength = 120;
const retryInitialMs = 200;
const retryMaxMs = 2_000;
const defaultSettleMs = 10_000;

/** What a writer needs. */
export interface ReleaseWriterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Time in which a lost answer is settled, in milliseconds. */
  readonly resolveTimeoutMs?: number;
}

/** A note to apply. */
export interface ReleaseRequest {
  readonly note: ParsedNote;
  /** Revision of the configuration that the operator saw. */
  readonly base: number;
  /** Unique to this order, and the same when it is repeated. */
  readonly writeId: string;
}

/** A note that is part of the configuration. */
export interface AppliedRelease {
  /** Version of the head that the note made. */
  readonly revision: number;
  readonly changes: readonly ConfigurationChange[];
  /** Content of the head at that revision; undefined if others wrote since. */
  readonly configuration: ReleasedConfiguration | undefined;
}

/** The head object as read. */
interface VersionedHead {
  /** 0 when nothing is stored. */
  readonly version: number;
  readonly head: Head;
}

/** One order on its way. */
interface Attempt {
  readonly order: ReleaseRequest;
  readonly backoff: Backoff;
  readonly deadline: number;
  /** Highest version on which a write of unknown outcome was conditional. */
  unknownBase: number | undefined;
  /** What the last write sent changes. */
  changes: readonly ConfigurationChange[];
}

/** Next step of an attempt: its end, or the head to go on from. */
type Step =
  | {
    readonly kind: "end";
    readonly result: Either<ReleaseError, AppliedRelease>;
  }
  | { readonly kind: "read" }
  | { readonly kind: "head"; readonly current: VersionedHead };

/** Writer of the head object. */
export class ReleaseWriter {
  readonly #options: ReleaseWriterOptions;
  readonly #log: Log;

  private constructor(options: ReleaseWriterOptions) {
    this.#options = options;
    this.#log = options.log.createChild("fleet");
  }

  static create(options: ReleaseWriterOptions): ReleaseWriter {
    return new ReleaseWriter(options);
  }

  /** Applies a note if the configuration is still the one the operator saw. */
  async apply(
    order: ReleaseRequest,
  ): Promise<Either<ReleaseError, AppliedRelease>> {
    const result = await this.#run(order);
    const outcome = result.caseOf<string>({
      Left: (error) => error.kind,
      Right: () => "applied",
    });
    this.#options.metrics.count(appliesCounter, { outcome });
    const { writeId } = order;
    result.ifRight(({ revision }) =>
      this.#log.info("release note applied.", { revision, writeId })
    );
    result.ifLeft(() =>
      this.#log.warn("release note not applied.", { outcome, writeId })
    );
    return result;
  }

  async #run(
    order: ReleaseRequest,
  ): Promise<Either<ReleaseError, AppliedRelease>> {
    const { clock, random, resolveTimeoutMs: settleMs = defaultSettleMs } =
      this.#options;
    const attempt: Attempt = {
      order,
      backoff: Backoff.create(random, {
        initialMs: retryInitialMs,
        maxMs: retryMaxMs,
      }),
      deadline: clock.now() + settleMs,
      unknownBase: undefined,
      changes: [],
    };
    let step: Step = { kind: "read" };
    while (step.kind !== "end") {
      step = step.kind === "read"
        ? await this.#read(attempt)
        : await this.#write(attempt, step.current);
    }
    return step.result;
  }

  async #read(attempt: Attempt): Promise<Step> {
    const object = await this.#options.store.read(headKey);
    return object.chain(decodeStoredHead).caseOf<Step | Promise<Step>>({
      Left: (error) => this.#handleFailure(attempt, error),
      Right: (current) => ({ kind: "head", current }),
    });
  }

  #write(attempt: Attempt, current: VersionedHead): Step | Promise<Step> {
    const settled = findSettled(attempt, current);
    if (settled !== undefined) return createEnd(settled);
    const { order } = attempt;
    const plan = applyNote(order.note, current.head.configuration);
    return plan.caseOf<Step | Promise<Step>>({
      Left: (error) => createEnd(Left(error)),
      Right: (plan) =>
        plan.changes.length === 0
          ? createEnd(
            Right({
              revision: current.version,
              changes: [],
              configuration: current.head.configuration,
            }),
          )
          : this.#send(attempt, { current, plan }),
    });
  }

  async #send(
    attempt: Attempt,
    { current, plan }: {
      readonly current: VersionedHead;
      readonly plan: ReleasePlan;
    },
  ): Promise<Step> {
    const { version } = current;
    const value = encodeStoredValue(
      createHead(attempt.order, { current, plan }),
    );
    const bytes = computeValueBytes(value);
    if (bytes > maxObjectBytes) {
      const limitBytes = maxObjectBytes;
      return createEnd(
        Left(ReleaseError.create({ kind: "too_large", bytes, limitBytes })),
      );
    }
    attempt.changes = plan.changes;
    const outcome = await this.#options.store.write(
      headKey,
      value,
      version === 0 ? { kind: "absent" } : { kind: "version", version },
    );
    return outcome.caseOf<Step | Promise<Step>>({
      Left: (error) => {
        if (error.kind === "outcome_unknown") attempt.unknownBase = version;
        return this.#handleFailure(attempt, error);
      },
      Right: (outcome) => handleOutcome(outcome, plan),
    });
  }

  /** Goes on reading while a write is unsettled; else the failure is final. */
  async #handleFailure(
    attempt: Attempt,
    error: PlatformError,
  ): Promise<Step> {
    const { clock } = this.#options;
    if (attempt.unknownBase === undefined) {
      const cause = error;
      return createEnd(Left(ReleaseError.create({ kind: "platform", cause })));
    }
    if (clock.now() >= attempt.deadline) {
      return createEnd(Left(createUnknown(attempt)));
    }
    await clock.sleep(attempt.backoff.computePause());
    return { kind: "read" };
  }
}

function createEnd(result: Either<ReleaseError, AppliedRelease>): Step {
  return { kind: "end", result };
}

function createUnknown({ order }: Attempt): ReleaseError {
  const { writeId } = order;
  return ReleaseError.create({ kind: "outcome_unknown", writeId });
}

function decodeStoredHead(
  object: StoredObject | undefined,
): Either<PlatformError, VersionedHead> {
  if (object === undefined) {
    const configuration: ReleasedConfiguration = emptyConfiguration;
    return Right({ version: 0, head: { writes: [], configuration } });
  }
  return decodeHead(object)
    .map((head) => ({ version: object.version, head }));
}

function handleOutcome(outcome: WriteOutcome, plan: ReleasePlan): Step {
  switch (outcome.kind) {
    case "written": {
      const { changes, configuration } = plan;
      const revision = outcome.version;
      return createEnd(Right({ revision, changes, configuration }));
    }
    case "conflict":
      return { kind: "read" };
  }
}

/** Finds what the head already tells about an order. */
function findSettled(
  attempt: Attempt,
  { version, head }: VersionedHead,
): Either<ReleaseError, AppliedRelease> | undefined {
  const { base, writeId } = attempt.order;
  const { writes } = head;
  const found = writes.findIndex((write) => write.writeId === writeId);
  if (found >= 0) {
    const revision = computeRevision(writes, found, version);
    const configuration = revision === version ? head.configuration : undefined;
    return Right({ revision, changes: attempt.changes, configuration });
  }
  if (version <= base) return undefined;
  const oldest = writes[0]?.base ?? 0;
  if (attempt.unknownBase !== undefined && attempt.unknownBase < oldest) {
    return Left(createUnknown(attempt));
  }
  return Left(ReleaseError.create({
    kind: "conflict",
    base,
    current: version,
    changes: writes
      .filter((_, i) => computeRevision(writes, i, version) > base)
      .flatMap(({ changes }) => changes),
    isPartial: base < oldest,
  }));
}

/** A write made the version on which the next one was conditional. */
function computeRevision(
  writes: readonly HeadWrite[],
  index: number,
  version: number,
): number {
  return writes[index + 1]?.base ?? version;
}

function createHead(
  order: ReleaseRequest,
  { current, plan }: {
    readonly current: VersionedHead;
    readonly plan: ReleasePlan;
  },
): Head {
  const write: HeadWrite = {
    writeId: order.writeId,
    base: current.version,
    changes: shortenChanges(plan.changes),
  };
  const { teams, models, adapters, services, endpoints } = plan.configuration;
  return {
    writes: [...current.head.writes, write].slice(-keptWrites),
    configuration: { teams, models, adapters, services, endpoints },
  };
}

function shortenChanges(changes: readonly ConfigurationChange[]): string[] {
  const kept = changes.slice(0, keptChangesPerWrite)
    .map((change) => formatChange(change).slice(0, keptChangeLength));
  const rest = changes.length - kept.length;
  return rest === 0 ? kept : [...kept, `and ${rest} more`];
}

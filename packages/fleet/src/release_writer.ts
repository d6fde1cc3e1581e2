/**
 * Applies release notes to the head object of the configuration.
 *
 * Each release is one conditional write to the head, whose version is the
 * revision. The head lists the ids of its last writes, so a writer that got no
 * answer reads the head to find out whether its write took effect, even if
 * others wrote afterwards. A write that is not in the list is repeated with the
 * same id on the same version only, so at most one of the two can take effect.
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

/** Writes listed in the head. */
const maxKeptWrites = 100;
const maxChangesPerWrite = 8;
const maxChangeLength = 120;
const retryInitialMs = 200;
const retryMaxMs = 2_000;
const defaultResolveTimeoutMs = 10_000;

/** Dependencies and settings of a release writer. */
export interface ReleaseWriterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Time to resolve an unknown outcome, in milliseconds; 10 s if left out. */
  readonly resolveTimeoutMs?: number;
}

/** Request to apply a release note. */
export interface ReleaseRequest {
  readonly note: ParsedNote;
  /** Revision of the configuration that the operator saw. */
  readonly base: number;
  /** Idempotency key: unique to this request, the same when it is repeated. */
  readonly writeId: string;
}

/** Outcome of a request whose note is part of the configuration. */
export interface AppliedRelease {
  /** Version of the head that the write created. */
  readonly revision: number;
  /** Empty if the note changes nothing or an earlier call applied it. */
  readonly changes: readonly ConfigurationChange[];
  /**
   * Content of the head at that revision; undefined if others have written
   * since.
   */
  readonly configuration: ReleasedConfiguration | undefined;
}

/** The head with its version. */
interface VersionedHead {
  /** 0 when nothing is stored. */
  readonly version: number;
  readonly head: Head;
}

/** State of one call of `apply`. */
interface Attempt {
  readonly request: ReleaseRequest;
  readonly backoff: Backoff;
  /** Monotonic time at which an unknown outcome is given up. */
  readonly deadline: number;
  /** Highest version on which a write of unknown outcome was conditional. */
  unresolvedBase: number | undefined;
  /** Changes made by the last write that was sent. */
  changes: readonly ConfigurationChange[];
}

/** Next step of an attempt: return a result, read the head, or apply to it. */
type Step =
  | {
    readonly kind: "end";
    readonly result: Either<ReleaseError, AppliedRelease>;
  }
  | { readonly kind: "read" }
  | { readonly kind: "head"; readonly current: VersionedHead };

/** Applies release notes and resolves the outcome of lost answers. */
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

  /**
   * Applies a note if the configuration is still at the revision `base`.
   *
   * @returns The release, or an error. After `outcome_unknown` the note may
   * have been applied, and a repeat with the same write id finds out. A
   * `platform` error tells about this call only, not about earlier ones with
   * its write id.
   */
  async apply(
    request: ReleaseRequest,
  ): Promise<Either<ReleaseError, AppliedRelease>> {
    const result = await this.#run(request);
    const outcome = result.caseOf<string>({
      Left: (error) => error.kind,
      Right: () => "applied",
    });
    this.#options.metrics.count(appliesCounter, { outcome });
    const { writeId } = request;
    result.ifRight(({ revision }) =>
      this.#log.info("release note applied.", { revision, writeId })
    );
    result.ifLeft(() =>
      this.#log.warn("release note not applied.", { outcome, writeId })
    );
    return result;
  }

  async #run(
    request: ReleaseRequest,
  ): Promise<Either<ReleaseError, AppliedRelease>> {
    const {
      clock,
      random,
      resolveTimeoutMs = defaultResolveTimeoutMs,
    } = this.#options;
    const attempt: Attempt = {
      request,
      backoff: Backoff.create(random, {
        initialMs: retryInitialMs,
        maxMs: retryMaxMs,
      }),
      deadline: clock.now() + resolveTimeoutMs,
      unresolvedBase: undefined,
      changes: [],
    };
    let step: Step = { kind: "read" };
    while (step.kind !== "end") {
      step = step.kind === "read"
        ? await this.#readHead(attempt)
        : await this.#applyToHead(attempt, step.current);
    }
    return step.result;
  }

  async #readHead(attempt: Attempt): Promise<Step> {
    const object = await this.#options.store.read(headKey);
    return object.chain(decodeStoredHead).caseOf<Step | Promise<Step>>({
      Left: (error) => this.#handleFailure(attempt, error),
      Right: (current) => ({ kind: "head", current }),
    });
  }

  #applyToHead(attempt: Attempt, current: VersionedHead): Step | Promise<Step> {
    const result = findResult(attempt, current);
    if (result !== undefined) return createEnd(result);
    const { request } = attempt;
    const plan = applyNote(request.note, current.head.configuration);
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
          : this.#writeHead(attempt, { current, plan }),
    });
  }

  async #writeHead(
    attempt: Attempt,
    { current, plan }: {
      readonly current: VersionedHead;
      readonly plan: ReleasePlan;
    },
  ): Promise<Step> {
    const { version } = current;
    const value = encodeStoredValue(
      createHead(attempt.request, { current, plan }),
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
        if (error.kind === "outcome_unknown") attempt.unresolvedBase = version;
        return this.#handleFailure(attempt, error);
      },
      Right: (outcome) => handleWriteOutcome(outcome, plan),
    });
  }

  /**
   * Reads again while a write's outcome is unknown; else the failure is final.
   */
  async #handleFailure(
    attempt: Attempt,
    error: PlatformError,
  ): Promise<Step> {
    const { clock } = this.#options;
    if (attempt.unresolvedBase === undefined) {
      const cause = error;
      return createEnd(Left(ReleaseError.create({ kind: "platform", cause })));
    }
    if (clock.now() >= attempt.deadline) {
      return createEnd(Left(createOutcomeUnknown(attempt)));
    }
    await clock.sleep(attempt.backoff.computePause());
    return { kind: "read" };
  }
}

function createEnd(result: Either<ReleaseError, AppliedRelease>): Step {
  return { kind: "end", result };
}

function createOutcomeUnknown({ request }: Attempt): ReleaseError {
  const { writeId } = request;
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

function handleWriteOutcome(outcome: WriteOutcome, plan: ReleasePlan): Step {
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

/** Finds the result that the head already shows for a request, if any. */
function findResult(
  attempt: Attempt,
  { version, head }: VersionedHead,
): Either<ReleaseError, AppliedRelease> | undefined {
  const { base, writeId } = attempt.request;
  const { writes } = head;
  const found = writes.findIndex((write) => write.writeId === writeId);
  if (found >= 0) {
    const revision = computeRevision(writes, found, version);
    const configuration = revision === version ? head.configuration : undefined;
    return Right({ revision, changes: attempt.changes, configuration });
  }
  if (version <= base) return undefined;
  const oldest = writes[0]?.base ?? 0;
  if (attempt.unresolvedBase !== undefined && attempt.unresolvedBase < oldest) {
    return Left(createOutcomeUnknown(attempt));
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

/** Computes the version that a write created: the base of the next write. */
function computeRevision(
  writes: readonly HeadWrite[],
  index: number,
  version: number,
): number {
  return writes[index + 1]?.base ?? version;
}

function createHead(
  request: ReleaseRequest,
  { current, plan }: {
    readonly current: VersionedHead;
    readonly plan: ReleasePlan;
  },
): Head {
  const write: HeadWrite = {
    writeId: request.writeId,
    base: current.version,
    changes: shortenChanges(plan.changes),
  };
  const { teams, models, adapters, services, endpoints } = plan.configuration;
  return {
    writes: [...current.head.writes, write].slice(-maxKeptWrites),
    configuration: { teams, models, adapters, services, endpoints },
  };
}

function shortenChanges(changes: readonly ConfigurationChange[]): string[] {
  const kept = changes.slice(0, maxChangesPerWrite)
    .map((change) => formatChange(change).slice(0, maxChangeLength));
  const rest = changes.length - kept.length;
  return rest === 0 ? kept : [...kept, `and ${rest} more`];
}

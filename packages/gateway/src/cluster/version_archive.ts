/**
 * Keeps the history of versions in the platform's store, so that a node that has
 * just started knows when an answer from the listed replicas alone is a guess.
 *
 * One object holds it, written only when a version begins or ends to serve. All
 * nodes see that in their copies of the registrations; those that come first by
 * name write, one after the other if the first does not. A node reads the object
 * once, when it starts; if the store does not answer, a peer that ran before may
 * tell it with the answer to a question for a stream. Until then, and as long as an earlier version's streams
 * could be taken up, it knows that it does not know.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type {
  ObjectStore,
  StoredObject,
} from "@almondcrank/infrastructure/object_store.ts";
import { readStoreEra } from "@almondcrank/infrastructure/store_version.ts";
import { z } from "zod";
import type { ReplicaTable } from "../choice/replica_table.ts";
import {
  isHistoryDue,
  type StoredVersion,
  VersionHistory,
} from "../choice/version_history.ts";

const historyKey = "stream-versions/history";
const stepMs = 250;
/** Nodes that may write the history. */
const writerCount = 4;
/** Time that a writer leaves to each one before it. */
const successionMs = 600;
/** Longest wait of a request for the first read. */
const firstReadWaitMs = 500;
const firstReadPollMs = 10;

const storedHistory = z.object({
  versions: z.array(z.object({
    service: z.string(),
    version: z.string(),
    endedAt: z.number().nullable(),
  })),
});

/** What decisions ask about the versions of a service. */
export interface VersionKnowledge {
  /** Lists the versions that serve or whose streams may be taken up again. */
  listVersions(service: string): readonly string[];
  isMixed(service: string): boolean;
  /** Whether any service is mixed. */
  readonly hasMixedService: boolean;
  /** Whether versions that served before this node's start are known. */
  readonly isComplete: boolean;
  /** Whether versions that began lately are known, too. */
  readonly isCurrent: boolean;
  /** Waits a short time for `isComplete`. */
  waitUntilComplete(): Promise<void>;
  /** Takes over the history that a peer composed, if this node has none. */
  adoptHistory(text: string): void;
}

/** Dependencies of an archive. */
export interface VersionArchiveOptions {
  readonly store: ObjectStore;
  /** Highest era of the store that this node knows, by whatever call. */
  readonly readEra: () => number;
  /** Monotonic clock that includes time in which the host was suspended. */
  readonly clock: Clock;
  /** Time of day on which the nodes agree, in milliseconds. */
  readonly readWallTime: () => number;
  readonly table: ReplicaTable;
  /** Whether the registrations have been received. */
  readonly isSynced: () => boolean;
  /** Whether this node's copy of them is the present one. */
  readonly isCopyCurrent: () => boolean;
  /** Time for which streams of a version that left may be taken up again. */
  readonly readHorizonMs: () => number;
  /** Rank of this node among those that may write; 0 comes first. */
  readonly readRank: () => number;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly log: Log;
}

/** History as this node last read or wrote it. */
interface HeldHistory {
  readonly version: number | undefined;
  readonly versions: readonly StoredVersion[];
}

/** Archive of one node. */
export class VersionArchive implements VersionKnowledge, Disposable {
  readonly #options: VersionArchiveOptions;
  readonly #history = VersionHistory.create();
  readonly #stopped = new AbortController();
  readonly #startedAt: number;
  #held: HeldHistory | undefined;
  /** Whether a peer that ran before told the history. */
  #isAdopted = false;
  #dueSince: number | undefined;
  #hasFailed = false;

  private constructor(options: VersionArchiveOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  static create(options: VersionArchiveOptions): VersionArchive {
    return new VersionArchive(options);
  }

  /** Begins to read and write. */
  start(): void {
    void this.#run();
  }

  listVersions(service: string): readonly string[] {
    const { table, clock, readHorizonMs } = this.#options;
    const times = { now: clock.now(), horizonMs: readHorizonMs() };
    return [
      ...new Set([
        ...table.listVersions(service),
        ...this.#history.listVersions(service, times),
      ]),
    ];
  }

  isMixed(service: string): boolean {
    return this.listVersions(service).length > 1;
  }

  get hasMixedService(): boolean {
    const { table } = this.#options;
    return table.hasMixedService ||
      [...this.#history.listServices()].some((name) => this.isMixed(name));
  }

  get isComplete(): boolean {
    const { clock, readHorizonMs } = this.#options;
    return this.#held !== undefined || this.#isAdopted ||
      clock.now() - this.#startedAt > readHorizonMs();
  }

  get isCurrent(): boolean {
    return this.#options.isCopyCurrent();
  }

  async waitUntilComplete(): Promise<void> {
    const { clock } = this.#options;
    const until = clock.now() + firstReadWaitMs;
    while (!this.isComplete && clock.now() < until) {
      await clock.sleep(firstReadPollMs);
    }
  }

  /** Composes the history for peers; empty if this node does not know it. */
  composeHistory(): string {
    const { clock, table, readHorizonMs, readWallTime, isSynced } =
      this.#options;
    if (!this.isComplete || !isSynced()) return "";
    const now = clock.now();
    this.#history.recordListed(table, now);
    const versions = this.#history.compose(table, {
      now,
      wallTime: readWallTime(),
      horizonMs: readHorizonMs(),
    });
    return JSON.stringify({ versions });
  }

  adoptHistory(text: string): void {
    if (this.isComplete) return;
    const versions = parseHistory(text);
    if (versions === undefined) return;
    const { clock, readWallTime, log } = this.#options;
    const now = clock.now();
    this.#history.learn(versions, { now, wallTime: readWallTime() });
    this.#isAdopted = true;
    log.info("history of versions taken over from a peer.", {
      versions: formatVersions(versions),
    });
  }

  dispose(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await this.#step();
      await clock.sleep(stepMs, signal);
    }
  }

  async #step(): Promise<void> {
    const { clock, table, isSynced, readHorizonMs, readWallTime, readEra } =
      this.#options;
    if (this.#held === undefined && !(await this.#read())) return;
    if (!isSynced()) return;
    const now = clock.now();
    this.#history.recordListed(table, now);
    const composed = this.#history.compose(table, {
      now,
      wallTime: readWallTime(),
      horizonMs: readHorizonMs(),
    });
    const held = this.#held;
    if (held === undefined) return;
    const isRestored = held.version !== undefined &&
      readStoreEra(held.version) < readEra();
    if (!isRestored && !isHistoryDue(held.versions, composed)) {
      this.#dueSince = undefined;
      return;
    }
    this.#dueSince ??= now;
    const rank = this.#options.readRank();
    if (rank >= writerCount) return;
    if (now - this.#dueSince < rank * successionMs) return;
    if (isRestored && !(await this.#read())) return;
    await this.#write(composed);
  }

  /** Reads the history; false if the store did not answer. */
  async #read(): Promise<boolean> {
    const { store, isFirstStart, readEra } = this.#options;
    const read = await store.read(historyKey);
    return read.caseOf({
      Left: (error) => {
        this.#recordFailure("read", error.message);
        return false;
      },
      Right: (object) => {
        this.#hasFailed = false;
        if (object !== undefined) this.#learn(object);
        // Without a history a store that lost it and an unused one look alike.
        else if (isFirstStart || this.#held !== undefined || readEra() <= 1) {
          this.#held = { version: undefined, versions: [] };
        } else {
          this.#recordFailure("read", "the store came back without it");
          return false;
        }
        return true;
      },
    });
  }

  #learn({ version, value }: StoredObject): void {
    const { clock, readWallTime, log } = this.#options;
    const parsed = storedHistory.safeParse(value);
    if (!parsed.success) {
      log.warn("the history of versions is malformed and written anew.");
    }
    const versions = parsed.data?.versions ?? [];
    const isFirst = this.#held === undefined;
    this.#held = { version, versions };
    const now = clock.now();
    this.#history.learn(
      versions,
      { now, wallTime: readWallTime() },
      isFirst ? now : this.#startedAt,
    );
    if (!isFirst) return;
    log.info("history of versions read.", {
      versions: formatVersions(versions),
    });
  }

  async #write(versions: readonly StoredVersion[]): Promise<void> {
    const { store, log } = this.#options;
    const { version } = this.#held ?? {};
    const written = await store.write(
      historyKey,
      { versions },
      version === undefined ? { kind: "absent" } : { kind: "version", version },
    );
    written.caseOf({
      Left: (error) => this.#recordFailure("written", error.message),
      Right: (outcome) => {
        this.#hasFailed = false;
        switch (outcome.kind) {
          case "written":
            this.#held = { version: outcome.version, versions };
            log.info("history of versions written.", {
              versions: versions.length,
              open: versions.filter(({ endedAt }) => endedAt === null).length,
            });
            return;
          case "conflict":
            if (outcome.current !== undefined) this.#learn(outcome.current);
            else this.#held = { version: undefined, versions: [] };
            return;
        }
      },
    });
  }

  /** Logs the first failure of several in a row. */
  #recordFailure(action: "read" | "written", reason: string): void {
    if (this.#hasFailed) return;
    this.#hasFailed = true;
    const { log } = this.#options;
    log.warn(`the history of versions could not be ${action}, trying again.`, {
      reason,
    });
  }
}

/** Parses what a peer composed; undefined if it does not know the history. */
function parseHistory(text: string): readonly StoredVersion[] | undefined {
  try {
    return storedHistory.safeParse(JSON.parse(text)).data?.versions;
  } catch {
    // An empty answer: the peer does not know it, or is of an earlier release.
    return undefined;
  }
}

function formatVersions(versions: readonly StoredVersion[]): string {
  return versions.map(({ service, version }) => `${service} ${version}`)
    .join(", ");
}

/**
 * Keeps what is in quarantine in the platform's store, so that it outlives a restart
 * of all nodes at once.
 *
 * One node writes each part: the one that sends its probes. It writes when the part
 * enters the quarantine and when a probe has crashed another replica, and removes
 * the object when the part leaves. A node that starts reads all of them once.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type {
  ObjectStore,
  StoredObject,
  WriteCondition,
} from "@almondcrank/infrastructure/object_store.ts";
import { z } from "zod";
import type { PartQuarantine } from "./part_quarantine.ts";
import type { ToldPart } from "./told_part.ts";

const archivePrefix = "quarantine";
const syncMs = 1_000;
const readRetryMs = 2_000;
/** Writes and removals at each step, so that a storm does not load the store. */
const maxChangesPerStep = 4;

const storedPart = z.object({
  part: z.string(),
  /** Time of day of the last run that went well, in milliseconds, if any. */
  survivedAt: z.number().nullable(),
  /** Incarnations that crashed, each with the time of day of its crash. */
  crashes: z.array(z.tuple([z.string(), z.number()])),
});
type StoredPart = z.infer<typeof storedPart>;

/** Dependencies of an archive. */
export interface QuarantineArchiveOptions {
  readonly store: ObjectStore;
  readonly quarantine: PartQuarantine;
  readonly clock: Clock;
  /** Time of day on which the nodes agree, in milliseconds. */
  readonly readWallTime: () => number;
  /** Whether this node is the one that writes a part. */
  readonly isOwner: (part: string) => boolean;
  readonly hasher: Hasher;
  readonly log: Log;
}

/** What this node knows of an object. */
interface KnownObject {
  readonly part: string;
  readonly version: number;
  /** Number of crashes that it lists. */
  readonly crashes: number;
}

/** Archive of one node. */
export class QuarantineArchive implements Disposable {
  readonly #options: QuarantineArchiveOptions;
  readonly #stopped = new AbortController();
  /** Objects by key, as of this node's last call. */
  readonly #known = new Map<string, KnownObject>();

  private constructor(options: QuarantineArchiveOptions) {
    this.#options = options;
    void this.#run();
  }

  /** Creates an archive, which starts at once. */
  static create(options: QuarantineArchiveOptions): QuarantineArchive {
    return new QuarantineArchive(options);
  }

  dispose(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted && !(await this.#readAll())) {
      await clock.sleep(readRetryMs, signal);
    }
    while (!signal.aborted) {
      await clock.sleep(syncMs, signal);
      if (!signal.aborted) await this.#sync();
    }
  }

  /** Learns all that is stored; false to try again. */
  async #readAll(): Promise<boolean> {
    const { store, log } = this.#options;
    const list = await store.list(archivePrefix);
    return list.caseOf({
      Left: (error) => {
        log.warn("the quarantine could not be read, trying again.", {
          reason: error.message,
        });
        return false;
      },
      Right: ({ objects }) => {
        for (const object of objects) this.#learn(object);
        return true;
      },
    });
  }

  #learn({ key, version, value }: StoredObject): void {
    const { quarantine, clock, log, readWallTime } = this.#options;
    const parsed = storedPart.safeParse(value);
    if (!parsed.success) {
      log.warn("an object of the quarantine is malformed and left out.", {
        key,
      });
      return;
    }
    const { part, crashes } = parsed.data;
    this.#known.set(key, { part, version, crashes: crashes.length });
    quarantine.learn([composeTold(parsed.data, readWallTime())], clock.now());
  }

  /** Writes and removes what has changed and is this node's to write. */
  async #sync(): Promise<void> {
    const { quarantine, clock, isOwner } = this.#options;
    const present = quarantine.listQuarantined(clock.now());
    const due = present.filter((told) => this.#isChanged(told))
      .filter(({ part }) => isOwner(part))
      .slice(0, maxChangesPerStep);
    for (const told of due) await this.#write(told);
    const parts = new Set(present.map(({ part }) => part));
    const gone = [...this.#known]
      .filter(([, { part }]) => !parts.has(part) && isOwner(part))
      .slice(0, maxChangesPerStep - due.length);
    for (const [key, { version }] of gone) await this.#remove(key, version);
  }

  #isChanged({ part, crashes }: ToldPart): boolean {
    const known = this.#known.get(this.#formatKey(part));
    return known === undefined || known.crashes < crashes.length;
  }

  async #write(told: ToldPart): Promise<void> {
    const { store, log, readWallTime } = this.#options;
    const { part } = told;
    const key = this.#formatKey(part);
    const value = composeStored(told, readWallTime());
    const known = this.#known.get(key);
    const condition: WriteCondition = known === undefined
      ? { kind: "absent" }
      : { kind: "version", version: known.version };
    const written = await store.write(key, value, condition);
    written.caseOf({
      Left: (error) =>
        log.warn("a part in quarantine could not be stored, trying again.", {
          reason: error.message,
        }),
      Right: (outcome) => {
        switch (outcome.kind) {
          case "written":
            this.#known.set(key, {
              part,
              version: outcome.version,
              crashes: value.crashes.length,
            });
            return;
          case "conflict":
            if (outcome.current === undefined) this.#known.delete(key);
            else this.#learn(outcome.current);
            return;
        }
      },
    });
  }

  async #remove(key: string, version: number): Promise<void> {
    const { store, log } = this.#options;
    const removed = await store.remove(key, version);
    removed.caseOf({
      Left: (error) =>
        log.warn("a part that left quarantine could not be removed.", {
          reason: error.message,
        }),
      // After a conflict, another node has written it and knows it.
      Right: () => void this.#known.delete(key),
    });
  }

  #formatKey(part: string): string {
    const name = this.#options.hasher.hash64(part).toString(16);
    return `${archivePrefix}/${name}`;
  }
}

function composeStored(
  { part, survivedAgeMs, crashes }: ToldPart,
  wallTime: number,
): StoredPart {
  return {
    part,
    survivedAt: survivedAgeMs === null ? null : wallTime - survivedAgeMs,
    crashes: crashes.map(([incarnation, ageMs]) => [
      incarnation,
      wallTime - ageMs,
    ]),
  };
}

function composeTold(
  { part, survivedAt, crashes }: StoredPart,
  wallTime: number,
): ToldPart {
  const computeAge = (at: number): number => Math.max(0, wallTime - at);
  return {
    part,
    survivedAgeMs: survivedAt === null ? null : computeAge(survivedAt),
    requestedAgeMs: null,
    crashes: crashes.map(([incarnation, at]) => [incarnation, computeAge(at)]),
  };
}

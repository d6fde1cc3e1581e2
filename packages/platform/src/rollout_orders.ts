/**
 * The operators' orders of rollouts in the platform's store: reads and watches
 * them, and writes their states.
 */

import { type Either, Right } from "purify-ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import type { StoredObject } from "@almondcrank/infrastructure/object_store.ts";
import { readStoreEra } from "@almondcrank/infrastructure/store_version.ts";
import type { RolloutState } from "@almondcrank/routing/rollouts/rollout.ts";
import type {
  DueState,
  RolloutEntry,
} from "@almondcrank/routing/rollouts/rollout_control.ts";
import { readFields, readNumber, readString } from "./fields.ts";
import type { PlatformStore } from "./platform_store.ts";

/** Kind of the operators' orders. */
const rolloutsKind = "rollouts";

/** All orders as of one version of the store. */
export interface RolloutEntries {
  readonly version: number;
  readonly era: number;
  readonly entries: readonly RolloutEntry[];
}

/** Outcome of a write of a state. */
export type StateOutcome =
  | { readonly kind: "written"; readonly version: number }
  /** The entry has changed; undefined if it is gone. */
  | { readonly kind: "conflict"; readonly current: RolloutEntry | undefined };

/** Outcome of a watch. */
export type EntriesChange = "changed" | "unchanged" | "expired";

/** Orders in the store; tests replace it. */
export interface RolloutOrders {
  list(): Promise<Either<PlatformError, RolloutEntries>>;
  /** Waits for a change since a version, at most `waitMs`. */
  watch(
    since: number,
    waitMs: number,
  ): Promise<
    Either<
      PlatformError,
      { readonly change: EntriesChange; readonly version: number }
    >
  >;
  writeState(due: DueState): Promise<Either<PlatformError, StateOutcome>>;
}

/** Creates the orders of a store. */
export function createRolloutOrders(store: PlatformStore): RolloutOrders {
  return {
    list: async () =>
      (await store.list(rolloutsKind)).map(({ version, objects }) => ({
        version,
        era: readStoreEra(version),
        entries: objects.map(decodeRollout),
      })),
    watch: async (since, waitMs) =>
      (await store.watch(rolloutsKind, since, waitMs)).map((outcome) => {
        switch (outcome.kind) {
          case "expired":
            return { change: "expired" as const, version: since };
          case "changes": {
            const { version, changes } = outcome.batch;
            const change = changes.length > 0 ? "changed" : "unchanged";
            return { change, version };
          }
        }
      }),
    writeState: async ({ service, to, state, version }) => {
      const outcome = await store.writeStatus(
        `${rolloutsKind}/${service}`,
        { state, to },
        version,
      );
      return outcome.chain((outcome) => {
        switch (outcome.kind) {
          case "written":
            return Right<StateOutcome, PlatformError>(outcome);
          case "conflict": {
            const { current } = outcome;
            return Right<StateOutcome, PlatformError>({
              kind: "conflict",
              current: current === undefined
                ? undefined
                : decodeRollout(current),
            });
          }
        }
      });
    },
  };
}

/** Decodes an entry; the name of the object is that of the service. */
export function decodeRollout(object: StoredObject): RolloutEntry {
  const spec = readFields(object.value);
  const status = readFields(object.status);
  const service = object.key.slice(object.key.lastIndexOf("/") + 1);
  const to = readString(spec?.["to"]);
  const seconds = readNumber(spec?.["duration-s"]) ?? 0;
  const isNamed = spec?.["service"] === undefined ||
    spec["service"] === service;
  return {
    service,
    to: isNamed && to !== "" ? to : undefined,
    durationMs: seconds > 0 ? seconds * 1_000 : undefined,
    version: object.version,
    state: to !== undefined && status?.["to"] === to
      ? decodeState(status["state"])
      : undefined,
  };
}

function decodeState(value: unknown): RolloutState | undefined {
  switch (value) {
    case "in_progress":
    case "completed":
    case "reverted":
      return value;
    default:
      return undefined;
  }
}

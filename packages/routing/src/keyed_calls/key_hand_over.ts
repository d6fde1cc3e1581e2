/**
 * Outcomes of keys whose owners left and handed them over.
 *
 * A leaving owner gives the outcomes it knows to two heirs, chosen by rendezvous
 * so that any node finds them from the key alone. An heir answers from what it
 * was given and never runs a call, so nodes that disagree about who the heirs
 * are get `unknown` at worst. Memory is bounded: the oldest outcomes go first.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type {
  ForwardedOutcome,
  HandedOverOutcome,
  KeyBatch,
  KeyBinding,
  KeyOwner,
} from "./key_peers.ts";
import type { KeyRecords } from "./key_records.ts";
import { encodeKeyOutcome } from "./key_wire.ts";

const heirCount = 2;
const maxBatchBytes = 1_000_000;
const maxInheritedBytes = 4_000_000;
const entryBytes = 256;

/** Chooses the heirs of an owner among the processes alive, best first. */
export function chooseSuccessors(
  hasher: Hasher,
  owner: KeyOwner,
  alive: readonly KeyOwner[],
): readonly KeyOwner[] {
  const others = alive.filter(({ node }) => node !== owner.node);
  const names = others.map(({ node }) => node);
  return computeRendezvousOrder(
    hasher,
    `${owner.node}/${owner.incarnation}`,
    names,
  )
    .slice(0, heirCount)
    .flatMap((name) => others.filter(({ node }) => node === name));
}

/** Collects the newest outcomes of an owner, within the size of one message. */
export function createKeyBatch(owner: KeyOwner, records: KeyRecords): KeyBatch {
  const outcomes: HandedOverOutcome[] = [];
  let bytes = 0;
  for (const [id, record] of records.list()) {
    if (record.outcome === undefined) continue;
    const outcome = encodeKeyOutcome(record.outcome);
    bytes += computeBytes(outcome);
    if (bytes > maxBatchBytes) break;
    outcomes.push({ id, fingerprint: record.fingerprint, outcome });
  }
  return { owner, outcomes };
}

interface Inherited extends HandedOverOutcome {
  readonly expiresAt: number;
}

/** Options of the inherited outcomes. */
export interface ReceivedOutcomesOptions {
  readonly clock: Clock;
  readonly lifetimeMs: number;
}

/** Outcomes that other processes handed to this one. */
export class ReceivedOutcomes {
  readonly #options: ReceivedOutcomesOptions;
  readonly #entries = new Map<string, Inherited>();
  #bytes = 0;

  private constructor(options: ReceivedOutcomesOptions) {
    this.#options = options;
  }

  static create(options: ReceivedOutcomesOptions): ReceivedOutcomes {
    return new ReceivedOutcomes(options);
  }

  /** Takes a batch, oldest outcome last. */
  add({ owner, outcomes }: KeyBatch): void {
    const expiresAt = this.#options.clock.now() + this.#options.lifetimeMs;
    for (const handed of [...outcomes].reverse()) {
      const key = formatEntryKey(owner, handed.id);
      if (this.#entries.has(key)) continue;
      this.#entries.set(key, { ...handed, expiresAt });
      this.#bytes += computeBytes(handed.outcome);
    }
    this.#removeOldest();
  }

  /** Finds the outcome of a key whose owner handed it over. */
  find(binding: KeyBinding): HandedOverOutcome | undefined {
    return this.#entries.get(formatEntryKey(binding, binding.id));
  }

  #removeOldest(): void {
    const now = this.#options.clock.now();
    for (const [key, { outcome, expiresAt }] of this.#entries) {
      if (this.#bytes <= maxInheritedBytes && expiresAt > now) return;
      this.#entries.delete(key);
      this.#bytes -= computeBytes(outcome);
    }
  }
}

function formatEntryKey(owner: KeyOwner, id: string): string {
  return `${owner.node}/${owner.incarnation}/${id}`;
}

function computeBytes(outcome: ForwardedOutcome): number {
  return outcome.kind === "answered"
    ? entryBytes + outcome.bodyBase64.length
    : entryBytes;
}

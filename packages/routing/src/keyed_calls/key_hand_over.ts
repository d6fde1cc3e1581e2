/**
 * Hand-over of key outcomes by owners that leave.
 *
 * A leaving owner sends its outcomes to two successors, which are chosen by
 * rendezvous hashing so that any node finds them from the key alone. A successor
 * answers only from the outcomes it received and never runs a call, so nodes
 * that disagree about the successors get `unknown` at worst. Memory is bounded:
 * the oldest outcomes are removed first.
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

const successorCount = 2;
const maxBatchBytes = 1_000_000;
const maxReceivedBytes = 4_000_000;
/** Estimated size of an entry without its body. */
const entryOverheadBytes = 256;

/** Chooses an owner's successors among the live processes, best first. */
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
    .slice(0, successorCount)
    .flatMap((name) => others.filter(({ node }) => node === name));
}

/** Collects an owner's newest outcomes up to the size limit of a message. */
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

interface ReceivedEntry extends HandedOverOutcome {
  readonly expiresAt: number;
}

/** Options of `ReceivedOutcomes`. */
export interface ReceivedOutcomesOptions {
  readonly clock: Clock;
  /** Time in milliseconds for which a received outcome is kept. */
  readonly lifetimeMs: number;
}

/** Outcomes that leaving owners handed over to this process. */
export class ReceivedOutcomes {
  readonly #options: ReceivedOutcomesOptions;
  readonly #entries = new Map<string, ReceivedEntry>();
  #bytes = 0;

  private constructor(options: ReceivedOutcomesOptions) {
    this.#options = options;
  }

  static create(options: ReceivedOutcomesOptions): ReceivedOutcomes {
    return new ReceivedOutcomes(options);
  }

  /** Adds a batch, whose oldest outcome comes last. */
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

  /** Finds a key's outcome; undefined if none was received. */
  find(binding: KeyBinding): HandedOverOutcome | undefined {
    return this.#entries.get(formatEntryKey(binding, binding.id));
  }

  #removeOldest(): void {
    const now = this.#options.clock.now();
    for (const [key, { outcome, expiresAt }] of this.#entries) {
      if (this.#bytes <= maxReceivedBytes && expiresAt > now) return;
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
    ? entryOverheadBytes + outcome.bodyBase64.length
    : entryOverheadBytes;
}

/**
 * Bounds the bytes that all bodies hold together that a process keeps for somebody.
 *
 * Each body has a limit of its own, above any sound one. Many at once, each within
 * that limit, would still fill the memory of the process, and end the requests of
 * all others with it. Small bodies have room beside large ones, the smaller the
 * more, and nobody holds more than half of all room. While there is too little, a body that still arrives gives way to more urgent
 * ones, and after some time to any other, as its sender may have stopped. So does one
 * that its receiver doesn't read.
 */

import { type Clock, SystemClock } from "./clock.ts";

/** Bytes that all bodies may hold together by default. */
const defaultMaxBytes = 32 * 1_048_576;
/** Share of a process's memory that bodies of one kind may hold together. */
const memoryShare = 0.1;
/** Size below which a body has more room than large ones. */
const smallBytes = 262_144;
/** Room of the smallest bodies beyond that of all, as a share of it. */
const smallShare = 0.25;
/** Room that the bodies of one group may hold together, as a share of all. */
const groupShare = 0.5;
/** Time in which a body passes even a slow link, in milliseconds. */
const passageMs = 2_000;

/** Bound and clock of a budget. */
export interface BodyBudgetOptions {
  /** Bytes that all bodies may hold together, 32 MiB by default. */
  readonly maxBytes?: number;
  readonly clock?: Clock;
}

/** Urgency of a body, and what happens when it must give way. */
export interface BodyOwner {
  /** 0 first. */
  readonly priority: number;
  /** Whose body it is; bodies without a group share the room of all alone. */
  readonly group?: string | undefined;
  /** Called when the body gives way, its share released; without it, it doesn't. */
  readonly onDisplaced?: () => void;
}

/** Bytes that one body holds. */
export interface BodyShare {
  /**
   * Adds bytes that have arrived or are to come; false if the body must not be read
   * further.
   */
  add(bytes: number): boolean;
  /** Sets the bytes that the body holds; false if it must not be read further. */
  set(bytes: number): boolean;
  /** Marks the body as whole, so that it gives way to no other. */
  complete(): void;
  /** Marks the body as on its way out; it gives way to any other after a time. */
  deliver(onDisplaced: () => void): void;
  /** Gives back all bytes; may be called more than once. */
  release(): void;
}

/** What the budget knows of one body. */
interface Holder {
  ownBytes: number;
  /** Urgency at which it asks for room. */
  readonly priority: number;
  readonly group: string | undefined;
  /** Undefined while it gives way to no other. */
  yielding: Yielding | undefined;
}

interface Yielding {
  readonly priority: number;
  readonly since: number;
  readonly onDisplaced: () => void;
}

/** Owner of a body that is less urgent than all others and doesn't give way. */
const noOwner: BodyOwner = { priority: Infinity };

/** Share of a body that nothing bounds but its own limit. */
export const unboundedShare: BodyShare = {
  add: () => true,
  set: () => true,
  complete: () => {},
  deliver: () => {},
  release: () => {},
};

/** Budget of one kind of body in one process. */
export class BodyBudget {
  readonly #maxBytes: number;
  readonly #clock: Clock;
  readonly #holders = new Set<Holder>();
  #heldBytes = 0;
  /** Bytes that the bodies of each group hold. */
  readonly #groupBytes = new Map<string, number>();
  #displaced = 0;

  private constructor({ maxBytes, clock }: BodyBudgetOptions) {
    this.#maxBytes = maxBytes ?? defaultMaxBytes;
    this.#clock = clock ?? SystemClock.create();
  }

  static create(options: BodyBudgetOptions = {}): BodyBudget {
    return new BodyBudget(options);
  }

  /** Creates a budget of a process that may use some memory. */
  static createFor(memoryBytes: number, clock: Clock): BodyBudget {
    return new BodyBudget({ maxBytes: memoryBytes * memoryShare, clock });
  }

  /** Bytes that all bodies hold at present. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Number of bodies that gave way to others. */
  get displaced(): number {
    return this.#displaced;
  }

  /** Begins to keep a body; without an owner it is the least urgent one. */
  open({ priority, group, onDisplaced }: BodyOwner = noOwner): BodyShare {
    const since = this.#clock.now();
    const holder: Holder = {
      ownBytes: 0,
      priority,
      group,
      yielding: onDisplaced && { priority, since, onDisplaced },
    };
    const add = (bytes: number): boolean => {
      this.#holders.add(holder);
      this.#count(holder, bytes);
      return bytes <= 0 || this.#displaceFor(holder);
    };
    return {
      add,
      set: (bytes) => add(bytes - holder.ownBytes),
      complete: () => holder.yielding = undefined,
      deliver: (onDisplaced) => {
        const since = this.#clock.now();
        holder.yielding = { priority: 0, since, onDisplaced };
      },
      release: () => this.#release(holder),
    };
  }

  /** Bytes by which all bodies hold too much for one to be read further. */
  #computeExcess({ ownBytes }: Holder): number {
    // A body within its own limit is read while there is no other.
    if (this.#heldBytes === ownBytes) return 0;
    return this.#heldBytes - this.#maxBytes - this.#computeSmallRoom(ownBytes);
  }

  /** Room that a body has beyond that of large ones. */
  #computeSmallRoom(ownBytes: number): number {
    const smallness = Math.max(0, 1 - ownBytes / smallBytes);
    return this.#maxBytes * smallShare * smallness;
  }

  /** Bytes by which the bodies of its group hold too much for that. */
  #computeGroupExcess({ group, ownBytes }: Holder): number {
    if (group === undefined) return 0;
    const heldBytes = this.#groupBytes.get(group) ?? 0;
    if (heldBytes === ownBytes) return 0;
    return heldBytes - this.#maxBytes * groupShare -
      this.#computeSmallRoom(ownBytes);
  }

  /** Makes others give way to a body, if need be and if that makes enough room. */
  #displaceFor(holder: Holder): boolean {
    let excess = this.#computeExcess(holder);
    let groupExcess = this.#computeGroupExcess(holder);
    if (excess <= 0 && groupExcess <= 0) return true;
    const displaced: Holder[] = [];
    for (const other of this.#listYielding(holder)) {
      const isOfGroup = other.group === holder.group;
      if (excess <= 0 && (groupExcess <= 0 || !isOfGroup)) continue;
      displaced.push(other);
      excess -= other.ownBytes;
      if (isOfGroup) groupExcess -= other.ownBytes;
    }
    if (excess > 0 || groupExcess > 0) return false;
    for (const other of displaced) {
      const { yielding } = other;
      this.#release(other);
      this.#displaced += 1;
      yielding?.onDisplaced();
    }
    return true;
  }

  /** Lists bodies that give way to another one: least urgent, then oldest first. */
  #listYielding(holder: Holder): readonly Holder[] {
    const now = this.#clock.now();
    return [...this.#holders]
      .flatMap((other) =>
        other === holder || other.yielding === undefined
          ? []
          : [{ other, ...other.yielding }]
      )
      .filter(({ priority, since }) =>
        priority > holder.priority || now - since >= passageMs
      )
      .sort((a, b) => b.priority - a.priority || a.since - b.since)
      .map(({ other }) => other);
  }

  #release(holder: Holder): void {
    this.#holders.delete(holder);
    this.#count(holder, -holder.ownBytes);
    holder.yielding = undefined;
  }

  #count(holder: Holder, bytes: number): void {
    holder.ownBytes += bytes;
    this.#heldBytes += bytes;
    const { group } = holder;
    if (group === undefined) return;
    const heldBytes = (this.#groupBytes.get(group) ?? 0) + bytes;
    if (heldBytes > 0) this.#groupBytes.set(group, heldBytes);
    else this.#groupBytes.delete(group);
  }
}

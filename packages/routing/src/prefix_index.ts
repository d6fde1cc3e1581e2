/**
 * What this node knows of the prefix caches of engines.
 *
 * A set-associative table in typed arrays maps a block's hash to the endpoints
 * it was last sent to; the least recently used block of a full set makes room,
 * so memory is fixed: 37 bytes a block. The node's own sends fill it. Cache
 * events, which come late and with gaps, only correct blocks it already holds,
 * and a gap forgets the whole endpoint.
 *
 * The table also learns which blocks are shared by many conversations, such as
 * a system prompt: those that at least three different blocks follow.
 */

import type { CacheEventBatch } from "@almondcrank/endpoint/engine.ts";

const defaultMaxBlocks = 131_072;
const ways = 4;
const holdersPerBlock = 4;
const followersPerBlock = 2;
const maxEndpoints = 65_536;
const generationMask = 0xffff;

/** An endpoint that probably holds a prefix, in full blocks. */
export interface PrefixHolder {
  readonly endpoint: string;
  readonly blocks: number;
}

/** What the index knows of one prompt. */
export interface PrefixMatch {
  /** Deepest holders first, each endpoint once. */
  readonly holders: readonly PrefixHolder[];
  /** Blocks shared with other conversations. */
  readonly sharedBlocks: number;
  /** Blocks seen before, wherever they were computed. */
  readonly seenBlocks: number;
}

/** Bounded knowledge of prefix caches. */
export class PrefixIndex {
  readonly #sets: number;
  readonly #keys: Uint32Array;
  readonly #used: Uint32Array;
  readonly #holders: Uint32Array;
  readonly #followers: Uint32Array;
  readonly #branches: Uint8Array;
  readonly #generations = new Uint16Array(maxEndpoints);
  readonly #names: (string | undefined)[] = [];
  readonly #ids = new Map<string, number>();
  readonly #sequences = new Map<string, number>();
  #nextId = 0;
  #tick = 0;

  private constructor(maxBlocks: number) {
    this.#sets = Math.ceil(maxBlocks / ways);
    const slots = this.#sets * ways;
    this.#keys = new Uint32Array(slots);
    this.#used = new Uint32Array(slots);
    this.#holders = new Uint32Array(slots * holdersPerBlock);
    this.#followers = new Uint32Array(slots * followersPerBlock);
    this.#branches = new Uint8Array(slots);
  }

  static create(maxBlocks: number = defaultMaxBlocks): PrefixIndex {
    return new PrefixIndex(maxBlocks);
  }

  /** Bytes of the table. */
  get bytes(): number {
    return this.#keys.byteLength + this.#used.byteLength +
      this.#holders.byteLength + this.#followers.byteLength +
      this.#branches.byteLength + this.#generations.byteLength;
  }

  /** Finds what is known of a prompt's chain of block hashes. */
  find(chain: readonly number[], maxHolders: number): PrefixMatch {
    const holders: PrefixHolder[] = [];
    let sharedBlocks = 0;
    let seenBlocks = 0;
    for (let depth = chain.length; depth > 0; depth--) {
      const slot = this.#findSlot(chain[depth - 1] ?? 0);
      if (slot === -1) continue;
      if (seenBlocks === 0) seenBlocks = depth;
      if (sharedBlocks === 0 && this.#branches[slot] === 1) {
        sharedBlocks = depth;
      }
      if (holders.length < maxHolders) {
        this.#addHolders(holders, slot, depth, maxHolders);
      } else if (sharedBlocks > 0) break;
    }
    return { holders, sharedBlocks, seenBlocks };
  }

  /** Records that a prompt was sent to an endpoint, which will cache it. */
  recordSend(chain: readonly number[], endpoint: string): void {
    const holder = this.#encodeHolder(endpoint);
    this.#tick++;
    for (let depth = 0; depth < chain.length; depth++) {
      const slot = this.#claimSlot(chain[depth] ?? 0);
      this.#addHolder(slot, holder);
      const follower = chain[depth + 1];
      if (follower !== undefined) this.#addFollower(slot, follower);
    }
  }

  /**
   * Corrects the index by an endpoint's cache events.
   *
   * @returns False when events are missing and the endpoint was forgotten.
   */
  recordCacheEvents(endpoint: string, batch: CacheEventBatch): boolean {
    const known = this.#sequences.get(endpoint);
    this.#sequences.set(endpoint, batch.sequence);
    let expected = known;
    const first = batch.events[0]?.sequence ?? batch.sequence + 1;
    if (known !== undefined && first > known + 1) {
      return this.#forgetAfterGap(endpoint, batch.sequence);
    }
    for (const event of batch.events) {
      if (expected !== undefined && event.sequence !== expected + 1) {
        return this.#forgetAfterGap(endpoint, batch.sequence);
      }
      expected = event.sequence;
      for (const block of event.blocks) {
        this.#correctHolder(block, endpoint, event.kind);
      }
    }
    return true;
  }

  /** Forgets what an endpoint holds: it was replaced or its events have a gap. */
  removeEndpoint(endpoint: string): void {
    this.#sequences.delete(endpoint);
    const id = this.#ids.get(endpoint);
    if (id === undefined) return;
    this.#ids.delete(endpoint);
    this.#names[id] = undefined;
  }

  #forgetAfterGap(endpoint: string, sequence: number): boolean {
    this.removeEndpoint(endpoint);
    this.#sequences.set(endpoint, sequence);
    return false;
  }

  #correctHolder(
    block: number,
    endpoint: string,
    kind: "stored" | "evicted",
  ): void {
    const slot = this.#findSlot(block);
    if (slot === -1) return;
    const holder = this.#encodeHolder(endpoint);
    if (kind === "stored") return this.#addHolder(slot, holder);
    const start = slot * holdersPerBlock;
    for (let i = start; i < start + holdersPerBlock; i++) {
      if (this.#holders[i] === holder) this.#holders[i] = 0;
    }
  }

  #findSlot(key: number): number {
    const start = (key % this.#sets) * ways;
    for (let slot = start; slot < start + ways; slot++) {
      if (this.#keys[slot] === key && this.#used[slot] !== 0) return slot;
    }
    return -1;
  }

  /** Slot of a block, taken from the least recently used one if it is new. */
  #claimSlot(key: number): number {
    const start = (key % this.#sets) * ways;
    let oldest = start;
    for (let slot = start; slot < start + ways; slot++) {
      const used = this.#used[slot] ?? 0;
      if (used !== 0 && this.#keys[slot] === key) {
        this.#used[slot] = this.#tick;
        return slot;
      }
      if (used < (this.#used[oldest] ?? 0)) oldest = slot;
    }
    this.#keys[oldest] = key;
    this.#used[oldest] = this.#tick;
    this.#holders.fill(
      0,
      oldest * holdersPerBlock,
      (oldest + 1) * holdersPerBlock,
    );
    this.#followers.fill(
      0,
      oldest * followersPerBlock,
      (oldest + 1) * followersPerBlock,
    );
    this.#branches[oldest] = 0;
    return oldest;
  }

  /** Moves a holder to the front of its block; the last one drops out. */
  #addHolder(slot: number, holder: number): void {
    const start = slot * holdersPerBlock;
    let moved = holder;
    for (let i = start; i < start + holdersPerBlock; i++) {
      const previous = this.#holders[i] ?? 0;
      this.#holders[i] = moved;
      if (previous === holder) return;
      moved = previous;
    }
  }

  #addFollower(slot: number, follower: number): void {
    const start = slot * followersPerBlock;
    for (let i = start; i < start + followersPerBlock; i++) {
      const known = this.#followers[i];
      if (known === follower) return;
      if (known === 0) {
        this.#followers[i] = follower;
        return;
      }
    }
    this.#branches[slot] = 1;
  }

  #addHolders(
    holders: PrefixHolder[],
    slot: number,
    blocks: number,
    maxHolders: number,
  ): void {
    const start = slot * holdersPerBlock;
    for (let i = start; i < start + holdersPerBlock; i++) {
      const endpoint = this.#decodeHolder(this.#holders[i] ?? 0);
      if (endpoint === undefined || holders.length >= maxHolders) continue;
      if (holders.some((holder) => holder.endpoint === endpoint)) continue;
      holders.push({ endpoint, blocks });
    }
  }

  /** Identifier and generation in one number; 0 stands for none. */
  #encodeHolder(endpoint: string): number {
    let id = this.#ids.get(endpoint);
    if (id === undefined) {
      id = this.#nextId;
      this.#nextId = (this.#nextId + 1) % maxEndpoints;
      const previous = this.#names[id];
      if (previous !== undefined) this.#ids.delete(previous);
      this.#ids.set(endpoint, id);
      this.#names[id] = endpoint;
      // Generations start at 1 so that no holder is encoded as 0.
      this.#generations[id] = Math.max(
        1,
        ((this.#generations[id] ?? 0) + 1) & generationMask,
      );
    }
    return ((id << 16) | (this.#generations[id] ?? 0)) >>> 0;
  }

  #decodeHolder(holder: number): string | undefined {
    if (holder === 0) return undefined;
    const id = holder >>> 16;
    if (this.#generations[id] !== (holder & generationMask)) return undefined;
    return this.#names[id];
  }
}

/**
 * What this node knows of the prefix caches of engines.
 *
 * A set-associative table in typed arrays maps a block's hash to the endpoints
 * it was last sent to; the least recently used block of a full set makes room,
 * so memory is fixed: 50 bytes a block. The node's own sends fill it. Cache
 * events, which come late and with gaps, only correct blocks it already holds,
 * and a gap forgets the whole endpoint.
 *
 * Of long prompts only every fourth block is kept, which costs at most three
 * blocks of precision.
 *
 * The table also learns which blocks are shared by many conversations, such as
 * a system prompt: those that at least three different blocks follow.
 */

import type { CacheEventBatch } from "@almondcrank/endpoint/engine.ts";

const defaultMaxBlocks = 131_072;
const ways = 4;
const holdersPerBlock = 4;
const followersPerBlock = 2;
const betweenPerBlock = 3;
/** Depth up to which every block is kept; beyond it every fourth. */
const denseDepth = 8;
const depthStride = 4;
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

/** Deepest block of a chain that the index keeps. */
function computeLastDepth(blocks: number): number {
  if (blocks <= denseDepth) return blocks;
  return blocks - (blocks - denseDepth) % depthStride;
}

function computePreviousDepth(depth: number): number {
  return depth > denseDepth ? depth - depthStride : depth - 1;
}

/** Bounded knowledge of prefix caches. */
export class PrefixIndex {
  readonly #setMask: number;
  readonly #keys: Uint32Array;
  readonly #used: Uint32Array;
  readonly #holders: Uint32Array;
  readonly #followers: Uint32Array;
  /** The blocks right after a kept one, up to the next kept one. */
  readonly #between: Uint32Array;
  /** 1 where at least three different blocks follow. */
  readonly #branches: Uint8Array;
  /** Blocks after a kept one that its followers seen so far share. */
  readonly #spans: Uint8Array;
  readonly #generations = new Uint16Array(maxEndpoints);
  readonly #names: (string | undefined)[] = [];
  readonly #ids = new Map<string, number>();
  readonly #sequences = new Map<string, number>();
  #nextId = 0;
  #tick = 0;

  private constructor(maxBlocks: number) {
    // A power of two, so that a mask finds the set of a hash.
    const sets = 2 ** Math.ceil(Math.log2(Math.max(1, maxBlocks / ways)));
    this.#setMask = sets - 1;
    const slots = sets * ways;
    this.#keys = new Uint32Array(slots);
    this.#used = new Uint32Array(slots);
    this.#holders = new Uint32Array(slots * holdersPerBlock);
    this.#followers = new Uint32Array(slots * followersPerBlock);
    this.#between = new Uint32Array(slots * betweenPerBlock);
    this.#branches = new Uint8Array(slots);
    this.#spans = new Uint8Array(slots);
  }

  static create(maxBlocks: number = defaultMaxBlocks): PrefixIndex {
    return new PrefixIndex(maxBlocks);
  }

  /** Bytes of the table. */
  get byteLength(): number {
    return this.#keys.byteLength + this.#used.byteLength +
      this.#holders.byteLength + this.#followers.byteLength +
      this.#branches.byteLength + this.#spans.byteLength +
      this.#between.byteLength + this.#generations.byteLength;
  }

  /** Finds what is known of a prompt's chain of block hashes. */
  find(chain: readonly number[], maxHolders: number): PrefixMatch {
    const holders: PrefixHolder[] = [];
    const known: number[] = [];
    let sharedBlocks = 0;
    let seenBlocks = 0;
    let depth = computeLastDepth(chain.length);
    for (; depth > 0; depth = computePreviousDepth(depth)) {
      const slot = this.#findSlot(chain[depth - 1] ?? 0);
      if (slot === -1) continue;
      if (seenBlocks === 0) seenBlocks = depth;
      if (sharedBlocks === 0 && this.#branches[slot] === 1) {
        const span = this.#spans[slot] ?? 0;
        sharedBlocks = Math.min(chain.length, depth + span);
      }
      if (holders.length < maxHolders) {
        this.#addHolders(holders, known, slot, depth);
      } else if (sharedBlocks > 0) break;
    }
    holders.length = Math.min(holders.length, maxHolders);
    return { holders, sharedBlocks, seenBlocks };
  }

  /** Records that a prompt was sent to an endpoint, which will cache it. */
  recordSend(chain: readonly number[], endpoint: string): void {
    const holder = this.#encodeHolder(endpoint);
    this.#tick++;
    const last = computeLastDepth(chain.length);
    let follower = 0;
    let next = last;
    for (let depth = last; depth > 0; depth = computePreviousDepth(depth)) {
      const block = chain[depth - 1] ?? 0;
      const slot = this.#claimSlot(block);
      this.#addHolder(slot, holder);
      if (depth < last) {
        this.#recordSpan(slot, chain, depth, next);
        this.#addFollower(slot, follower);
      }
      follower = block;
      next = depth;
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
      return this.#removeAfterGap(endpoint, batch.sequence);
    }
    for (const event of batch.events) {
      if (expected !== undefined && event.sequence !== expected + 1) {
        return this.#removeAfterGap(endpoint, batch.sequence);
      }
      expected = event.sequence;
      for (const block of event.blocks) {
        this.#recordCorrection(block, endpoint, event.kind);
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

  #removeAfterGap(endpoint: string, sequence: number): boolean {
    this.removeEndpoint(endpoint);
    this.#sequences.set(endpoint, sequence);
    return false;
  }

  #recordCorrection(
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
    const keys = this.#keys;
    const start = (key & this.#setMask) * ways;
    for (let slot = start; slot < start + ways; slot++) {
      if (keys[slot] === key && this.#used[slot] !== 0) return slot;
    }
    return -1;
  }

  /** Slot of a block, taken from the least recently used one if it is new. */
  #claimSlot(key: number): number {
    const known = this.#findSlot(key);
    if (known !== -1) {
      this.#used[known] = this.#tick;
      return known;
    }
    const used = this.#used;
    const start = (key & this.#setMask) * ways;
    let oldest = start;
    for (let slot = start + 1; slot < start + ways; slot++) {
      if ((used[slot] ?? 0) < (used[oldest] ?? 0)) oldest = slot;
    }
    this.#removeSlot(oldest);
    this.#keys[oldest] = key;
    used[oldest] = this.#tick;
    return oldest;
  }

  #removeSlot(slot: number): void {
    const holders = slot * holdersPerBlock;
    this.#holders.fill(0, holders, holders + holdersPerBlock);
    const followers = slot * followersPerBlock;
    this.#followers.fill(0, followers, followers + followersPerBlock);
    this.#branches[slot] = 0;
    this.#spans[slot] = 0;
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

  /**
   * Narrows the span that followers of a block share, or notes the first
   * follower's blocks up to the next kept one.
   */
  #recordSpan(
    slot: number,
    chain: readonly number[],
    depth: number,
    next: number,
  ): void {
    const between = this.#between;
    const start = slot * betweenPerBlock;
    const blocks = next - depth - 1;
    if (this.#followers[slot * followersPerBlock] === 0) {
      for (let i = 0; i < blocks; i++) {
        between[start + i] = chain[depth + i] ?? 0;
      }
      this.#spans[slot] = blocks;
      return;
    }
    const known = Math.min(blocks, this.#spans[slot] ?? 0);
    let same = 0;
    while (same < known && between[start + same] === chain[depth + same]) {
      same++;
    }
    this.#spans[slot] = same;
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

  /** @param known Encoded holders met so far; most blocks add none. */
  #addHolders(
    holders: PrefixHolder[],
    known: number[],
    slot: number,
    blocks: number,
  ): void {
    const start = slot * holdersPerBlock;
    for (let i = start; i < start + holdersPerBlock; i++) {
      const holder = this.#holders[i] ?? 0;
      if (holder === 0 || known.includes(holder)) continue;
      known.push(holder);
      const endpoint = this.#decodeHolder(holder);
      if (endpoint !== undefined) holders.push({ endpoint, blocks });
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

/**
 * What this node knows of the prefix caches of engines.
 *
 * A set-associative table in typed arrays maps a block's hash to the endpoints to
 * which it was last sent. A full set evicts its least recently used block, so
 * memory is fixed at 50 bytes a block. The node's own sends fill the table. Cache
 * events, which arrive late and with gaps, only correct blocks that it already
 * holds; a gap removes everything known of the endpoint.
 *
 * Of long prompts only every fourth block is kept, which costs at most three
 * blocks of precision.
 *
 * The table also learns which blocks many conversations share, such as those of a
 * system prompt: blocks with at least three different child blocks.
 */

import type { CacheEventBatch } from "@almondcrank/endpoint/engine.ts";

const defaultMaxBlocks = 131_072;
/** Blocks in one set of the table. */
const ways = 4;
const holdersPerBlock = 4;
const childrenPerBlock = 2;
const skippedPerBlock = 3;
/** Depth up to which every block is kept; beyond it every fourth. */
const denseDepth = 8;
const depthStride = 4;
const maxEndpoints = 65_536;
const generationMask = 0xffff;

/** Endpoint that probably caches the first `blocks` full blocks of a prompt. */
export interface PrefixHolder {
  readonly endpoint: string;
  readonly blocks: number;
}

/** Result of looking up one prompt. */
export interface PrefixMatch {
  /** Holders of the longest prefix first, each endpoint once. */
  readonly holders: readonly PrefixHolder[];
  /** Leading blocks shared with other conversations. */
  readonly sharedBlocks: number;
  /** Leading blocks sent before, to any endpoint. */
  readonly seenBlocks: number;
}

/** Depth of the last block of a chain that the index keeps; the first is 1. */
function computeLastDepth(blocks: number): number {
  if (blocks <= denseDepth) return blocks;
  return blocks - (blocks - denseDepth) % depthStride;
}

function computePreviousDepth(depth: number): number {
  return depth > denseDepth ? depth - depthStride : depth - 1;
}

/** Table of which endpoints probably cache which prefixes, of fixed size. */
export class PrefixIndex {
  readonly #setMask: number;
  readonly #keys: Uint32Array;
  readonly #lastUsed: Uint32Array;
  readonly #holders: Uint32Array;
  readonly #children: Uint32Array;
  /** Blocks between a kept one and the next kept one. */
  readonly #skipped: Uint32Array;
  /** 1 where at least three different child blocks were seen. */
  readonly #branching: Uint8Array;
  /** Number of skipped blocks that all prompts through a kept one shared. */
  readonly #sharedSpans: Uint8Array;
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
    this.#lastUsed = new Uint32Array(slots);
    this.#holders = new Uint32Array(slots * holdersPerBlock);
    this.#children = new Uint32Array(slots * childrenPerBlock);
    this.#skipped = new Uint32Array(slots * skippedPerBlock);
    this.#branching = new Uint8Array(slots);
    this.#sharedSpans = new Uint8Array(slots);
  }

  static create(maxBlocks: number = defaultMaxBlocks): PrefixIndex {
    return new PrefixIndex(maxBlocks);
  }

  /** Size of the table in bytes. */
  get byteLength(): number {
    return this.#keys.byteLength + this.#lastUsed.byteLength +
      this.#holders.byteLength + this.#children.byteLength +
      this.#branching.byteLength + this.#sharedSpans.byteLength +
      this.#skipped.byteLength + this.#generations.byteLength;
  }

  /** Looks up a prompt by its chain of block hashes. */
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
      if (sharedBlocks === 0 && this.#branching[slot] === 1) {
        const span = this.#sharedSpans[slot] ?? 0;
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
    let child = 0;
    let nextDepth = last;
    for (let depth = last; depth > 0; depth = computePreviousDepth(depth)) {
      const block = chain[depth - 1] ?? 0;
      const slot = this.#claimSlot(block);
      this.#addHolder(slot, holder);
      if (depth < last) {
        this.#updateSharedSpan(slot, chain, depth, nextDepth);
        this.#addChild(slot, child);
      }
      child = block;
      nextDepth = depth;
    }
  }

  /**
   * Corrects the index by an endpoint's cache events.
   *
   * @returns False when events are missing and the endpoint was removed.
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

  /** Removes an endpoint that was replaced or whose events have a gap. */
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
      if (keys[slot] === key && this.#lastUsed[slot] !== 0) return slot;
    }
    return -1;
  }

  /** Finds the slot of a block; a new block evicts the least recently used one. */
  #claimSlot(key: number): number {
    const known = this.#findSlot(key);
    if (known !== -1) {
      this.#lastUsed[known] = this.#tick;
      return known;
    }
    const lastUsed = this.#lastUsed;
    const start = (key & this.#setMask) * ways;
    let oldest = start;
    for (let slot = start + 1; slot < start + ways; slot++) {
      if ((lastUsed[slot] ?? 0) < (lastUsed[oldest] ?? 0)) oldest = slot;
    }
    this.#removeSlot(oldest);
    this.#keys[oldest] = key;
    lastUsed[oldest] = this.#tick;
    return oldest;
  }

  #removeSlot(slot: number): void {
    const holders = slot * holdersPerBlock;
    this.#holders.fill(0, holders, holders + holdersPerBlock);
    const children = slot * childrenPerBlock;
    this.#children.fill(0, children, children + childrenPerBlock);
    this.#branching[slot] = 0;
    this.#sharedSpans[slot] = 0;
  }

  /** Moves a holder to the front of its block's list; a full list drops the last. */
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
   * Stores the skipped blocks of the first child, or reduces the shared span to
   * those that this chain has in common with them.
   */
  #updateSharedSpan(
    slot: number,
    chain: readonly number[],
    depth: number,
    nextDepth: number,
  ): void {
    const skipped = this.#skipped;
    const start = slot * skippedPerBlock;
    const blocks = nextDepth - depth - 1;
    if (this.#children[slot * childrenPerBlock] === 0) {
      for (let i = 0; i < blocks; i++) {
        skipped[start + i] = chain[depth + i] ?? 0;
      }
      this.#sharedSpans[slot] = blocks;
      return;
    }
    const known = Math.min(blocks, this.#sharedSpans[slot] ?? 0);
    let shared = 0;
    while (
      shared < known && skipped[start + shared] === chain[depth + shared]
    ) {
      shared++;
    }
    this.#sharedSpans[slot] = shared;
  }

  #addChild(slot: number, child: number): void {
    const start = slot * childrenPerBlock;
    for (let i = start; i < start + childrenPerBlock; i++) {
      const known = this.#children[i];
      if (known === child) return;
      if (known === 0) {
        this.#children[i] = child;
        return;
      }
    }
    this.#branching[slot] = 1;
  }

  /** @param known Encoded holders found so far; most blocks add none. */
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

  /** Encodes id and generation of an endpoint in one number; 0 stands for none. */
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

/**
 * KV cache that an engine exported, and what it imported for requests to come.
 */

import type { CacheExport } from "@almondcrank/endpoint/engine.ts";
import { blockTokens } from "@almondcrank/endpoint/tokens.ts";
import type { EngineSettings } from "./engine_settings.ts";
import type { Generation } from "./generation.ts";

const keptTransfers = 1_024;
const millisecondsPerSecond = 1_000;

/** Cache of one request as one engine sends it to another. */
export interface KvTransfer {
  readonly handle: string;
  readonly tokens: number;
  readonly bytes: number;
  /** Hash chain of the full blocks. */
  readonly blocks: readonly number[];
}

/** Exports and imports of one engine. */
export class KvExchange {
  readonly #settings: EngineSettings;
  readonly #exports = new Map<string, KvTransfer>();
  readonly #imports = new Map<string, KvTransfer>();
  #next = 1;

  private constructor(settings: EngineSettings) {
    this.#settings = settings;
  }

  static create(settings: EngineSettings): KvExchange {
    return new KvExchange(settings);
  }

  /** Exports what a request has computed so far. */
  export(generation: Generation): CacheExport {
    const handle = `kv-${this.#next++}`;
    const tokens = generation.kvTokens;
    const bytes = tokens * this.#settings.kvBytesPerToken;
    const blocks = generation.blockHashes.slice(
      0,
      Math.floor(tokens / blockTokens),
    );
    addBounded(this.#exports, handle, { handle, tokens, bytes, blocks });
    return { handle, tokens, bytes };
  }

  findExport(handle: string): KvTransfer | undefined {
    return this.#exports.get(handle);
  }

  computeTransferMs({ bytes }: KvTransfer): number {
    return bytes * millisecondsPerSecond / this.#settings.kvBytesPerSecond;
  }

  /** Keeps an imported cache for the request that names `importId`. */
  import(importId: string, transfer: KvTransfer): void {
    addBounded(this.#imports, importId, transfer);
  }

  /** Counts input tokens that the request's import covers, and uses it up. */
  claimImportedTokens({ request, blockHashes: chain }: Generation): number {
    const { importId } = request;
    if (importId === undefined) return 0;
    const transfer = this.#imports.get(importId);
    if (transfer === undefined) return 0;
    this.#imports.delete(importId);
    const { blocks, tokens } = transfer;
    const isPrefix = blocks.every((block, index) => chain[index] === block);
    return isPrefix ? tokens : 0;
  }
}

function addBounded<T>(items: Map<string, T>, key: string, item: T): void {
  items.set(key, item);
  if (items.size <= keptTransfers) return;
  const oldest = items.keys().next();
  if (!oldest.done) items.delete(oldest.value);
}

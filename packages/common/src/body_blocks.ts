/**
 * Collects the bytes of a body that arrives in chunks.
 *
 * A buffer for each chunk would hold many times the bytes of small ones, so these
 * are copied into blocks. A body whose length is known gets one block, so that it
 * is not held twice once it is whole.
 */

import type { BodyShare } from "./body_budget.ts";

/** Size of a block, and of the chunks that are kept as they are. */
const blockBytes = 4_096;
const emptyBlock = Buffer.alloc(0);

/** Room of one body. */
export interface BodyRoom {
  readonly share: BodyShare;
  /** Length of the body, if it is known and its room was taken. */
  readonly reservedBytes?: number | undefined;
}

/** Bytes of one body. */
export class BodyBlocks {
  readonly #room: BodyRoom;
  readonly #whole: Buffer[] = [];
  /** The block that is being filled. */
  #last: Buffer = emptyBlock;
  #lastBytes = 0;

  private constructor(room: BodyRoom) {
    this.#room = room;
  }

  static create(room: BodyRoom): BodyBlocks {
    return new BodyBlocks(room);
  }

  /** Adds a chunk; false if there is no room for it. */
  add(chunk: Buffer): boolean {
    return this.#isKept(chunk) ? this.#keep(chunk) : this.#copy(chunk);
  }

  /** Joins all bytes; nothing may be added after. */
  join(): Buffer {
    this.#closeBlock();
    const [first = emptyBlock] = this.#whole;
    return this.#whole.length <= 1 ? first : Buffer.concat(this.#whole);
  }

  /** Whether a chunk is kept as it is: most bodies are one chunk. */
  #isKept(chunk: Buffer): boolean {
    const { reservedBytes } = this.#room;
    return reservedBytes === undefined
      ? chunk.length >= blockBytes
      : chunk.length === reservedBytes;
  }

  #keep(chunk: Buffer): boolean {
    if (!this.#charge(chunk.length)) return false;
    this.#closeBlock();
    this.#whole.push(chunk);
    return true;
  }

  #copy(chunk: Buffer): boolean {
    let from = 0;
    while (from < chunk.length) {
      if (this.#lastBytes === this.#last.length && !this.#openBlock()) {
        return false;
      }
      const copied = chunk.copy(this.#last, this.#lastBytes, from);
      this.#lastBytes += copied;
      from += copied;
    }
    return true;
  }

  #openBlock(): boolean {
    const bytes = this.#room.reservedBytes ?? blockBytes;
    if (!this.#charge(bytes)) return false;
    this.#closeBlock();
    this.#last = Buffer.allocUnsafeSlow(bytes);
    return true;
  }

  #closeBlock(): void {
    if (this.#lastBytes > 0) {
      this.#whole.push(this.#last.subarray(0, this.#lastBytes));
    }
    this.#last = emptyBlock;
    this.#lastBytes = 0;
  }

  #charge(bytes: number): boolean {
    const { reservedBytes, share } = this.#room;
    return reservedBytes !== undefined || share.add(bytes);
  }
}

/**
 * The moves of one segment's run to another replica.
 *
 * A move stops the run before it copies and answers. So once one was asked for and
 * not answered, the end of a connection does not show that a stream without a
 * length is whole.
 */

import type { MoveEnd } from "./stream_registry.ts";

/** Moves of one segment. */
export class SegmentMove {
  #pending: Promise<MoveEnd> | undefined;
  #mayBeStopped = false;

  static create(): SegmentMove {
    return new SegmentMove();
  }

  /** Whether a move is under way, or its target is known. */
  get isPending(): boolean {
    return this.#pending !== undefined;
  }

  /** Whether a move is under way, has stopped the run, or may have. */
  get isAsked(): boolean {
    return this.isPending || this.#mayBeStopped;
  }

  /** Sets the pending move; after one that failed, another may be set. */
  set(move: Promise<MoveEnd>): void {
    this.#pending = move;
    void move.then(({ kind }) => {
      if (this.#pending !== move || kind === "moved") return;
      this.#pending = undefined;
      this.#mayBeStopped ||= kind === "unknown";
    });
  }

  /** Waits for the pending move; `not_moved` only if the run was surely not stopped. */
  async wait(): Promise<MoveEnd> {
    const end = await this.#pending;
    if (end?.kind === "moved") return end;
    return { kind: this.#mayBeStopped ? "unknown" : "not_moved" };
  }
}

/**
 * Batches the events of one answer into fewer system calls.
 *
 * An engine often sends the tokens of several steps at once. The response is
 * corked until the next tick, so that their events leave in one write. No timer
 * is involved.
 */

import type { ServerResponse } from "node:http";
import process from "node:process";

/** Writes the events of one answer. */
export class EventWriter {
  readonly #response: ServerResponse;
  #isCorked = false;

  private constructor(response: ServerResponse) {
    this.#response = response;
  }

  static create(response: ServerResponse): EventWriter {
    return new EventWriter(response);
  }

  /** Writes an event; false asks the caller to wait for the event `drain`. */
  write(text: string): boolean {
    if (!this.#isCorked) {
      this.#isCorked = true;
      this.#response.cork();
      process.nextTick(() => this.flush());
    }
    return this.#response.write(text);
  }

  /** Sends what was written; needed only before the response is aborted. */
  flush(): void {
    if (!this.#isCorked) return;
    this.#isCorked = false;
    this.#response.uncork();
  }
}

/**
 * Writes events of one answer, several to a system call where they come
 * together.
 *
 * An engine often sends the tokens of several steps at once. The response is
 * held back until everything that can run now has run, so that their events
 * leave in one write; nothing waits for time to pass.
 */

import type { ServerResponse } from "node:http";
import process from "node:process";

/** Writer of one answer. */
export class EventWriter {
  readonly #response: ServerResponse;
  #isCorked = false;

  private constructor(response: ServerResponse) {
    this.#response = response;
  }

  static create(response: ServerResponse): EventWriter {
    return new EventWriter(response);
  }

  /** Writes an event; false asks the writer to wait for `drain`. */
  write(text: string): boolean {
    if (!this.#isCorked) {
      this.#isCorked = true;
      this.#response.cork();
      process.nextTick(() => {
        this.#isCorked = false;
        this.#response.uncork();
      });
    }
    return this.#response.write(text);
  }
}

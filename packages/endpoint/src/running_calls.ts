/**
 * Counts the running calls of a client, so that it can close after the last one.
 */

/** Running calls of one client. */
export class RunningCalls {
  #count = 0;
  #wakes: (() => void)[] = [];

  static create(): RunningCalls {
    return new RunningCalls();
  }

  /** Counts a call until `end`. */
  start(): void {
    this.#count++;
  }

  /** Ends a call that `start` counted. */
  end(): void {
    this.#count--;
    if (this.#count > 0) return;
    for (const wake of this.#wakes.splice(0)) wake();
  }

  /** Resolves when no call is running. */
  async waitIdle(): Promise<void> {
    if (this.#count === 0) return;
    await new Promise<void>((resolve) => this.#wakes.push(resolve));
  }
}

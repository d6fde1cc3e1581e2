/**
 * Virtual time for measurements that run faster than real time.
 */

import type { Clock } from "@almondcrank/common/clock.ts";

/** A pending sleep; `wake` is undefined once it has ended. */
interface Sleeper {
  readonly due: number;
  wake: (() => void) | undefined;
}

/** Clock that advances to the next sleeper when all pending code has run. */
export class VirtualClock implements Clock {
  #now = 0;
  /** Binary heap with the earliest sleeper first. */
  readonly #heap: Sleeper[] = [];

  static create(): VirtualClock {
    return new VirtualClock();
  }

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const sleeper: Sleeper = { due: this.#now + ms, wake: undefined };
      const finish = (): void => {
        sleeper.wake = undefined;
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      sleeper.wake = finish;
      signal?.addEventListener("abort", finish, { once: true });
      this.#push(sleeper);
    });
  }

  /** Advances the time until `end`, in milliseconds, or until `isDone`. */
  async run(end: number, isDone: () => boolean = () => false): Promise<void> {
    await runPending();
    while (this.#now < end && !isDone()) {
      const next = this.#pop();
      if (next === undefined) return;
      if (next.wake === undefined) continue;
      this.#now = Math.max(this.#now, next.due);
      next.wake();
      while (this.#heap[0] !== undefined && this.#heap[0].due <= this.#now) {
        this.#pop()?.wake?.();
      }
      await runPending();
    }
  }

  #push(sleeper: Sleeper): void {
    const heap = this.#heap;
    let at = heap.length;
    heap.push(sleeper);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || above.due <= sleeper.due) break;
      heap[at] = above;
      at = parent;
    }
    heap[at] = sleeper;
  }

  #pop(): Sleeper | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) {
      return first;
    }
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      const right = heap[left + 1];
      let child = heap[left];
      let childAt = left;
      if (child === undefined) break;
      if (right !== undefined && right.due < child.due) {
        child = right;
        childAt = left + 1;
      }
      if (child.due >= last.due) break;
      heap[at] = child;
      at = childAt;
    }
    heap[at] = last;
    return first;
  }
}

/** Waits until the pending promise callbacks have run. */
function runPending(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

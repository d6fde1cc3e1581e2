/**
 * Typed event emitters.
 *
 * A class exposes `onX: Event<T>` and keeps the emitter private. Listeners
 * run synchronously in the order in which they subscribed.
 */

import { createDisposable, type Disposable } from "./disposables.ts";

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Emitter of one kind of event. */
export class Emitter<T> implements Disposable {
  readonly #listeners = new Set<(value: T) => void>();

  static create<T>(): Emitter<T> {
    return new Emitter<T>();
  }

  /** Subscribes to the event. */
  readonly event: Event<T> = (listener) => {
    this.#listeners.add(listener);
    return createDisposable(() => this.#listeners.delete(listener));
  };

  /** Calls all listeners with `value`. */
  fire(value: T): void {
    for (const listener of this.#listeners) listener(value);
  }

  dispose(): void {
    this.#listeners.clear();
  }
}

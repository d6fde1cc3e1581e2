/**
 * Typed events.
 *
 * A service exposes `onX: Event<T>` and keeps the emitter private. Listeners
 * run synchronously in the order in which they subscribed.
 */

import { createDisposable, type Disposable } from "./disposables.ts";

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Source of one event. */
export class Emitter<T> implements Disposable {
  readonly #listeners = new Set<(value: T) => void>();

  static create<T>(): Emitter<T> {
    return new Emitter<T>();
  }

  readonly event: Event<T> = (listener) => {
    this.#listeners.add(listener);
    return createDisposable(() => this.#listeners.delete(listener));
  };

  fire(value: T): void {
    for (const listener of this.#listeners) listener(value);
  }

  dispose(): void {
    this.#listeners.clear();
  }
}

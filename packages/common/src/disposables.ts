/**
 * Ownership of resources that must be released.
 *
 * An object registers everything it starts or subscribes to in one
 * `DisposableStore`. Disposing the store disposes its items in reverse order of
 * registration.
 */

/** A resource that can be released; `dispose` may be called more than once. */
export interface Disposable {
  dispose(): void;
}

/** Creates a disposable that calls `end` on the first `dispose`. */
export function createDisposable(end: () => void): Disposable {
  let ended = false;
  return {
    dispose: () => {
      if (ended) return;
      ended = true;
      end();
    },
  };
}

/** Owns a set of disposables. */
export class DisposableStore implements Disposable {
  readonly #items = new Set<Disposable>();
  #disposed = false;

  static create(): DisposableStore {
    return new DisposableStore();
  }

  /**
   * Takes ownership of `item`; disposes it at once if the store is disposed.
   */
  register<T extends Disposable>(item: T): T {
    if (this.#disposed) item.dispose();
    else this.#items.add(item);
    return item;
  }

  dispose(): void {
    if (this.#disposed) return;
    this.#disposed = true;
    for (const item of [...this.#items].reverse()) item.dispose();
    this.#items.clear();
  }
}

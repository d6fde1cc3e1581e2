/**
 * Owned lifetimes.
 *
 * An object registers everything it starts or subscribes to in one
 * `DisposableStore`; disposing the store ends all of it, last registered first.
 */

/** Something with an end. Disposing twice is harmless. */
export interface Disposable {
  dispose(): void;
}

/** Wraps a function as a disposable that runs it once. */
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

/** Collects disposables under one owner. */
export class DisposableStore implements Disposable {
  readonly #items = new Set<Disposable>();
  #disposed = false;

  static create(): DisposableStore {
    return new DisposableStore();
  }

  /** Takes ownership of `item`; disposes it at once if the store has ended. */
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

/**
 * Bounds the bytes that all bodies that are being read hold together.
 *
 * Each body has a limit of its own, above any sound one. Many faulty ones at once,
 * each within that limit, would still fill the memory of the process, and end the
 * requests of all others with it.
 */

/** Bytes that all bodies may hold together. */
const maxHeldBytes = 32 * 1_048_576;
/** Size up to which a body is read whatever the others hold. */
const freeBytes = 262_144;

/** Budget of one kind of body in one process. */
export class BodyBudget {
  #heldBytes = 0;

  static create(): BodyBudget {
    return new BodyBudget();
  }

  /** Begins to read a body. */
  open(): BodyShare {
    let ownBytes = 0;
    return {
      add: (bytes) => {
        ownBytes += bytes;
        this.#heldBytes += bytes;
        return ownBytes <= freeBytes || this.#heldBytes <= maxHeldBytes;
      },
      release: () => {
        this.#heldBytes -= ownBytes;
        ownBytes = 0;
      },
    };
  }
}

/** Bytes that one body holds. */
export interface BodyShare {
  /** Adds bytes that have arrived; false if the body must not be read further. */
  add(bytes: number): boolean;
  /** Gives back all bytes; may be called more than once. */
  release(): void;
}

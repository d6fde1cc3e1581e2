/**
 * Base class of typed errors.
 *
 * Each package declares a discriminated union of error details and an error
 * class for it. The message is computed from the detail and names the remedy.
 * Expected failures are returned as values (`Either`); only bugs are thrown.
 */

/** Detail of a failure, discriminated by `kind`. */
export interface ErrorDetail {
  readonly kind: string;
}

/** An error with a typed detail in addition to its message. */
export abstract class KindError<D extends ErrorDetail> extends Error {
  readonly detail: D;

  protected constructor(detail: D, message: string) {
    super(message);
    this.detail = detail;
    this.name = new.target.name;
  }

  /** Discriminant of the detail; also the label value of error counters. */
  get kind(): D["kind"] {
    return this.detail.kind;
  }
}

/** Computes a message for any thrown value. */
export function formatThrown(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** Makes the compiler reject a union that is not handled exhaustively. */
export function checkNever(value: never): never {
  throw new Error(`unhandled case ${JSON.stringify(value)}`);
}

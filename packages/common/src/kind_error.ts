/**
 * Base of all typed errors.
 *
 * Each package declares a discriminated union of failure details and one error
 * class over it. The message is computed from the detail and names the remedy.
 * Expected failures are returned as values (`Either`); only bugs are thrown.
 */

/** Detail of a failure, discriminated by `kind`. */
export interface ErrorDetail {
  readonly kind: string;
}

/** An error that carries its typed detail beside the message. */
export abstract class KindError<D extends ErrorDetail> extends Error {
  readonly detail: D;

  protected constructor(detail: D, message: string) {
    super(message);
    this.detail = detail;
    this.name = new.target.name;
  }

  /** Discriminant of the detail, used as a label of counters. */
  get kind(): D["kind"] {
    return this.detail.kind;
  }
}

/** Computes the message of anything that was thrown. */
export function formatThrown(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** Fails to compile where a union is not handled exhaustively. */
export function checkNever(value: never): never {
  throw new Error(`unhandled case ${JSON.stringify(value)}`);
}

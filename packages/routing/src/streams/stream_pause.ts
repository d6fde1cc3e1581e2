/**
 * Pause of a stream or of an attempt, while a peer or a replica is to take it over.
 */

/** A pause; `ended` resolves at the call of `end`. */
export interface StreamPause {
  readonly ended: Promise<void>;
  readonly end: () => void;
}

/** Begins a pause. */
export function createPause(): StreamPause {
  let end = (): void => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  return { ended, end };
}

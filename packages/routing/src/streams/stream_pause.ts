/**
 * Pause of a stream's run, while the stream is offered to a peer.
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

/**
 * A pause of a stream run.
 */

/** A pause that lasts until `end` is called. */
export interface Pause {
  readonly ended: Promise<void>;
  readonly end: () => void;
}

export function createPause(): Pause {
  let end = (): void => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  return { ended, end };
}

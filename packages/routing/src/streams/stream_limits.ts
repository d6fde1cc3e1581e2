/**
 * Limits and timeouts of streams.
 */

/** Limits of a node's streams. Times are in milliseconds. */
export interface StreamLimits {
  /** Streams held at once, finished ones included; those make way for new ones. */
  readonly maxStreams: number;
  /** Tokens an engine may be ahead of the furthest reader. */
  readonly maxUnreadTokens: number;
  /** Time for a disconnected caller to reconnect before cancellation. */
  readonly reconnectGraceMs: number;
  /**
   * Time for which a finished stream can still be read; `reconnectGraceMs` if that
   * is longer.
   */
  readonly retainMs: number;
  /**
   * Attempts of one stream, those on earlier owners included; of a begun stream
   * only those that may have run.
   */
  readonly maxAttempts: number;
  /** Lower bound of the timeout for the first token. */
  readonly minFirstTokenWaitMs: number;
  /** Lower bound of the timeout between tokens. */
  readonly minTokenGapMs: number;
  /** Backoffs before the last choice while no endpoint can take the request. */
  readonly maxBackoffs: number;
  /** First backoff; each further one is twice as long. */
  readonly initialBackoffMs: number;
  /**
   * Longest backoff of a begun stream: new requests must not take each free slot
   * before it.
   */
  readonly maxBegunBackoffMs: number;
}

/** Limits used where the router's options set none. */
export const defaultStreamLimits: StreamLimits = {
  maxStreams: 4_096,
  maxUnreadTokens: 1_024,
  reconnectGraceMs: 15_000,
  retainMs: 10_000,
  maxAttempts: 6,
  minFirstTokenWaitMs: 2_000,
  minTokenGapMs: 1_000,
  maxBackoffs: 6,
  initialBackoffMs: 50,
  maxBegunBackoffMs: 800,
};

/** Computes the backoff in milliseconds that follows `backoffs` earlier ones. */
export function computeBackoffMs(
  limits: Pick<
    StreamLimits,
    "initialBackoffMs" | "maxBackoffs" | "maxBegunBackoffMs"
  >,
  { backoffs, hasBegun }: {
    readonly backoffs: number;
    /** Whether the stream has a token. */
    readonly hasBegun: boolean;
  },
): number {
  const { initialBackoffMs, maxBackoffs, maxBegunBackoffMs } = limits;
  const backoffMs = initialBackoffMs * 2 ** Math.min(backoffs, maxBackoffs);
  return hasBegun ? Math.min(backoffMs, maxBegunBackoffMs) : backoffMs;
}

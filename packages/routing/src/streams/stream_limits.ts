/**
 * Bounds on streams.
 */

/** Bounds that hold for every stream of a node. Times are in milliseconds. */
export interface StreamLimits {
  /** Streams kept at once, finished ones included. */
  readonly maxStreams: number;
  /** Tokens an engine may be ahead of the caller. */
  readonly maxUnreadTokens: number;
  /** Time a caller that went away has to come back. */
  readonly reconnectGraceMs: number;
  /** Time a finished stream can still be read. */
  readonly retainMs: number;
  readonly maxAttempts: number;
  /** Least time an engine has for its first token before it counts as stuck. */
  readonly minFirstTokenWaitMs: number;
  /** Least time an engine has between tokens before it counts as stuck. */
  readonly minTokenGapMs: number;
  /** Pauses while no endpoint can take an accepted request; each doubles. */
  readonly maxBackoffs: number;
  readonly initialBackoffMs: number;
}

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
};

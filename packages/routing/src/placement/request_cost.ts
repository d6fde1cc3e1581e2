/**
 * What a request is likely to cost a replica.
 *
 * Requests that look alike cost very different amounts of work, so a cost is an
 * expectation with a spread, learnt from what such requests took before.
 */

/** Software of a service, whose replicas have one cost. */
export interface SoftwareKey {
  readonly service: string;
  /** Empty where replicas register no version. */
  readonly softwareVersion: string;
}

/** Formats the software as a key of tables. */
export function formatSoftwareKey(
  { service, softwareVersion }: SoftwareKey,
): string {
  return `${service} ${softwareVersion}`;
}

/** Properties of a request from which its cost is predicted. */
export interface RequestShape extends SoftwareKey {
  readonly route: string;
  /** Prompt tokens that the replica does not have cached. */
  readonly uncachedTokens: number;
  readonly promptTokens: number;
  /** Largest number of output tokens asked for; undefined if not stated. */
  readonly maxOutputTokens: number | undefined;
  /** Output tokens that the caller expects; undefined if not stated. */
  readonly hintedOutputTokens: number | undefined;
}

/** Expected cost of a request on a replica of usual speed. */
export interface RequestCost {
  /** Time to compute the uncached part of its prompt, in milliseconds. */
  readonly prefillMs: number;
  /** Output tokens: expected, and what nine in ten such requests stay below. */
  readonly outputTokens: number;
  readonly highOutputTokens: number;
  /** Time that it holds a slot once it runs, in milliseconds. */
  readonly runMs: number;
  /** Number of observations behind it; 0 if it is assumed. */
  readonly observations: number;
}

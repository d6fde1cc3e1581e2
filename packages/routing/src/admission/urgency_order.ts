/**
 * Order in which requests that wait for a place get one.
 *
 * The load that this answers: more requests than places, of several tenants and
 * kinds. The tenant's priority counts before the route's. Among equals the one that
 * returns at its appointment goes before newcomers, then the tenant that was served
 * least, then the one with the least time left, then the smaller one.
 */

/** What a waiting request's place in the order depends on. */
export interface Waiter {
  /** Priority of its tenant; 0 is the highest. */
  readonly tenantPriority: number;
  /** Priority of its route; 0 is the highest. */
  readonly routePriority: number;
  readonly tenant: string;
  /** Whether it was refused before and returns at the time it was given. */
  readonly isReturning: boolean;
  /** Prompt tokens. */
  readonly tokens: number;
  /** Monotonic time at which it entered the line, in milliseconds. */
  readonly enteredAt: number;
  /** Monotonic time from which it would start too late, in milliseconds. */
  readonly latestStartAt: number;
}

/** Reads how much of a tenant's requests was served lately, in prompt tokens. */
export type ReadServed = (tenant: string) => number;

/** Tokens of served requests below which tenants count as served alike. */
const alikeTokens = 4_000;

/** Compares the urgency alone; negative if `a` is more urgent than `b`. */
export function compareUrgency(a: Waiter, b: Waiter): number {
  return a.tenantPriority - b.tenantPriority ||
    a.routePriority - b.routePriority;
}

/** Compares two waiting requests; negative if `a` goes first. */
export function comparePlaces(
  a: Waiter,
  b: Waiter,
  readServed: ReadServed,
): number {
  return compareUrgency(a, b) ||
    Number(b.isReturning) - Number(a.isReturning) ||
    rankServed(readServed(a.tenant)) - rankServed(readServed(b.tenant)) ||
    a.latestStartAt - b.latestStartAt ||
    a.tokens - b.tokens;
}

/** Ranks what was served by powers of two, so that small differences don't count. */
function rankServed(tokens: number): number {
  return Math.floor(Math.log2(1 + tokens / alikeTokens));
}

/**
 * Decides whether a node that drains still takes a request.
 *
 * Until its load balancer has noticed, requests keep coming. One that may run once
 * only and does not end in the time that the node has left would be cut off at the
 * end, and nobody may repeat it. Refused at once, as not run, it is served by another
 * node. Streams usually end long before their deadline, so that for them the time
 * counts that such streams take.
 */

import type { Route } from "@almondcrank/model/configuration.ts";

/** Time that must be left, as a multiple of the usual time of a run. */
const longRunFactor = 2;

/** What the decision depends on. */
export interface DrainInputs {
  /** Time until the node ends, in milliseconds. */
  readonly leftMs: number;
  /** Time until the request's deadline, in milliseconds. */
  readonly limitMs: number;
  /** Time that streams of its service usually run, in milliseconds. */
  readonly usualStreamMs: number;
  readonly route: Pick<Route, "kind" | "isResumable">;
}

/** Decides whether to take a request during a drain. */
export function isTakenDuringDrain(
  { leftMs, limitMs, usualStreamMs, route }: DrainInputs,
): boolean {
  switch (route.kind) {
    case "safe":
      return true;
    case "unsafe":
      return limitMs <= leftMs;
    case "stream":
      return route.isResumable ||
        Math.min(limitMs, usualStreamMs * longRunFactor) <= leftMs;
  }
}

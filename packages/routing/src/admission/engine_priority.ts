/**
 * Priority that an engine is told for a request, as one number.
 *
 * The load that this answers: an engine that is short of memory preempts the newest
 * of its least urgent requests. If all of a tenant's requests have the tenant's
 * priority, that is the newest one, whatever its kind. So the tenant's priority
 * counts first and the route's within it.
 */

/** What the priority of a request depends on; 0 is the highest. */
export interface RequestUrgency {
  /** Undefined if the tenant has none. */
  readonly tenantPriority: number | undefined;
  readonly routePriority: number;
}

/** Lowest priority that engines know. */
const lowestPriority = 9;
/** Number of route priorities that are told apart for each tenant priority. */
const routeLevels = 3;

/** Computes the priority to tell an engine, 0 (first) to 9. */
export function computeEnginePriority(
  { tenantPriority, routePriority }: RequestUrgency,
): number {
  const route = Math.max(0, Math.min(routeLevels - 1, routePriority));
  if (tenantPriority === undefined) {
    return Math.max(0, Math.min(lowestPriority, routePriority * routeLevels));
  }
  const band = Math.max(0, tenantPriority) * routeLevels;
  return Math.min(lowestPriority, band + route);
}

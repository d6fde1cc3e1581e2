/**
 * Percentiles of values that a run has recorded.
 */

/** Value below which the given share of `values` lies. */
export function computePercentile(
  values: readonly number[],
  percentile: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.ceil(sorted.length * percentile / 100) - 1;
  return sorted[Math.max(0, at)] ?? 0;
}

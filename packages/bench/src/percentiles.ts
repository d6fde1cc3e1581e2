/**
 * Percentiles of recorded values.
 */

/** Computes a nearest-rank percentile (0 to 100); 0 when there are no values. */
export function computePercentile(
  values: readonly number[],
  percentile: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * percentile / 100) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

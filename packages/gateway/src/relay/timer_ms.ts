/**
 * Durations of timers that must not fire early.
 */

/**
 * Duration for a timer that ends a request at its deadline.
 *
 * Timers count whole milliseconds and may fire up to one early; whoever looks
 * at the clock then would find the deadline still ahead.
 */
export function computeTimerMs(remainingMs: number): number {
  return Math.max(1, Math.ceil(remainingMs) + 1);
}

/**
 * Computes timer durations that never end before a deadline.
 */

/** Longest duration of a timer; Node.js fires longer ones after 1 ms. */
export const maxTimerMs = 2_147_483_647;

/**
 * Computes the duration of a timer, in milliseconds, that fires after a deadline.
 *
 * Node.js timers use whole milliseconds and may fire up to 1 ms early, when a
 * check of the clock would find that the deadline has not passed.
 */
export function computeTimerMs(remainingMs: number): number {
  return Math.min(maxTimerMs, Math.max(1, Math.ceil(remainingMs) + 1));
}

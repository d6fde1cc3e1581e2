/**
 * Clock interface and the system clock.
 *
 * Code that measures durations or waits takes a `Clock`, so that tests can
 * control time. Durations and deadlines use the monotonic time; wall time is
 * only for people and for records that outlive the process.
 */

/** Source of time and of timed waits. */
export interface Clock {
  /** Monotonic time in milliseconds, with an arbitrary origin. */
  now(): number;
  /** Wall time in milliseconds since the Unix epoch. */
  wallTime(): number;
  /** Resolves after `ms`, or at once when `signal` aborts. Never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
  static create(): SystemClock {
    return new SystemClock();
  }

  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const finish = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      signal?.addEventListener("abort", finish, { once: true });
    });
  }
}

/**
 * Gives a process a share of a core only, as the smallest machines do: it is stopped
 * for the rest of each period.
 */

import type { Disposable } from "@almondcrank/common/disposables.ts";

const periodMs = 50;

/** Something that takes signals. */
interface Signalled {
  signal(signal: "SIGSTOP" | "SIGCONT"): void;
}

/** Slows a process down; the result ends that. */
export function slowDown(target: Signalled, share: number): Disposable {
  let stopTimer: NodeJS.Timeout | undefined;
  const timer = setInterval(() => {
    target.signal("SIGCONT");
    stopTimer = setTimeout(() => target.signal("SIGSTOP"), periodMs * share);
  }, periodMs);
  return {
    dispose: () => {
      clearInterval(timer);
      clearTimeout(stopTimer);
      target.signal("SIGCONT");
    },
  };
}

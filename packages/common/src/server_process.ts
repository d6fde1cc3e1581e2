/**
 * Life of a server process: its start, its drain by a signal, and what it does with
 * an error that nothing catches.
 *
 * After such an error nothing is known of the part that threw it, so the process
 * does not go on for long. But it has taken requests that other parts serve well,
 * so it drains as by a signal before it ends, for its supervisor to start it anew.
 */

import type { Log } from "./logs.ts";
import type { ProcessSignals } from "./process_signals.ts";

/** Exit codes of a server process. */
export const endedByError = 1;
const endedBySignal = 0;

/** Errors that are logged in full; more of them say the same. */
const maxLoggedErrors = 20;

/** Where errors that nothing catches come from: a process. */
export interface ErrorSource {
  on(
    event: "uncaughtException",
    listener: (error: unknown, origin: string) => void,
  ): unknown;
}

/** Parts of a server process. */
export interface ServerProcessOptions<T> {
  readonly signals: ProcessSignals;
  readonly errors: ErrorSource;
  readonly log: Log;
  /** Starts the server. */
  readonly open: () => Promise<T>;
  /** Answers what is owed and stops; bounded in time. */
  readonly drain: (server: T) => Promise<void>;
}

/** Runs a server until a signal or an error ends it; returns the exit code. */
export async function runServerProcess<T>(
  { signals, errors, log, open, drain }: ServerProcessOptions<T>,
): Promise<number> {
  let exitCode = endedBySignal;
  const fail = (sentence: string, thrown: unknown): void => {
    exitCode = endedByError;
    const reason = thrown instanceof Error ? thrown.stack : String(thrown);
    log.error(sentence, { reason });
  };
  const hasFailed = watchErrors(
    errors,
    (thrown, origin) =>
      fail(`an error was not caught (${origin}), draining.`, thrown),
  );
  const ended = Promise.race([signals.waitForStop(), hasFailed]);
  try {
    const opening = open();
    const isOpen = await Promise.race([
      opening.then(() => true),
      ended.then(() => false),
    ]);
    // A server that is not open has taken nothing.
    if (!isOpen) return exitCode;
    await ended;
    await drain(await opening);
  } catch (thrown) {
    fail("the server could not start or drain; see the reason.", thrown);
  }
  return exitCode;
}

/** Records each error that nothing catches; resolves at the first one. */
function watchErrors(
  errors: ErrorSource,
  record: (thrown: unknown, origin: string) => void,
): Promise<void> {
  let count = 0;
  return new Promise((resolve) => {
    errors.on("uncaughtException", (thrown, origin) => {
      count += 1;
      if (count <= maxLoggedErrors) record(thrown, origin);
      resolve();
    });
  });
}

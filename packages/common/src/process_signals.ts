/**
 * Signals of a server process.
 *
 * The default action of most signals is to end the process, with all requests that
 * it has taken. So each signal that an operator or a platform may send has a
 * handler, for as long as the process lives: signals come in series, and while a
 * node drains.
 */

import { Emitter, type Event } from "./emitter.ts";
import type { Log } from "./logs.ts";

/** Signals that drain the process. */
const stopSignals: readonly string[] = ["SIGTERM", "SIGINT", "SIGQUIT"];
/** Signals that say that the settings have changed. */
const reloadSignals: readonly string[] = ["SIGHUP"];
/** Signals without a meaning; SIGUSR1 would open the debugger of Node.js. */
const ignoredSignals: readonly string[] = ["SIGUSR1", "SIGUSR2", "SIGALRM"];

/** Where signals come from: a process. */
export interface SignalSource {
  on(signal: string, listener: (signal: string) => void): unknown;
}

/** Options of the signals of a process. */
export interface ProcessSignalsOptions {
  readonly source: SignalSource;
  readonly log: Log;
  /** Signals that came before, while the program was loaded. */
  readonly early?: readonly string[];
}

/** Handlers of all signals of one process. */
export class ProcessSignals {
  readonly #log: Log;
  readonly #reloading = Emitter.create<void>();
  readonly #stopped = Emitter.create<string>();
  /** First signal to stop. */
  #stopSignal: string | undefined;

  private constructor(log: Log) {
    this.#log = log;
  }

  /** Handles all signals from now on, and those that came before. */
  static create(
    { source, log, early = [] }: ProcessSignalsOptions,
  ): ProcessSignals {
    const signals = new ProcessSignals(log);
    const all = [...stopSignals, ...reloadSignals, ...ignoredSignals];
    for (const name of all) source.on(name, () => signals.#handle(name));
    for (const name of early) signals.#handle(name);
    return signals;
  }

  /** Fired when the settings may have changed. */
  readonly onReload: Event<void> = this.#reloading.event;

  /** Resolves with the first signal to stop. */
  waitForStop(): Promise<string> {
    const signal = this.#stopSignal;
    if (signal !== undefined) return Promise.resolve(signal);
    return new Promise((resolve) => void this.#stopped.event(resolve));
  }

  #handle(signal: string): void {
    this.#log.info("a signal was received.", { signal });
    if (stopSignals.includes(signal)) {
      this.#stopSignal ??= signal;
      this.#stopped.fire(signal);
    }
    if (reloadSignals.includes(signal)) this.#reloading.fire();
  }
}

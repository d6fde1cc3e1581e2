/**
 * Fault injection into one stand-in: the fault settings in force, which control
 * calls change at run time.
 *
 * All parts use this class, so that an outage, a freeze or a lost answer has
 * the same meaning for each of them.
 */

import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import {
  type CommonFaults,
  commonFaultsSchema,
  noCommonFaults,
  type Outage,
} from "./fault_settings.ts";

/** Options of a fault injector. */
export interface FaultInjectorOptions<T extends CommonFaults> {
  readonly schema: z.ZodObject;
  readonly initial: T;
  readonly clock: Clock;
}

/** Fault settings of one part, and waits for the end of faults. */
export class FaultInjector<T extends CommonFaults> implements Disposable {
  readonly #schema: z.ZodObject;
  readonly #clock: Clock;
  readonly #changed = Emitter.create<void>();
  #settings: T;
  #flapping: AbortController | undefined;
  #isFlappedDown = false;
  #waitingCount = 0;
  #disposed = false;

  private constructor(options: FaultInjectorOptions<T>) {
    this.#schema = options.schema;
    this.#clock = options.clock;
    this.#settings = options.initial;
  }

  static create<T extends CommonFaults>(
    options: FaultInjectorOptions<T>,
  ): FaultInjector<T> {
    return new FaultInjector(options);
  }

  /** Creates the injector of a part that has only the common faults. */
  static createCommon(clock: Clock): FaultInjector<CommonFaults> {
    return new FaultInjector({
      schema: commonFaultsSchema,
      initial: noCommonFaults,
      clock,
    });
  }

  /** Fires after each change of the settings or of the outage in force. */
  readonly onChange: Event<void> = (listener) => this.#changed.event(listener);

  get settings(): T {
    return this.#settings;
  }

  /** Outage in force, taking flapping into account. */
  get outage(): Outage {
    const { outage, flapping } = this.#settings;
    if (flapping === null) return outage;
    if (!this.#isFlappedDown) return "none";
    return outage === "none" ? "error" : outage;
  }

  /** Calls and loops that wait for the end of a freeze or a hanging outage. */
  get waitingCount(): number {
    return this.#waitingCount;
  }

  /** Merges a change into the settings; Left names its invalid fields. */
  apply(input: unknown): Either<string, T> {
    const parsed = this.#schema.partial().safeParse(input);
    if (!parsed.success) return Left(z.prettifyError(parsed.error));
    const change = parsed.data as Partial<T>;
    this.#settings = { ...this.#settings, ...change };
    if (change.flapping !== undefined) this.#startFlapping();
    this.#changed.fire();
    return Right(this.#settings);
  }

  /** Whether to lose this answer; uses up a `loseAnswers` of `next`. */
  claimLostAnswer(): boolean {
    const { loseAnswers } = this.#settings;
    if (loseAnswers === "next") {
      this.#settings = { ...this.#settings, loseAnswers: "none" };
    }
    return loseAnswers !== "none";
  }

  /** Counts one cut; the fault ends after its last cut. */
  claimCut(): void {
    const { cut } = this.#settings as {
      readonly cut?: { readonly times?: number | undefined } | null;
    };
    if (cut?.times === undefined) return;
    const times = cut.times - 1;
    this.#settings = {
      ...this.#settings,
      cut: times === 0 ? null : { ...cut, times },
    };
  }

  /** Resolves once the part is not frozen, or is disposed. */
  async waitUntilThawed(): Promise<void> {
    while (this.#settings.frozen && !this.#disposed) await this.#waitChange();
  }

  /** Resolves once the outage in force is another, or the part is disposed. */
  async waitForOutageEnd(outage: Outage): Promise<void> {
    while (this.outage === outage && !this.#disposed) await this.#waitChange();
  }

  dispose(): void {
    if (this.#disposed) return;
    this.#disposed = true;
    this.#flapping?.abort();
    this.#changed.fire();
    this.#changed.dispose();
  }

  async #waitChange(): Promise<void> {
    this.#waitingCount += 1;
    await new Promise<void>((resolve) => {
      const subscription = this.onChange(() => {
        subscription.dispose();
        resolve();
      });
    });
    this.#waitingCount -= 1;
  }

  #startFlapping(): void {
    this.#flapping?.abort();
    this.#flapping = undefined;
    this.#isFlappedDown = false;
    const { flapping } = this.#settings;
    if (flapping === null) return;
    this.#flapping = new AbortController();
    void this.#runFlapping(flapping, this.#flapping.signal);
  }

  async #runFlapping(
    flapping: NonNullable<CommonFaults["flapping"]>,
    signal: AbortSignal,
  ): Promise<void> {
    for (;;) {
      const phaseMs = this.#isFlappedDown ? flapping.downMs : flapping.upMs;
      await this.#clock.sleep(phaseMs, signal);
      if (signal.aborted) return;
      this.#isFlappedDown = !this.#isFlappedDown;
      this.#changed.fire();
    }
  }
}

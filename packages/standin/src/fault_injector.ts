/**
 * The faults a stand-in shows at the moment, changed by orders at run time.
 *
 * All parts share this class, so an outage, a freeze or a lost answer means the
 * same for each of them.
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

/** Options of a fault switch. */
export interface FaultInjectorOptions<T extends CommonFaults> {
  readonly schema: z.ZodObject;
  readonly initial: T;
  readonly clock: Clock;
}

/** Fault settings in force, and waits for their end. */
export class FaultInjector<T extends CommonFaults> implements Disposable {
  readonly #schema: z.ZodObject;
  readonly #clock: Clock;
  readonly #changed = Emitter.create<void>();
  #settings: T;
  #flapping: AbortController | undefined;
  #isFlappedDown = false;
  #waiting = 0;
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

  /** Switch of a part that shows only the common faults. */
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

  /** Outage in force, with flapping taken into account. */
  get outage(): Outage {
    const { outage, flapping } = this.#settings;
    if (flapping === null) return outage;
    if (!this.#isFlappedDown) return "none";
    return outage === "none" ? "error" : outage;
  }

  /** Calls and loops held by a freeze or a hanging outage. */
  get waitingCount(): number {
    return this.#waiting;
  }

  /** Merges an order over the settings; the message names what is wrong with it. */
  apply(order: unknown): Either<string, T> {
    const parsed = this.#schema.partial().safeParse(order);
    if (!parsed.success) return Left(z.prettifyError(parsed.error));
    const change = parsed.data as Partial<T>;
    this.#settings = { ...this.#settings, ...change };
    if (change.flapping !== undefined) this.#startFlapping();
    this.#changed.fire();
    return Right(this.#settings);
  }

  /** Takes the order to lose an answer, if there is one. */
  claimLostAnswer(): boolean {
    const { loseAnswers } = this.#settings;
    if (loseAnswers === "next") {
      this.#settings = { ...this.#settings, loseAnswers: "none" };
    }
    return loseAnswers !== "none";
  }

  /** Counts one cut; the fault ends with its last. */
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

  /** Resolves once the part is not frozen or has ended. */
  async waitUntilThawed(): Promise<void> {
    while (this.#settings.frozen && !this.#disposed) await this.#waitChange();
  }

  /** Resolves once the outage in force is no longer `outage`. */
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
    this.#waiting += 1;
    await new Promise<void>((resolve) => {
      const subscription = this.onChange(() => {
        subscription.dispose();
        resolve();
      });
    });
    this.#waiting -= 1;
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
      const stayMs = this.#isFlappedDown ? flapping.downMs : flapping.upMs;
      await this.#clock.sleep(stayMs, signal);
      if (signal.aborted) return;
      this.#isFlappedDown = !this.#isFlappedDown;
      this.#changed.fire();
    }
  }
}

/**
 * What the attempts of one plain call tell of it, and whether it may be sent again
 * in spite of that.
 *
 * An endpoint that a call crashes ends before it has answered, so a lost connection
 * speaks against the call, and an answer speaks for it.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import { formatCrashedIncarnation } from "../quarantine/endpoint_incarnation.ts";
import type {
  PartQuarantine,
  QuarantineVerdict,
} from "../quarantine/part_quarantine.ts";

/** Dependencies and identity of one call. */
export interface CallCrashesOptions {
  readonly quarantine: PartQuarantine;
  readonly clock: Clock;
  /** By which the call is known when it comes again. */
  readonly fingerprint: string;
}

/** Crashes of one call. */
export class CallCrashes {
  readonly #options: CallCrashesOptions;
  /** Incarnations on which the call broke. */
  readonly #brokenOn = new Set<string>();

  private constructor(options: CallCrashesOptions) {
    this.#options = options;
  }

  static create(options: CallCrashesOptions): CallCrashes {
    return new CallCrashes(options);
  }

  /** Decides whether to send the call. */
  check(): QuarantineVerdict {
    const { quarantine, clock, fingerprint } = this.#options;
    return quarantine.check([fingerprint], clock.now());
  }

  /** Whether the call may be sent again, as it hardly crashes the endpoint. */
  mayRepeat(): boolean {
    const { quarantine, clock, fingerprint } = this.#options;
    return quarantine.mayRepeat([fingerprint], this.#brokenOn, clock.now());
  }

  /** Records an answer to an attempt that began at `startedAt`. */
  recordAnswer(startedAt: number): void {
    const { quarantine, clock, fingerprint } = this.#options;
    quarantine.recordOwnSurvival([fingerprint], startedAt, clock.now());
  }

  /** Records a failed attempt, which may have crashed its endpoint. */
  recordFailure({ detail }: EndpointError): void {
    if (detail.kind !== "connection_lost") return;
    const { quarantine, clock, fingerprint } = this.#options;
    const incarnation = formatCrashedIncarnation(detail.endpoint, clock);
    this.#brokenOn.add(incarnation);
    quarantine.recordCrash([fingerprint], incarnation, clock.now());
  }
}

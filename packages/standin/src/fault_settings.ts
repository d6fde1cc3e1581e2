/**
 * Fault settings of the stand-ins and their schemas.
 *
 * A change of the settings is a JSON object with some of these keys, merged
 * into the settings in force. Unknown keys and values out of range are refused.
 */

import { z } from "zod";

const maxDelayMs = 600_000;
const delayMs = z.number().min(0).max(maxDelayMs);
const factor = z.number().min(0).max(1_000);

/** Number of calls to cut; all when left out. */
const cutTimes = z.number().int().min(1).optional();

/** Values of `outage` in the fault settings. */
export const outageKinds = ["none", "refuse", "hang", "error"] as const;
/** Behavior of a part that is down; `none` means that it is up. */
export type Outage = (typeof outageKinds)[number];

/** Schema of the faults common to all parts. */
export const commonFaultsSchema = z.strictObject({
  /**
   * `refuse` closes the listener and cuts connections, `hang` accepts calls and
   * never answers or runs them, `error` answers 503 without running them.
   */
  outage: z.enum(outageKinds),
  /**
   * Alternates between up and down. While down, the part behaves as `outage`
   * says, or as `error` when `outage` is `none`.
   */
  flapping: z.strictObject({
    upMs: z.number().min(1).max(maxDelayMs),
    downMs: z.number().min(1).max(maxDelayMs),
  }).nullable(),
  /** Delay of each call before it runs, in milliseconds. */
  slowMs: delayMs,
  /** Writes take effect, then their connection is cut without an answer. */
  loseAnswers: z.enum(["none", "next", "all"]),
  /** Accepts calls but does no work; resumes all work once the fault ends. */
  frozen: z.boolean(),
});
/** Settings of the faults common to all parts. */
export type CommonFaults = z.infer<typeof commonFaultsSchema>;

/** Schema of the faults of a plain service's endpoint. */
export const plainFaultsSchema = commonFaultsSchema.extend({
  /** Multiplies the service time. */
  slowdown: factor,
  /** Multiplies the reported load. */
  loadFactor: factor,
  /** Cuts connections before a call runs, or after it ran without an answer. */
  cut: z.strictObject({
    at: z.enum(["before_run", "first_byte"]),
    times: cutTimes,
  }).nullable(),
});
/** Fault settings of a plain service's endpoint. */
export type PlainFaults = z.infer<typeof plainFaultsSchema>;

/** Schema of the faults of a model engine. */
export const engineFaultsSchema = commonFaultsSchema.extend({
  /** Multiplies the time of every step. */
  slowdown: factor,
  /** Multiplies the reported load. */
  loadFactor: factor,
  /**
   * Cuts streams: before the first byte, after some tokens, or before the end
   * event.
   */
  cut: z.strictObject({
    at: z.enum(["first_byte", "tokens", "end"]),
    /** For `tokens`: number of the attempt's tokens sent before the cut. */
    tokens: z.number().int().min(1).optional(),
    times: cutTimes,
  }).nullable(),
  /**
   * Crashes when it begins to write an answer on a prompt that contains `text`:
   * its connections are cut, its cache is lost, and it listens again after
   * `downMs`.
   */
  crash: z.strictObject({ text: z.string().min(1), downMs: delayMs })
    .nullable(),
  /** Age in milliseconds at which cache events become readable. */
  cacheEventLagMs: delayMs,
  /** Share of cache events that are lost and leave a gap. */
  cacheEventLoss: z.number().min(0).max(1),
});
/** Fault settings of a model engine. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;

/** Settings of a part without faults. */
export const noCommonFaults: CommonFaults = {
  outage: "none",
  flapping: null,
  slowMs: 0,
  loseAnswers: "none",
  frozen: false,
};

/** Settings of a plain service's endpoint without faults. */
export const noPlainFaults: PlainFaults = {
  ...noCommonFaults,
  slowdown: 1,
  loadFactor: 1,
  cut: null,
};

/** Settings of an engine without faults. */
export const noEngineFaults: EngineFaults = {
  ...noCommonFaults,
  slowdown: 1,
  loadFactor: 1,
  cut: null,
  crash: null,
  cacheEventLagMs: 0,
  cacheEventLoss: 0,
};

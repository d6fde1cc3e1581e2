/**
 * Faults that every stand-in can be told to show, and their schemas.
 *
 * A fault order is a JSON object with some of these keys; it is merged over the
 * settings in force. Unknown keys and values out of range are refused.
 */

import { z } from "zod";

const maxDelayMs = 600_000;
const delayMs = z.number().min(0).max(maxDelayMs);
const factor = z.number().min(0).max(1_000);

/** Calls to cut; all when left out. */
const cutTimes = z.number().int().min(1).optional();

/** How a service that is down behaves. */
export const outageKinds = ["none", "refuse", "hang", "error"] as const;
export type Outage = (typeof outageKinds)[number];

/** Faults common to all parts. */
export const commonFaultsSchema = z.strictObject({
  /**
   * `refuse` closes the listener and cuts connections, `hang` accepts calls and
   * never answers or runs them, `error` answers 503 without running them.
   */
  outage: z.enum(outageKinds),
  /** Alternates between up and down; down as `outage` says, else `error`. */
  flapping: z.strictObject({
    upMs: z.number().min(1).max(maxDelayMs),
    downMs: z.number().min(1).max(maxDelayMs),
  }).nullable(),
  /** Added to each call before it runs. */
  slowMs: delayMs,
  /** Writes take effect, then the connection is cut with no answer. */
  loseAnswers: z.enum(["none", "next", "all"]),
  /** Accepts calls, does nothing, and continues late once it is thawed. */
  frozen: z.boolean(),
});
export type CommonFaults = z.infer<typeof commonFaultsSchema>;

/** Faults of a plain service's endpoint. */
export const plainFaultsSchema = commonFaultsSchema.extend({
  /** Multiplies the service time. */
  slowdown: factor,
  /** Multiplies the load it reports. */
  loadFactor: factor,
  /** Cuts connections before the call runs, or after it ran with no answer. */
  cut: z.strictObject({
    at: z.enum(["before_run", "first_byte"]),
    times: cutTimes,
  }).nullable(),
});
export type PlainFaults = z.infer<typeof plainFaultsSchema>;

/** Faults of a model engine. */
export const engineFaultsSchema = commonFaultsSchema.extend({
  /** Multiplies the time of every step. */
  slowdown: factor,
  /** Multiplies the load it reports. */
  loadFactor: factor,
  /** Cuts streams: before the first byte, after tokens, or before the end event. */
  cut: z.strictObject({
    at: z.enum(["first_byte", "tokens", "end"]),
    /** Tokens of the attempt that are still sent, for `tokens`. */
    tokens: z.number().int().min(1).optional(),
    times: cutTimes,
  }).nullable(),
  /** Age at which cache events become readable. */
  cacheEventLagMs: delayMs,
  /** Share of cache events that are lost and leave a gap. */
  cacheEventLoss: z.number().min(0).max(1),
});
export type EngineFaults = z.infer<typeof engineFaultsSchema>;

/** No fault. */
export const noCommonFaults: CommonFaults = {
  outage: "none",
  flapping: null,
  slowMs: 0,
  loseAnswers: "none",
  frozen: false,
};

export const noPlainFaults: PlainFaults = {
  ...noCommonFaults,
  slowdown: 1,
  loadFactor: 1,
  cut: null,
};

export const noEngineFaults: EngineFaults = {
  ...noCommonFaults,
  slowdown: 1,
  loadFactor: 1,
  cut: null,
  cacheEventLagMs: 0,
  cacheEventLoss: 0,
};

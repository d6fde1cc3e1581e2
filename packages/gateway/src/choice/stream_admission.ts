/**
 * Admission control for streams, by the predicted time to the first event.
 *
 * When prompts arrive faster than the replicas prefill them, each admitted stream
 * delays all others. Streams that would miss their latency objective are refused at
 * once, those of low priority first, with a retry time after which the excess of
 * queued prompts should have been prefilled.
 */

/** Longest predicted time by priority, relative to the objective. */
const objectiveShares = [1.2, 0.7, 0.35] as const;
/** Share of the request's remaining time that the first event may take. */
const timeLeftShare = 0.9;
const minRetryMs = 150;
/** Longest retry time, as a share of the request's remaining time. */
const retryShare = 1 / 3;

/** Properties of the stream that its admission depends on. */
export interface AdmissionInput {
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** Latency objective for the first event. */
  readonly objectiveMs: number;
  /** Time until the request's deadline. */
  readonly timeLeftMs: number;
  /** Predicted time to the first event. */
  readonly predictedMs: number;
}

/** Outcome of the admission check of one stream. */
export type StreamVerdict =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    readonly retryAfterMs: number;
    /** Time by which the predicted time is too long. */
    readonly excessMs: number;
  };

/** Longest predicted time of a priority, relative to the objective. */
export function computeObjectiveShare(priority: number): number {
  const lowest = objectiveShares.length - 1;
  const rank = Math.max(0, Math.min(lowest, Math.round(priority)));
  return objectiveShares[rank] ?? 1;
}

/** Admits a stream, or refuses it with the time after which to retry. */
export function checkAdmission(input: AdmissionInput): StreamVerdict {
  const { predictedMs, timeLeftMs, objectiveMs } = input;
  const share = computeObjectiveShare(input.priority);
  const limitMs = Math.min(timeLeftMs * timeLeftShare, objectiveMs * share);
  if (predictedMs <= limitMs) return { kind: "admitted" };
  const excessMs = predictedMs - limitMs;
  const maxRetryMs = Math.max(minRetryMs, timeLeftMs * retryShare);
  return {
    kind: "refused",
    excessMs,
    retryAfterMs: Math.min(maxRetryMs, Math.max(minRetryMs, excessMs)),
  };
}

/**
 * Decides whether a stream is taken on at the predicted time to its first event.
 *
 * When prompts come faster than the replicas read them, every stream that is
 * taken on makes all others later. Streams that would miss their objective are
 * refused at once, the less urgent ones first, and told when the prompts that
 * wait now will have been read.
 */

/** Longest predicted time by rank, relative to the objective. */
const objectiveShares = [1.2, 0.7, 0.35] as const;
/** Part of the caller's time left that a first event may take. */
const timeLeftShare = 0.9;
const minRetryMs = 150;
/** Callers wait no longer than a third of the time that they have left. */
const retryShare = 1 / 3;

/** What the decision knows. */
export interface AdmissionInput {
  /** Rank of the route, 0 first. */
  readonly priority: number;
  readonly objectiveMs: number;
  readonly timeLeftMs: number;
  readonly predictedMs: number;
}

/** Verdict on one stream. */
export type StreamVerdict =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** Decides on one stream. */
export function checkAdmission(demand: AdmissionInput): StreamVerdict {
  const { predictedMs, timeLeftMs, objectiveMs } = demand;
  const last = objectiveShares.length - 1;
  const rank = Math.max(0, Math.min(last, Math.round(demand.priority)));
  const share = objectiveShares[rank] ?? objectiveShares[last] ?? 1;
  const limitMs = Math.min(timeLeftMs * timeLeftShare, objectiveMs * share);
  if (predictedMs <= limitMs) return { kind: "admitted" };
  const excessMs = predictedMs - limitMs;
  const longestMs = Math.max(minRetryMs, timeLeftMs * retryShare);
  return {
    kind: "refused",
    retryAfterMs: Math.min(longestMs, Math.max(minRetryMs, excessMs)),
  };
}

/**
 * Plans which share of a service's requests the new version gets.
 *
 * Until an order ends, the new version is not trusted, whenever it turns bad. So
 * all that it gets between the order and its end is planned inside the bound on
 * exposure: a small part early to see failures, some seconds at the load of an old
 * replica to see faults under load, a small part up to the end, and the last
 * seconds of all traffic, in which new streams already keep away from the old
 * replicas. Completion is written just before the end, with time for a slow store.
 */

/** Bounds on what a version that is not trusted yet may get. */
export interface ExposureLimit {
  readonly share: number;
  readonly tolerance: number;
}

/** What the plan depends on. */
export interface PlanInputs {
  readonly durationMs: number;
  /** Time since the order. */
  readonly elapsedMs: number;
  /** Requests sent since the order, to all versions and to the new one. */
  readonly sent: { readonly all: number; readonly fresh: number };
  readonly requestsPerSecond: number;
  readonly limit: ExposureLimit;
  readonly oldReplicas: number;
  readonly freshReplicas: number;
  /** Time that the last write to the store took. */
  readonly writeMs: number;
}

/** What to do now. */
export type PlanStep =
  | {
    readonly kind: "share";
    readonly share: number;
    /** Requests that the new version may have got before the next step. */
    readonly most: number;
  }
  /** All traffic goes to the new version. */
  | { readonly kind: "shift" }
  /** All traffic goes to the new version, and the completion is due. */
  | { readonly kind: "complete" }
  /** The time is over. */
  | { readonly kind: "late" };

/** Part of the bound that is used; the rest covers late reports and repeats. */
const usedBound = 0.85;
/** Least part of the present rate that is expected until the end. */
const expectedRate = 0.8;
/** Time before the end at which the completion is written. */
const writeMarginMs = 700;
/** Part of that time below which a completion would come too late. */
const leastMargin = 0.8;
/** Time beyond twice that of the last write, for the interval of steps. */
const stepSpareMs = 300;
/** Largest part of the duration that the write may take. */
const writeMarginShare = 0.15;
/** Longest time before the end at which all traffic shifts. */
const maxShiftMs = 12_000;
/** Largest part of the duration in which all traffic goes to the new version. */
const maxShiftShare = 0.3;
/** Part of the bound for evidence where there is enough left for the shift. */
const evidenceShare = 0.75;
/** Part of the bound for evidence where the shift would take all of it. */
const leastEvidenceShare = 0.6;
/** Part of the bound that is kept from it for a slow store. */
const slowStoreShare = 0.2;
/** Time of a write at which the store is slow. */
const slowWriteMs = 500;
/** Begins of the times under load within the time for evidence. */
const loadStarts: readonly number[] = [0.4, 0.75];
/** Part of the evidence's requests that are sent in each of them. */
const loadPart = 0.33;
/** Part of them that is sent before each of them. */
const evenPart = 0.13;
/** Part of the evidence's requests beyond which no time under load goes on. */
const loadedPart = 0.85;
/** Largest share, relative to an even one, outside of times under load. */
const catchUpFactor = 2;
/** Largest share before all traffic shifts. */
const maxShare = 0.5;
/** Shortest time over which a remainder is spread. */
const minSpreadMs = 500;

/** Computes the step. */
export function computeStep(inputs: PlanInputs): PlanStep {
  const { durationMs, elapsedMs, sent, requestsPerSecond, writeMs } = inputs;
  const leftMs = durationMs - elapsedMs;
  if (leftMs <= 0) return { kind: "late" };
  const perMs = requestsPerSecond / 1_000;
  const marginMs = Math.min(
    Math.max(writeMarginMs, stepSpareMs + 2 * writeMs),
    durationMs * writeMarginShare,
  );
  const bound = computeBound(inputs, leftMs);
  const shiftMs = Math.min(
    maxShiftMs,
    durationMs * maxShiftShare,
    perMs === 0 ? Infinity : (bound - sent.fresh) / perMs,
  );
  // Completion, too, has to be paid from what is left of the bound.
  const leastMs = Math.min(marginMs, writeMarginMs) * leastMargin;
  const completeMs = Math.min(marginMs, Math.max(shiftMs, leastMs));
  if (leftMs <= completeMs) return { kind: "complete" };
  if (leftMs <= shiftMs) return { kind: "shift" };
  const reserve = perMs * marginMs;
  const slowness = Math.min(1, writeMs / slowWriteMs);
  const evidence = Math.max(
    bound * (leastEvidenceShare - slowStoreShare * slowness),
    Math.min(bound - reserve, bound * evidenceShare),
  );
  return {
    kind: "share",
    most: evidence,
    share: computeShare(inputs, {
      evidence,
      timeMs: durationMs - marginMs,
    }),
  };
}

/** Reads the share that the new version gets by a step. */
export function readPlannedShare(plan: PlanStep): number {
  switch (plan.kind) {
    case "share":
      return plan.share;
    case "shift":
    case "complete":
      return 1;
    case "late":
      return 0;
  }
}

/** Number of requests that the new version may get, from what may still come. */
function computeBound(
  { sent, requestsPerSecond, limit }: PlanInputs,
  leftMs: number,
): number {
  const coming = requestsPerSecond * leftMs / 1_000 * expectedRate;
  const share = limit.share * (sent.all + coming);
  return usedBound * (share + limit.tolerance);
}

interface EvidencePlan {
  /** Requests of the new version before all traffic shifts. */
  readonly evidence: number;
  readonly timeMs: number;
}

function computeShare(inputs: PlanInputs, plan: EvidencePlan): number {
  const { elapsedMs, sent, requestsPerSecond, oldReplicas } = inputs;
  // While the rate is not known, a share could be any number of requests.
  if (inputs.freshReplicas === 0 || requestsPerSecond === 0) return 0;
  const perMs = requestsPerSecond / 1_000;
  const { evidence, timeMs } = plan;
  const share = (requests: number, until: number): number =>
    Math.max(0, requests - sent.fresh) /
    (perMs * Math.max(minSpreadMs, until - elapsedMs));
  const fairShare = Math.min(maxShare, 1 / Math.max(1, oldReplicas));
  const evenShare = evidence / (perMs * timeMs);
  // What was missed is not made up at once: counts are a second old.
  const largestShare = Math.min(maxShare, evenShare * catchUpFactor);
  // With enough replicas, some of them have the load of an old one all the time.
  if (evenShare >= fairShare) {
    return Math.min(largestShare, share(evidence, timeMs));
  }
  const loadMs = evidence * loadPart / (perMs * fairShare);
  let until = timeMs;
  let part = 1;
  for (const [index, start] of loadStarts.entries()) {
    const startMs = timeMs * start;
    if (elapsedMs < startMs) {
      until = startMs;
      part = evenPart * (index + 1) + loadPart * index;
      break;
    }
    const isLoaded = elapsedMs < startMs + loadMs;
    if (isLoaded && sent.fresh < evidence * loadedPart) return fairShare;
  }
  return Math.min(largestShare, share(evidence * part, until));
}

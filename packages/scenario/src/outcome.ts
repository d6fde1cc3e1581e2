/**
 * What requests of a scenario came to.
 */

/** Whether a request may have run, as the caller was told. */
export type ReportedRun = "ran" | "unknown" | "not_run";

/** What a request came to. */
export type Outcome =
  | { readonly kind: "answered"; readonly body: string }
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly run: ReportedRun;
  }
  /** The connection ended without an answer. */
  | { readonly kind: "cut" };

/** What the caller was told of the request having run. */
export function computeReportedRun(outcome: Outcome): ReportedRun {
  switch (outcome.kind) {
    case "answered":
      return "ran";
    case "refused":
      return outcome.run;
    case "cut":
      return "unknown";
  }
}

/** Formats an outcome for a finding. */
export function formatOutcome(outcome: Outcome): string {
  switch (outcome.kind) {
    case "answered":
      return "answered";
    case "refused":
      return `refused ${outcome.reason}, run ${outcome.run}`;
    case "cut":
      return "cut without an answer";
  }
}

/** Outcome of an operators' call. */
export function createApplyOutcome(
  answer: { readonly status: number; readonly body: unknown },
): Outcome {
  if (answer.status === 200) return { kind: "answered", body: "" };
  const error = (answer.body as {
    error?: { kind?: string; run?: ReportedRun };
  }).error;
  return {
    kind: "refused",
    reason: error?.kind ?? "unnamed",
    run: error?.run ?? "unknown",
  };
}

/**
 * Outcomes of the requests of a scenario.
 */

/** Whether the request ran, according to the response. */
export type ReportedRun = "ran" | "unknown" | "not_run";

/** Outcome of a request, as its caller saw it. */
export type Outcome =
  | { readonly kind: "answered"; readonly body: string }
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly run: ReportedRun;
  }
  /** The connection closed before a complete answer or error arrived. */
  | { readonly kind: "cut" };

/** Returns what an outcome says about whether the request ran. */
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

/** Formats an outcome for a finding of the scenario. */
export function formatOutcome(outcome: Outcome): string {
  switch (outcome.kind) {
    case "answered":
      return "answered";
    case "refused":
      return `refused ${outcome.reason}, run ${outcome.run}`;
    case "cut":
      return "connection closed without an answer";
  }
}

/** Converts the operators' response to an apply into an outcome. */
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

/**
 * Control requests that make the stand-ins show the faults of a scenario.
 */

import type { EngineFault, ObjectApiFault } from "./step.ts";

/** Body of the control request that gives an endpoint a fault. */
export function encodeEngineFault(fault: EngineFault): object {
  switch (fault.kind) {
    case "vanish":
      return { outage: "refuse" };
    case "freeze":
      return { frozen: true };
    case "thaw":
      return { frozen: false };
    case "slow":
      return { slowdown: fault.factor };
    case "cut_before_first":
      return { cut: { at: "first_byte" } };
    case "cut_after":
      return { cut: { at: "tokens", tokens: fault.tokens } };
    case "cut_before_end":
      return { cut: { at: "end" } };
  }
}

/** Body of the control request that gives the object API a fault or ends it. */
export function encodeObjectApiFault(fault: ObjectApiFault): object {
  switch (fault.kind) {
    case "out":
      return { outage: "refuse" };
    case "back":
      return { outage: "none", loseAnswers: "none", slowMs: 0 };
    case "slow":
      return { slowMs: fault.ms };
    case "lose_next":
      return { loseAnswers: "next" };
    case "lose_all":
      return { loseAnswers: "all" };
  }
}

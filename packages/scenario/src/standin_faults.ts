/**
 * Faults of a scenario as control orders of the stand-ins.
 */

import type { EngineFault, ObjectApiFault } from "./step.ts";

/** Order that makes an endpoint show a fault. */
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

/** Order that makes the object API show a fault. */
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

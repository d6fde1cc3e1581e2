/**
 * Parts of plain calls for tests.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { PartQuarantine } from "../quarantine/part_quarantine.ts";
import { CallCrashes } from "../repeats/call_crashes.ts";

/** Creates the crashes of a call that no other call shares. */
export function createCallCrashes(clock: Clock): CallCrashes {
  const quarantine = PartQuarantine.create({ isProber: () => true });
  return CallCrashes.create({ quarantine, clock, fingerprint: "request:1" });
}

import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import type { EngineChoice } from "../choice/engine_choice.ts";
import type { RelayServices } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { checkStreamAdmission } from "./stream_choice.ts";

const services = { clock: ManualClock.create() } as unknown as RelayServices;
const route = { priority: 1, objectiveMs: 1_200 };

function checkKind(
  predictedMs: number,
  resumeAfter: number | undefined,
): string {
  const request = { route, deadline: 6_000, resumeAfter };
  return checkStreamAdmission(
    services,
    request as unknown as RoutedRequest,
    { predictedMs } as EngineChoice,
  ).kind;
}

test("a caller that comes back for the rest of a stream is not held to the objective of a first event", () => {
  assert.is(checkKind(2_000, undefined), "refused");
  assert.is(checkKind(2_000, 17), "admitted");
  assert.is(checkKind(6_000, 17), "refused");
});

test.run();

import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import type { Tenant } from "@almondcrank/model/configuration.ts";
import { RetryBudget } from "@almondcrank/routing/repeats/retry_budget.ts";
import { UsageCounts } from "../duties/usage_counts.ts";
import { WorkMeter } from "../duties/work_meter.ts";
import { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import { MemberTable } from "./member_table.ts";
import type { PeerMessage, PeerReport } from "./peer_messages.ts";
import { ReportCollector } from "./report_collector.ts";
import { ReportTallies } from "./report_tallies.ts";

const tenant: Tenant = {
  name: "t",
  keys: [],
  unit: "tokens",
  defaultTokens: 1,
  // Practically no refill, so that the level tells what was charged.
  ratePerSecond: 0.000_001,
  burst: 100_000,
};

function createRig() {
  const clock = ManualClock.create();
  const limiter = TenantRateLimiter.create(0);
  limiter.prepare([tenant], 0);
  const collector = ReportCollector.create({
    zone: "b",
    clock,
    limitsClock: clock,
    members: MemberTable.create("b-2"),
    rateLimiter: limiter,
    budget: RetryBudget.create({
      ratio: 0.2,
      extra: 100,
      windowMs: 60_000,
      usedShare: 0.7,
    }),
    usage: UsageCounts.create({
      windowMs: 5_000,
      readWallTime: () => clock.wallTime(),
    }),
    work: WorkMeter.create(),
    tallies: ReportTallies.create([], Metrics.create()),
  });
  const apply = (
    node: string,
    scope: PeerMessage["scope"],
    cost: number,
  ): void => {
    const report = {
      allowances: [["t", tenant.burst, cost]],
      budgets: [],
      work: [],
      tallies: [],
      loads: [],
      usage: [],
    } as unknown as PeerReport;
    const message = {
      node,
      incarnation: "1",
      zone: node.slice(0, 1),
      scope,
      upMs: 60_000,
      included: { counters: [], loads: [], usage: [] },
    } as unknown as PeerMessage;
    collector.apply(message, report, clock.now());
  };
  const readCharged = (): number =>
    tenant.burst - (limiter.readLevel("t") ?? 0);
  return { clock, collector, apply, readCharged };
}

test("a node that becomes a relay for a time counts nothing twice", async () => {
  const { clock, collector, apply, readCharged } = createRig();
  collector.setRole("listener");
  apply("b-4", "system", 5_000);
  await clock.advance(200);
  apply("b-4", "system", 5_100);
  assert.is(readCharged(), 100);
  // The other relay drains, and this node takes its place.
  collector.setRole("relay");
  apply("b-1", "node", 700);
  apply("a-4", "zone", 2_000);
  for (let round = 1; round <= 10; round += 1) {
    await clock.advance(200);
    apply("b-1", "node", 700 + round * 20);
    apply("a-4", "zone", 2_000 + round * 80);
  }
  assert.is(readCharged(), 1_100);
  collector.setRole("listener");
  apply("b-4", "system", 6_100);
  assert.is(readCharged(), 1_100, "counted as a relay");
  await clock.advance(200);
  apply("b-4", "system", 6_200);
  assert.is(readCharged(), 1_200);
  for (let round = 1; round <= 50; round += 1) {
    await clock.advance(200);
    apply("b-4", "system", 6_200 + round * 100);
  }
  assert.is(readCharged(), 6_200);
  collector.setRole("relay");
  apply("b-1", "node", 5_000);
  apply("a-4", "zone", 20_000);
  assert.is(readCharged(), 6_200, "counted as a listener");
  await clock.advance(200);
  apply("b-1", "node", 5_020);
  apply("a-4", "zone", 20_080);
  assert.is(readCharged(), 6_300);
});

test.run();

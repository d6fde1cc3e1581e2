import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Log, LogFields } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import type { Tenant } from "@almondcrank/model/configuration.ts";
import { AllowanceLog } from "./allowance_log.ts";
import { TenantRateLimiter } from "./tenant_rate_limiter.ts";

const tenant: Tenant = {
  name: "t",
  keys: [],
  unit: "tokens",
  defaultTokens: 1,
  ratePerSecond: 100,
  burst: 1_000,
};

test("a tenant's sums are logged once a second while it is refused", async () => {
  const lines: LogFields[] = [];
  const log: Log = {
    debug: () => {},
    info: (_sentence, fields = {}) => void lines.push(fields),
    warn: () => {},
    error: () => {},
    createChild: () => log,
  };
  const clock = ManualClock.create();
  const rateLimiter = TenantRateLimiter.create(0);
  const allowances = AllowanceLog.create({ rateLimiter, clock, log });
  const take = (cost: number): void => {
    rateLimiter.take(tenant, { cost, priority: 1 }, clock.now());
  };
  take(600);
  allowances.tellDue();
  assert.is(lines.length, 0, "nothing was refused");
  rateLimiter.applyPeerCharge({ peer: "p", tenant: "t", cost: 400 }, 0);
  take(50);
  rateLimiter.refund(tenant, 100);
  await clock.advance(500);
  allowances.tellDue();
  assert.is(lines.length, 0, "the last look was half a second ago");
  await clock.advance(500);
  allowances.tellDue();
  const { admitted, refused, refunded, heard, level } = lines[0] ?? {};
  assert.equal(
    { admitted, refused, refunded, heard, level },
    { admitted: 600, refused: 50, refunded: 100, heard: 400, level: 200 },
  );
  for (let at = 0; at < 12; at += 1) {
    await clock.advance(1_000);
    allowances.tellDue();
  }
  assert.ok(lines.length >= 10 && lines.length <= 12, `${lines.length} lines`);
});

test.run();

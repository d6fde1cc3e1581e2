import { test } from "uvu";
import * as assert from "uvu/assert";
import { AllowanceMargins, plainTerms } from "./allowance_margins.ts";

const windowMs = 10_000;
const allowance = { rate: 100, burst: 200 };

function createMargins(startShare: number): AllowanceMargins {
  const margins = AllowanceMargins.create(50, {
    overage: 0.1,
    windowMs,
    startShare,
  });
  margins.start(0);
  return margins;
}

test("without overage the rate is as stated and the tolerance alone is overdraft", () => {
  const margins = AllowanceMargins.create(50, plainTerms);
  assert.is(margins.computeRate(100, 0), 100);
  assert.is(margins.computeOverdraft(allowance, 0), 25);
});

test("overdraft and raised refill stay within the contract's excess", () => {
  const margins = createMargins(1);
  const perWindow = allowance.rate * windowMs / 1_000;
  const excess = (perWindow + allowance.burst) * 0.1 + 50;
  const rate = margins.computeRate(allowance.rate, 0);
  const refilled = (rate - allowance.rate) * windowMs / 1_000;
  const overdraft = margins.computeOverdraft(allowance, 0);
  assert.ok(rate > allowance.rate);
  assert.ok(overdraft > 0);
  assert.ok(refilled + overdraft <= excess, `${refilled + overdraft}`);
});

test("requests without preference may overdraw less", () => {
  const margins = createMargins(1);
  const normal = margins.computeNormalOverdraft(allowance, 0);
  assert.ok(normal > 0);
  assert.ok(normal < margins.computeOverdraft(allowance, 0));
});

test("after a restart the excess grows from nothing over two windows", () => {
  const margins = createMargins(0.1);
  const whole = createMargins(1).computeOverdraft(allowance, 0);
  assert.is(margins.computeOverdraft(allowance, 0), 0);
  assert.is(margins.computeRate(allowance.rate, 0), allowance.rate);
  assert.is(margins.computeOverdraft(allowance, windowMs), whole / 2);
  assert.is(margins.computeOverdraft(allowance, 5 * windowMs), whole);
});

test("only a peer that ran for a window ends the restart", () => {
  const margins = createMargins(0.1);
  margins.recordTold(windowMs - 1);
  assert.is(margins.isRestart, true);
  margins.recordTold(windowMs);
  assert.is(margins.isRestart, false);
  assert.is(margins.computeUpShare(0), 1);
});

test.run();

import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { RetryBudget } from "./retry_budget.ts";
import { SlidingWindowCounter } from "../limits/sliding_window_counter.ts";

const options = {
  ratio: 0.2,
  extra: 20,
  windowMs: 10_000,
  usedShare: 0.7,
};

test("a sliding window counter forgets events older than its window", () => {
  const count = SlidingWindowCounter.create(1_000);
  count.add(3, 0);
  count.add(4, 500);
  assert.is(count.read(900), 7);
  assert.is(count.read(1_200), 4);
  assert.is(count.read(5_000), 0);
  count.add(2, 5_010);
  assert.is(count.read(5_020), 2);
});

test("one node retries within ratio and extra", () => {
  const budget = RetryBudget.create(options);
  for (let at = 0; at < 100; at += 1) budget.recordRequest("s", at);
  let taken = 0;
  while (budget.take("s", 100)) taken += 1;
  assert.ok(taken <= 40 && taken >= 20, `${taken}`);
});

test("the retries of peers count", () => {
  const budget = RetryBudget.create(options);
  budget.applyPeerCounts("s", { requests: 0, retries: 20 }, 0);
  assert.is(budget.take("s", 10), false);
  assert.is(budget.take("other", 10), true);
});

test("nodes that exchange reports every 200 ms stay within the budget", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 9 }),
      fc.integer({ min: 1, max: 20 }),
      (nodes, perTick) => {
        const all = Array.from(
          { length: nodes },
          () => RetryBudget.create(options),
        );
        const reported = all.map(() => all.map(() => [0, 0]));
        const retries: number[] = [];
        const requests: number[] = [];
        for (let at = 0; at < 30_000; at += 50) {
          for (const node of all) {
            for (let n = 0; n < perTick; n += 1) {
              // Every request fails and needs a retry.
              node.recordRequest("s", at);
              requests.push(at);
              if (node.take("s", at)) retries.push(at);
            }
          }
          if (at % 200 !== 0) continue;
          all.forEach((from, i) => {
            const [, requestSum = 0, retrySum = 0] = from.listSums()[0] ?? [];
            all.forEach((to, j) => {
              if (i === j) return;
              const row = reported[i]?.[j] as number[];
              to.applyPeerCounts("s", {
                requests: requestSum - (row[0] ?? 0),
                retries: retrySum - (row[1] ?? 0),
              }, at);
              row[0] = requestSum;
              row[1] = retrySum;
            });
          });
        }
        for (let end = 10_000; end <= 30_000; end += 1_000) {
          const within = (times: readonly number[]) =>
            times.filter((at) => at > end - 10_000 && at <= end).length;
          const allowed = 0.2 * within(requests) + 20;
          assert.ok(within(retries) <= allowed);
        }
      },
    ),
    { numRuns: 15, seed: 20261204 },
  );
});

test("hundreds of nodes that hear of each other late stay within the budget", () => {
  const nodes = 200;
  const refreshesPerRound = 3;
  const large = { ...options, extra: 430 };
  const all = Array.from({ length: nodes }, () => RetryBudget.create(large));
  const sharers = { known: nodes, heard: nodes, refreshesPerRound };
  for (const node of all) node.refresh(sharers, 0);
  // Reports of each refresh arrive after a whole round.
  const reports: { requests: number; retries: number }[][] = [];
  const retries: number[] = [];
  const requests: number[] = [];
  for (let at = 0; at < 30_000; at += 400) {
    const before = all.map((node) => node.listSums()[0]);
    for (const node of all) {
      node.recordRequest("s", at);
      requests.push(at);
      // Every request fails, and so does its retry.
      while (node.take("s", at)) retries.push(at);
    }
    reports.push(all.map((node, index) => {
      const [, requestSum = 0, retrySum = 0] = node.listSums()[0] ?? [];
      const [, requestsBefore = 0, retriesBefore = 0] = before[index] ?? [];
      return {
        requests: requestSum - requestsBefore,
        retries: retrySum - retriesBefore,
      };
    }));
    const arrived = reports.length > refreshesPerRound
      ? reports.shift() ?? []
      : [];
    const sum = { requests: 0, retries: 0 };
    for (const report of arrived) {
      sum.requests += report.requests;
      sum.retries += report.retries;
    }
    all.forEach((node, index) => {
      const own = arrived[index] ?? { requests: 0, retries: 0 };
      node.applyPeerCounts("s", {
        requests: sum.requests - own.requests,
        retries: sum.retries - own.retries,
      }, at);
      node.refresh(sharers, at);
    });
  }
  for (let end = 10_000; end <= 30_000; end += 1_000) {
    const within = (times: readonly number[]) =>
      times.filter((at) => at > end - 10_000 && at <= end).length;
    const allowed = large.ratio * within(requests) + large.extra;
    assert.ok(within(retries) <= allowed, `${within(retries)} of ${allowed}`);
    assert.ok(
      within(retries) > allowed / 4,
      `only ${within(retries)} of ${allowed} are used`,
    );
  }
});

test.run();

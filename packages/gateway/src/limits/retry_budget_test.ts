import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { RetryBudget } from "./retry_budget.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

const options = { ratio: 0.2, extra: 20, windowMs: 10_000 };

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

test.run();

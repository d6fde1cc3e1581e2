/**
 * Evidence on a new version at rates of requests that make a single term of the
 * binomial distribution too small for a number.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type AnswerSums,
  computeBinomialTail,
  noAnswers,
  RolloutEvidence,
} from "./rollout_evidence.ts";

function checkNear(value: number, expected: number): void {
  assert.ok(Math.abs(value - expected) < 1e-9, `${value}, not ${expected}`);
}

test("the tail of many answers is as small as it is", () => {
  checkNear(computeBinomialTail(3_000, 13_000, 0.06), 0);
  checkNear(computeBinomialTail(1_000, 2_200, 0.3), 0);
});

test("the tail of many answers at about their rate is neither 0 nor 1", () => {
  // Half of the distribution and about half a term lie at the mean and above.
  const tail = computeBinomialTail(780, 13_000, 0.06);
  assert.ok(tail > 0.5 && tail < 0.52, `${tail}`);
  assert.ok(computeBinomialTail(600, 13_000, 0.06) > 0.999);
});

test("the tail of few answers is exact", () => {
  // Of 4 at 0.25: (6 * 9 + 4 * 3 + 1) / 256 for 2, 3 and 4 successes.
  checkNear(computeBinomialTail(2, 4, 0.25), 67 / 256);
  checkNear(computeBinomialTail(4, 4, 0.25), 1 / 256);
  checkNear(computeBinomialTail(0, 4, 0.25), 1);
});

test("a version that fails and is slow is stopped at high rates, too", () => {
  const evidence = RolloutEvidence.create();
  const old: AnswerSums = { ...noAnswers, answers: 90_000, times: 90_000 };
  const fresh: AnswerSums = { ...noAnswers, answers: 80_000, times: 13_000 };
  const failing = new Map([["r", {
    fresh: { ...fresh, failures: 9_000 },
    old,
  }]]);
  assert.is(evidence.checkStop(failing, 0).kind, "bad");
  const slow = new Map([["r", { fresh: { ...fresh, slow: 3_000 }, old }]]);
  assert.is(evidence.checkStop(slow, 0).kind, "bad");
  const good = new Map([["r", { fresh: { ...fresh, slow: 600 }, old }]]);
  assert.is(evidence.checkStop(good, 0).kind, "sound");
});

test("a version whose answers all crash is thin at the end, also of one measure", () => {
  const evidence = RolloutEvidence.create();
  const old: AnswerSums = { ...noAnswers, answers: 500, times: 500 };
  const fresh: AnswerSums = { ...noAnswers, answers: 50, times: 50 };
  const none = new Map([["r whole", { fresh: noAnswers, old }]]);
  assert.is(evidence.checkEnd(none, 0).kind, "thin");
  const started = new Map([
    ["r first", { fresh, old }],
    ["r pace", { fresh: noAnswers, old }],
  ]);
  assert.is(evidence.checkEnd(started, 0).kind, "thin");
});

test.run();

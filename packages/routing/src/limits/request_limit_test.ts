/**
 * Patterns: answers that were long on their way, because a node was suspended or a
 * link lost packets, arrive after newer ones.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestLimit } from "./request_limit.ts";

test("an answer to a request from before the limit was named does not end it", () => {
  const limit = RequestLimit.create();
  limit.recordAnswer(1, { sentAt: 900, now: 1_000 });
  limit.recordAnswer(undefined, { sentAt: 500, now: 5_000 });
  assert.is(limit.perSecond, 1);
  limit.recordAnswer(undefined, { sentAt: 5_000, now: 5_050 });
  assert.is(limit.perSecond, undefined);
});

test("peers take over the end of a limit only if it is newer than its naming", () => {
  const limit = RequestLimit.create();
  limit.recordAnswer(1, { sentAt: 900, now: 1_000 });
  limit.learn({ perSecond: undefined, statedAt: 950 }, 1_200);
  assert.is(limit.perSecond, 1);
  limit.learn({ perSecond: undefined, statedAt: 1_400 }, 1_500);
  assert.is(limit.perSecond, undefined);
  limit.learn({ perSecond: 2, statedAt: 1_600 }, 1_700);
  assert.is(limit.perSecond, 2);
});

test("a limit that is named takes effect whenever its request was sent", () => {
  const limit = RequestLimit.create();
  limit.recordAnswer(undefined, { sentAt: 900, now: 1_000 });
  limit.recordAnswer(1, { sentAt: 100, now: 1_100 });
  assert.is(limit.perSecond, 1);
  assert.is(limit.isOpen(1_100), false);
});

test("what may not wait is counted in advance", () => {
  const limit = RequestLimit.create();
  limit.recordAnswer(1, { sentAt: 0, now: 0 });
  limit.setShare(1, 0);
  limit.charge(0);
  assert.is(limit.computeWaitMs(0), 2_000);
  assert.is(limit.isOpen(1_999), false);
  assert.is(limit.isOpen(2_000), true);
});

test.run();

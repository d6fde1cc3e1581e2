/**
 * What the sends of a stream allow to say of it and to do with it.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Route } from "@almondcrank/model/configuration.ts";
import { StreamAttempts } from "./stream_attempts.ts";

const route: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: "stream",
  timeoutMs: 1_000,
  objectiveMs: 100,
  priority: 0,
  targets: [],
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
  maxEventGapMs: 100,
};

test("a stream may have run while one of its sends has no outcome", () => {
  const attempts = StreamAttempts.create(route);
  assert.is(attempts.mayHaveRun, false);
  // The first replica can't be reached, a second one was sent the stream.
  attempts.recordSend();
  attempts.recordSend();
  attempts.recordConnectFailure();
  assert.is(attempts.mayHaveRun, true);
});

test("a stream that all replicas declined, or that never left, has not run", () => {
  const attempts = StreamAttempts.create(route);
  attempts.recordSend();
  attempts.recordConnectFailure();
  attempts.recordSend();
  attempts.recordDecline();
  assert.is(attempts.mayHaveRun, false);
  assert.is(attempts.sends, 1);
});

test("a stream that ran has run, whatever its later sends did", () => {
  const attempts = StreamAttempts.create(route);
  attempts.recordSend();
  attempts.recordRun();
  attempts.recordSend();
  attempts.recordDecline();
  assert.is(attempts.mayHaveRun, true);
});

test("a moved run is no send of its own", () => {
  const attempts = StreamAttempts.create(route);
  attempts.recordSend();
  attempts.recordRun();
  attempts.recordMovedRun();
  assert.is(attempts.sends, 1);
  assert.is(attempts.mayHaveRun, true);
});

test.run();

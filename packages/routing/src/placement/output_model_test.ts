import { test } from "uvu";
import * as assert from "uvu/assert";
import { CostModel } from "./cost_model.ts";
import { OutputModel } from "./output_model.ts";
import type { RequestShape } from "./request_cost.ts";

const shape: RequestShape = {
  service: "s",
  softwareVersion: "v1",
  route: "review",
  uncachedTokens: 1_000,
  promptTokens: 2_000,
  maxOutputTokens: 800,
  hintedOutputTokens: undefined,
};

test("an output is assumed from what the caller states, within its bound", () => {
  const model = OutputModel.create();
  assert.is(model.predict(shape).tokens, 400);
  assert.is(model.predict({ ...shape, hintedOutputTokens: 2_000 }).tokens, 800);
  assert.is(model.predict(shape).observations, 0);
});

test("what such requests brought corrects the largest number asked for", () => {
  const model = OutputModel.create();
  for (let run = 0; run < 50; run += 1) {
    const tokens = run % 10 === 0 ? 600 : 100;
    model.record(shape, { tokens, runMs: 500 }, run * 100);
  }
  const { tokens, highTokens, observations } = model.predict(shape);
  assert.ok(tokens > 130 && tokens < 170, `${tokens}`);
  assert.ok(highTokens >= 95 && highTokens <= 650, `${highTokens}`);
  assert.is(observations, 50);
});

test("hints that are too low by half are corrected by their ratio", () => {
  const model = OutputModel.create();
  const hinted = { ...shape, hintedOutputTokens: 100 };
  for (let run = 0; run < 30; run += 1) {
    model.record(hinted, { tokens: 200, runMs: 500 }, run);
  }
  const { tokens } = model.predict({ ...shape, hintedOutputTokens: 300 });
  assert.ok(tokens > 540 && tokens < 660, `${tokens}`);
});

test("an unknown route begins from the service's, a known one has its own", () => {
  const model = OutputModel.create();
  for (let run = 0; run < 30; run += 1) {
    model.record(shape, { tokens: 300, runMs: 500 }, run);
    const label = { ...shape, route: "label" };
    model.record(label, { tokens: 20, runMs: 100 }, run);
  }
  const unknown = model.predict({ ...shape, route: "other" }).tokens;
  assert.ok(unknown > 140 && unknown < 180, `${unknown}`);
  assert.ok(model.predict({ ...shape, route: "label" }).tokens < 25);
});

test("outputs of two windows ago are forgotten", () => {
  const model = OutputModel.create();
  for (let run = 0; run < 30; run += 1) {
    model.record(shape, { tokens: 600, runMs: 500 }, run);
  }
  for (let run = 0; run < 90; run += 1) {
    model.record(shape, { tokens: 100, runMs: 500 }, 30_000 + run * 1_000);
  }
  assert.ok(model.predict(shape).tokens < 120);
});

test("the run time of a service nears what its requests take", () => {
  const costs = CostModel.create();
  assert.is(costs.predict(shape, 0).runMs, 2_000);
  for (let run = 0; run < 100; run += 1) {
    costs.outputs.record(shape, { tokens: 100, runMs: 400 }, run);
  }
  const { runMs, prefillMs } = costs.predict(shape, 100);
  assert.ok(runMs < 450, `${runMs}`);
  assert.is(prefillMs, 20);
});

test.run();

import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type {
  CacheEventBatch,
  CacheExport,
  EngineState,
  GenerateEvent,
  GenerateRequest,
  LoadReport,
} from "@almondcrank/endpoint/engine.ts";
import {
  computeBlockHashes,
  splitTokens,
} from "@almondcrank/endpoint/tokens.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type EngineOptions, EngineStandin } from "./engine_standin.ts";
import { computeExpectedTokens } from "./expected_tokens.ts";
import {
  callJson,
  callPart,
  type CallResult,
  waitUntil,
} from "./standin_fixture.ts";

const loadedModel = { model: "m", version: "1", adapters: ["x"] };
const prompt = Array.from({ length: 40 }, (_, i) => `word${i}`).join(" ");
let hasher: Hasher;
/** A prompt with an output of 200 tokens. */
let longPrompt: string;

test.before(async () => {
  hasher = await openHasher();
  longPrompt = findLongPrompt();
});

function findLongPrompt(): string {
  for (let i = 0;; i++) {
    const question = { model: "m", prompt: `${prompt} ${i}`, maxTokens: 200 };
    const { reason } = computeExpectedTokens(hasher, question);
    if (reason === "length") return question.prompt;
  }
}

/** Engines that share a manual clock. */
class EngineGroup {
  readonly clock = ManualClock.create();
  readonly all: EngineStandin[] = [];

  async open(options: Partial<EngineOptions> = {}): Promise<EngineStandin> {
    const engine = await EngineStandin.open({
      address: "127.0.0.1:0",
      clock: this.clock,
      random: Random.create(1),
      models: [loadedModel],
      ...options,
    });
    this.all.push(engine);
    return engine;
  }

  /** Advances the clock until a call has settled. */
  async advanceUntilSettled<T>(call: Promise<T>): Promise<T> {
    let hasSettled = false;
    void call.finally(() => hasSettled = true).catch(() => {});
    while (!hasSettled) await this.clock.advance(20);
    return await call;
  }

  callGenerate(
    engine: EngineStandin,
    change: Partial<GenerateRequest> = {},
  ): Promise<CallResult> {
    return callPart(`${engine.address}/generate`, { body: createBody(change) });
  }
}

function createBody(change: Partial<GenerateRequest>): GenerateRequest {
  return {
    id: "g1",
    model: "m",
    prompt,
    tokensSoFar: [],
    maxTokens: 20,
    priority: 0,
    remainingMs: 1_000,
    ...change,
  };
}

function readEvents(result: CallResult): readonly GenerateEvent[] {
  return result.text.split("\n").filter((line) => line !== "")
    .map((line) => JSON.parse(line));
}

function readTokens(result: CallResult): readonly string[] {
  return readEvents(result)
    .flatMap((event) => event.kind === "token" ? [event.text] : []);
}

async function runWith(
  run: (engines: EngineGroup) => Promise<void>,
): Promise<void> {
  const engines = new EngineGroup();
  try {
    await run(engines);
  } finally {
    for (const engine of engines.all) engine.dispose();
  }
}

test("output equals the expected tokens, each once and in order", () =>
  runWith(async (engines) => {
    const engine = await engines.open();
    const expected = computeExpectedTokens(hasher, {
      model: "m",
      prompt,
      maxTokens: 20,
    });
    const events = readEvents(
      await engines.advanceUntilSettled(engines.callGenerate(engine)),
    );
    const tokens = events.slice(0, -1);
    assert.equal(
      tokens,
      expected.tokens.map((text, index) => ({ kind: "token", index, text })),
    );
    assert.is(tokens.length, 20);
    const end = events.at(-1)!;
    assert.is(end.kind === "end" && end.reason, expected.reason);
    assert.is(splitTokens(expected.tokens.join("")).length, 20);
    const other = { model: "m", adapter: "x", prompt, maxTokens: 20 };
    assert.not.equal(
      computeExpectedTokens(hasher, other).tokens,
      expected.tokens,
    );
  }));

test("streams are cut at the point and as often as the fault settings say", () =>
  runWith(async (engines) => {
    const engine = await engines.open();
    const callWithCut = async (cut: unknown) => {
      engine.faults.apply({ cut });
      return await engines.advanceUntilSettled(engines.callGenerate(engine));
    };
    const first = await callWithCut({ at: "first_byte", times: 1 });
    assert.equal([first.kind, first.text], ["cut", ""]);
    const middle = await callWithCut({ at: "tokens", tokens: 7, times: 1 });
    assert.equal([middle.kind, readTokens(middle).length], ["cut", 7]);
    const end = await callWithCut({ at: "end", times: 1 });
    assert.equal([end.kind, readEvents(end).length], ["cut", 20]);
    const whole = await engines.advanceUntilSettled(
      engines.callGenerate(engine),
    );
    assert.is(whole.kind, "answered");
    assert.equal(engine.records.map((record) => record.outcome), [
      "cut",
      "cut",
      "cut",
      "ended",
    ]);
  }));

test("a text in a prompt crashes the engine, which is back later", () =>
  runWith(async (engines) => {
    const engine = await engines.open();
    engine.faults.apply({ crash: { text: "word7 ", downMs: 3_000 } });
    const other = engines.callGenerate(engine, {
      id: "other",
      prompt: "word1",
      maxTokens: 200,
    });
    await waitUntil(() => engine.load.running === 1);
    const crashing = await engines.advanceUntilSettled(
      engines.callGenerate(engine),
    );
    assert.equal([crashing.kind, readTokens(crashing)], ["cut", []]);
    assert.is((await other).kind, "cut");
    assert.is(engine.crashes, 1);
    assert.is(engine.load.running + engine.load.cacheUsedTokens, 0);
    const refused = await engines.callGenerate(engine, { prompt: "word1" });
    assert.is(refused.kind === "cut" && refused.code, "ECONNREFUSED");
    await engines.clock.advance(3_000);
    await waitUntil(() => engine.faults.outage === "none");
    while ((await callPart(`${engine.address}/load`)).kind === "cut");
    const whole = await engines.advanceUntilSettled(
      engines.callGenerate(engine, { prompt: "word1" }),
    );
    assert.is(whole.kind, "answered");
  }));

test("a resumed request finds the tokens of an imported cache cached", () =>
  runWith(async (engines) => {
    const options = { kvBytesPerToken: 1_000, kvBytesPerSecond: 1_000_000 };
    const [from, to] = [
      await engines.open(options),
      await engines.open(options),
    ];
    const stream = engines.callGenerate(from, { id: "g1" });
    await waitUntil(() => from.load.running === 1);
    await engines.clock.advance(100);
    const exported = await callJson<CacheExport>(`${from.address}/kv/export`, {
      body: { id: "g1" },
    });
    const produced = exported.tokens - 40;
    assert.ok(produced > 0);
    const source = {
      importId: "i1",
      from: from.address,
      handle: exported.handle,
    };
    const started = engines.clock.now();
    const imported = callPart(`${to.address}/kv/import`, { body: source });
    await engines.advanceUntilSettled(imported);
    assert.ok(engines.clock.now() - started >= exported.tokens, "1 ms a token");
    const tokens =
      computeExpectedTokens(hasher, { model: "m", prompt, maxTokens: 20 })
        .tokens;
    const resume = { tokensSoFar: tokens.slice(0, produced), importId: "i1" };
    const rest = readEvents(
      await engines.advanceUntilSettled(
        engines.callGenerate(to, { id: "g2", ...resume }),
      ),
    );
    const end = rest.at(-1)!;
    assert.is(end.kind === "end" && end.usage.computedTokens, 1);
    assert.is(rest.length, 20 - produced + 1);
    from.dispose();
    await stream;
    const gone = await callPart(`${to.address}/kv/import`, { body: source });
    assert.is(gone.kind === "answered" && gone.status, 404);
  }));

test("an import for another prompt is not used", () =>
  runWith(async (engines) => {
    const engine = await engines.open();
    void engines.callGenerate(engine, { id: "g1", prompt: prompt + " end" });
    await waitUntil(() => engine.load.running === 1);
    await engines.clock.advance(20);
    const exported = await callJson<CacheExport>(
      `${engine.address}/kv/export`,
      { body: { id: "g1" } },
    );
    await engines.advanceUntilSettled(callPart(`${engine.address}/kv/import`, {
      body: { importId: "i1", from: engine.address, handle: exported.handle },
    }));
    const foreign = { id: "g2", prompt: `other ${prompt}`, importId: "i1" };
    await engines.advanceUntilSettled(engines.callGenerate(engine, foreign));
    assert.is(
      engine.records.find((record) => record.id === "g2")?.cachedTokens,
      0,
    );
  }));

test("only engines that check fencing refuse an outdated fencing token", () =>
  runWith(async (engines) => {
    const order = (fencing: number, role: string) => ({
      body: { fencing, holder: "n1", role, models: [loadedModel] },
    });
    for (const checksFencing of [true, false]) {
      const engine = await engines.open({ checksFencing });
      const send = (fencing: number, role: string) =>
        callPart(`${engine.address}/orders`, order(fencing, role));
      await send(5, "serve");
      const old = await send(4, "drain");
      assert.is(
        old.kind === "answered" && old.status,
        checksFencing ? 412 : 200,
      );
      assert.is(engine.state.role, checksFencing ? "serve" : "drain");
      assert.is(engine.state.fencing, 5);
      assert.equal(engine.orders.map((record) => record.tookEffect), [
        true,
        !checksFencing,
      ]);
    }
  }));

test("new work is declined while draining and for models not loaded; running work ends", () =>
  runWith(async (engines) => {
    const engine = await engines.open();
    const running = engines.callGenerate(engine);
    await waitUntil(() => engine.load.running === 1);
    await callPart(`${engine.address}/orders`, {
      body: { fencing: 1, holder: "n1", role: "drain", models: [loadedModel] },
    });
    assert.match(
      (await engines.callGenerate(engine, { id: "g2" })).text,
      "draining",
    );
    assert.is((await engines.advanceUntilSettled(running)).kind, "answered");
    await callPart(`${engine.address}/orders`, {
      body: { fencing: 1, holder: "n1", role: "serve", models: [] },
    });
    assert.match((await engines.callGenerate(engine)).text, "is not loaded");
    const state = await callJson<EngineState>(`${engine.address}/state`);
    assert.equal(state.models, []);
    const { calls, declined, ended } = engine.totals;
    assert.equal([calls, declined, ended], [3, 2, 1]);
  }));

test("cache events are delayed, and lost ones leave a gap in the sequence", () =>
  runWith(async (engines) => {
    const engine = await engines.open({ cacheEventLagMs: 1_000 });
    const read = () =>
      callJson<CacheEventBatch>(`${engine.address}/cache-events?since=0`);
    await engines.advanceUntilSettled(
      engines.callGenerate(engine, { maxTokens: 1 }),
    );
    assert.equal(await read(), { sequence: 0, events: [] });
    await engines.clock.advance(1_000);
    const blocks = computeBlockHashes(hasher, splitTokens(prompt));
    assert.equal(await read(), {
      sequence: 1,
      events: [{ sequence: 1, kind: "stored", blocks }],
    });
    engine.faults.apply({ cacheEventLoss: 1 });
    await engines.advanceUntilSettled(
      engines.callGenerate(engine, {
        id: "g2",
        prompt: prompt + " x".repeat(40),
        maxTokens: 1,
      }),
    );
    engine.faults.apply({ cacheEventLoss: 0 });
    await engines.advanceUntilSettled(
      engines.callGenerate(engine, {
        id: "g3",
        prompt: "y".repeat(9) + prompt,
        maxTokens: 1,
      }),
    );
    await engines.clock.advance(1_000);
    assert.equal((await read()).events.map((event) => event.sequence), [1, 3]);
  }));

test("the load report is published at intervals and scaled by loadFactor", () =>
  runWith(async (engines) => {
    const engine = await engines.open({ loadPublishMs: 500 });
    const read = () => callJson<LoadReport>(`${engine.address}/load`);
    const call = engines.callGenerate(engine, {
      prompt: longPrompt,
      maxTokens: 200,
    });
    await waitUntil(() => engine.load.running === 1);
    await engines.clock.advance(400);
    assert.equal([(await read()).running, (await read()).ageMs], [0, 400]);
    await engines.clock.advance(150);
    assert.equal([(await read()).running, (await read()).ageMs], [1, 50]);
    engine.faults.apply({ loadFactor: 3 });
    assert.is((await read()).running, 3);
    engine.faults.apply({ outage: "refuse" });
    assert.is((await call).kind, "cut");
  }));

test("a caller's disconnect cancels its generation, and so does a cancel call", () =>
  runWith(async (engines) => {
    const engine = await engines.open();
    const caller = new AbortController();
    const call = callPart(`${engine.address}/generate`, {
      body: createBody({
        id: "disconnected",
        prompt: longPrompt,
        maxTokens: 200,
      }),
      signal: caller.signal,
    });
    const other = engines.callGenerate(engine, {
      id: "cancelled",
      prompt: longPrompt,
      maxTokens: 200,
    });
    await waitUntil(() => engine.load.running + engine.load.queued === 2);
    await engines.clock.advance(50);
    caller.abort();
    await call;
    for (let i = 0; i < 2; i++) {
      const answer = await callPart(`${engine.address}/cancel`, {
        body: { id: "cancelled" },
      });
      assert.is(answer.kind === "answered" && answer.status, 200);
    }
    assert.match((await other).text, '"reason":"cancelled"');
    await waitUntil(() => engine.load.running === 0);
  }));

test("the refusal of a malformed request names the invalid field", () =>
  runWith(async (engines) => {
    const engine = await engines.open();
    const result = await callPart(`${engine.address}/generate`, {
      body: { id: "g1" },
    });
    assert.is(result.kind === "answered" && result.status, 400);
    assert.match(result.text, "prompt");
  }));

test.run();

import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import type { GenerateRequest } from "@almondcrank/endpoint/engine.ts";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EngineScheduler, type GenerationOutcome } from "./engine_scheduler.ts";
import { engineSettings, type EngineSettingsInput } from "./engine_settings.ts";
import { computeExpectedTokens } from "./expected_tokens.ts";
import { engineFaultsSchema, noEngineFaults } from "./fault_settings.ts";
import { FaultInjector } from "./fault_injector.ts";
import { Generation } from "./generation.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** 1 ms an input token; 10 ms a step, plus 1 ms for each request in it. */
const model: EngineSettingsInput = {
  slots: 2,
  prefillTokensPerSecond: 1_000,
  prefillChunkTokens: 64,
  decodeBaseMs: 10,
  decodePerRequestMs: 1,
  cacheTokens: 160,
};

interface Sent {
  readonly at: number;
  readonly lines: string;
}

class Bench {
  readonly clock = ManualClock.create();
  readonly cache: PrefixCache;
  readonly faults = FaultInjector.create({
    schema: engineFaultsSchema,
    initial: noEngineFaults,
    clock: this.clock,
  });
  readonly scheduler: EngineScheduler;
  readonly ends: { id: string; at: number; outcome: GenerationOutcome }[] = [];
  readonly sent = new Map<string, Sent[]>();
  readonly #hasher: Hasher;

  private constructor(hasher: Hasher) {
    this.#hasher = hasher;
    const settings = engineSettings.parse(model);
    this.cache = PrefixCache.create(settings.cacheTokens / 16);
    this.scheduler = EngineScheduler.open({
      clock: this.clock,
      settings,
      faults: this.faults,
      cache: this.cache,
      claimImportedTokens: () => 0,
      onCacheChange: () => {},
      onLoadChange: () => {},
      onEnd: (generation, outcome) =>
        this.ends.push({
          id: generation.request.id,
          at: this.clock.now(),
          outcome,
        }),
    });
  }

  static async open(): Promise<Bench> {
    return new Bench(await openHasher());
  }

  add(id: string, change: Partial<GenerateRequest> = {}): Generation {
    const request: GenerateRequest = {
      id,
      model: "m",
      prompt: "a b c d e f g h i j",
      tokensSoFar: [],
      maxTokens: 3,
      priority: 1,
      remainingMs: 1_000,
      ...change,
    };
    const sent: Sent[] = [];
    this.sent.set(id, sent);
    const write = (lines: string): void =>
      void sent.push({ at: this.clock.now(), lines });
    const sink = { write, end: write, cut: write };
    const generation = Generation.create(request, sink, {
      hasher: this.#hasher,
      now: this.clock.now(),
    });
    this.scheduler.add(generation);
    return generation;
  }

  /** Compares a stream with the expected output, whole unless cancelled. */
  checkTokens(request: GenerateRequest): void {
    const lines = this.sent.get(request.id)!.map((sent) => sent.lines).join("");
    const events = lines.trim().split("\n").map((line) => JSON.parse(line));
    const { reason } = events.pop();
    const { tokens } = computeExpectedTokens(this.#hasher, request);
    const texts = events.map((event) => event.text);
    assert.equal(events.map((event) => event.index), [...texts.keys()]);
    assert.equal(texts, tokens.slice(0, texts.length));
    if (reason !== "cancelled") assert.is(texts.length, tokens.length);
  }

  /** Texts of the tokens that were sent. */
  readTexts(id: string): readonly string[] {
    return this.sent.get(id)!.map((sent) => sent.lines).join("").trim()
      .split("\n").map((line) => JSON.parse(line))
      .flatMap((event) => event.kind === "token" ? [event.text] : []);
  }

  times(id: string): readonly number[] {
    return this.sent.get(id)!.map((sent) => sent.at);
  }
}

function words(count: number, prefix = "w"): string {
  return Array.from({ length: count }, (_, i) => `${prefix}${i}`).join(" ");
}

test("prefill and steps take the time that the model states", async () => {
  const bench = await Bench.open();
  bench.add("a");
  await bench.clock.advance(100);
  // 10 input tokens, then two steps of 11 ms for the second and third token.
  assert.equal(bench.times("a"), [10, 21, 32]);
  assert.is(bench.ends[0]?.outcome, "ended");
});

test("prefill of one request delays the tokens of another", async () => {
  const bench = await Bench.open();
  bench.add("a", { maxTokens: 4 });
  await bench.clock.advance(11);
  bench.add("b", { prompt: words(20, "b"), maxTokens: 1 });
  await bench.clock.advance(100);
  // The step from 21 ms also computes 20 input tokens: 11 + 20 ms.
  assert.equal(bench.times("a"), [10, 21, 52, 63]);
});

test("a slowdown stretches every step", async () => {
  const bench = await Bench.open();
  bench.faults.apply({ slowdown: 10 });
  bench.add("a", { maxTokens: 2 });
  await bench.clock.advance(500);
  assert.equal(bench.times("a"), [100, 210]);
});

test("waiting requests are taken by priority, then arrival", async () => {
  const bench = await Bench.open();
  bench.add("run1", { maxTokens: 8 });
  bench.add("run2", { maxTokens: 8 });
  await bench.clock.advance(1);
  bench.add("late", { priority: 2 });
  bench.add("first", { priority: 0 });
  bench.add("second", { priority: 0 });
  await bench.clock.advance(1_000);
  const order = bench.ends.map((end) => end.id).slice(2);
  assert.equal(order, ["first", "second", "late"]);
});

test("a shared prefix is computed once, at least the last token always", async () => {
  const bench = await Bench.open();
  bench.add("a", { prompt: words(32), maxTokens: 1 });
  await bench.clock.advance(100);
  const again = bench.add("b", { prompt: words(32), maxTokens: 1 });
  const longer = bench.add("c", { prompt: words(40), maxTokens: 1 });
  await bench.clock.advance(100);
  assert.equal([again.cachedTokens, again.computedTokens], [31, 1]);
  assert.equal([longer.cachedTokens, longer.computedTokens], [32, 8]);
});

test("memory is bounded and the least recently used prefix goes first", async () => {
  const bench = await Bench.open();
  for (const prefix of ["a", "b", "a", "c"]) {
    bench.add(prefix, { prompt: words(64, prefix), maxTokens: 1 });
    await bench.clock.advance(200);
    assert.ok(bench.cache.size <= 10);
  }
  const kept = bench.add("a2", { prompt: words(64, "a"), maxTokens: 1 });
  await bench.clock.advance(200);
  assert.is(kept.cachedTokens, 63);
  const evicted = bench.add("b2", { prompt: words(64, "b"), maxTokens: 1 });
  await bench.clock.advance(200);
  assert.ok(evicted.cachedTokens < 63);
});

test("the end of an idle prefix is evicted before its beginning", async () => {
  const bench = await Bench.open();
  bench.add("a", { prompt: words(64, "a"), maxTokens: 1 });
  await bench.clock.advance(200);
  bench.add("b", { prompt: words(128, "b"), maxTokens: 1 });
  await bench.clock.advance(200);
  const again = bench.add("a2", { prompt: words(64, "a"), maxTokens: 1 });
  await bench.clock.advance(200);
  assert.is(again.cachedTokens, 32);
});

test("a next turn that repeats prompt and output finds both cached", async () => {
  for (const joint of [" ", "\n"]) {
    const bench = await Bench.open();
    const prompt = words(30) + (joint === " " ? "" : joint);
    bench.add("a", { prompt, maxTokens: 34 });
    await bench.clock.advance(1_000);
    const answer = bench.readTexts("a").join("");
    const turn = words(30) + joint + answer + " and a new question";
    const next = bench.add("b", { prompt: turn, maxTokens: 1 });
    await bench.clock.advance(1_000);
    const whole = 30 + bench.readTexts("a").length;
    assert.is(next.cachedTokens, whole - whole % 16);
    assert.ok(next.cachedTokens > 32);
  }
});

test("a request waits while running ones fill the memory", async () => {
  const bench = await Bench.open();
  bench.add("a", { prompt: words(128, "a"), maxTokens: 2 });
  const second = bench.add("b", { prompt: words(128, "b"), maxTokens: 1 });
  await bench.clock.advance(130);
  assert.is(second.times.startedAt, undefined);
  await bench.clock.advance(500);
  assert.is(bench.ends.length, 2);
});

test("a resumed request computes its tokens as input and goes on at their index", async () => {
  const bench = await Bench.open();
  bench.add("a", { maxTokens: 6 });
  await bench.clock.advance(200);
  const tokens = bench.readTexts("a");
  const resumed = bench.add("b", {
    maxTokens: 6,
    tokensSoFar: tokens.slice(0, 4),
  });
  await bench.clock.advance(200);
  const rest = bench.sent.get("b")!.map((sent) => sent.lines).join("");
  assert.is(resumed.computedTokens, 14);
  assert.is(
    rest.split("\n")[0],
    `{"kind":"token","index":4,"text":"${tokens[4]}"}`,
  );
  assert.is(resumed.outputTokens, 2);
});

test("a cancelled request ends at once and frees its slot", async () => {
  const bench = await Bench.open();
  const first = bench.add("a", { maxTokens: 200 });
  bench.add("b", { maxTokens: 200 });
  const waiting = bench.add("c", { maxTokens: 1 });
  await bench.clock.advance(20);
  bench.scheduler.cancel(first);
  bench.scheduler.cancel(first);
  await bench.clock.advance(40);
  assert.ok(waiting.hasEnded);
  assert.is(bench.ends.filter((end) => end.id === "a").length, 1);
  assert.match(bench.sent.get("a")!.at(-1)!.lines, '"reason":"cancelled"');
});

test("a frozen engine sends nothing and goes on late without a burst", async () => {
  const bench = await Bench.open();
  bench.add("a");
  await bench.clock.advance(15);
  bench.faults.apply({ frozen: true });
  await bench.clock.advance(1_000);
  assert.equal(bench.times("a"), [10]);
  bench.faults.apply({ frozen: false });
  await bench.clock.advance(100);
  assert.equal(bench.times("a"), [10, 1_015, 1_026]);
});

test("whatever is cancelled, streams are right and memory is freed", async () => {
  const step = fc.record({
    prefix: fc.constantFrom("a", "b", "c"),
    words: fc.integer({ min: 0, max: 120 }),
    maxTokens: fc.integer({ min: 0, max: 40 }),
    priority: fc.integer({ min: 0, max: 2 }),
    waitMs: fc.integer({ min: 0, max: 200 }),
    cancels: fc.option(fc.nat({ max: 5 })),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
      const bench = await Bench.open();
      const added: Generation[] = [];
      for (const { prefix, words: count, waitMs, cancels, ...rest } of steps) {
        const prompt = words(count, prefix);
        added.push(bench.add(`g${added.length}`, { prompt, ...rest }));
        await bench.clock.advance(waitMs);
        const cancelled = cancels === null ? undefined : added.at(-cancels);
        if (cancelled !== undefined) bench.scheduler.cancel(cancelled);
      }
      await bench.clock.advance(60_000);
      assert.is(bench.ends.length, added.length);
      assert.is(bench.cache.pinnedSize, 0);
      assert.ok(bench.cache.size <= bench.cache.capacity);
      for (const { request, hasEnded } of added) {
        assert.ok(hasEnded);
        bench.checkTokens(request);
      }
    }),
    { seed: 1, numRuns: 60 },
  );
});

test.run();

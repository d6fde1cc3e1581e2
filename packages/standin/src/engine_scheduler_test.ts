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

/** 1 ms per input token; 10 ms per decode step plus 1 ms per request in it. */
const model: EngineSettingsInput = {
  slots: 2,
  prefillTokensPerSecond: 1_000,
  prefillChunkTokens: 64,
  decodeBaseMs: 10,
  decodePerRequestMs: 1,
  cacheTokens: 160,
};

interface SentLines {
  readonly at: number;
  readonly lines: string;
}

class SchedulerFixture {
  readonly clock = ManualClock.create();
  readonly cache: PrefixCache;
  readonly faults = FaultInjector.create({
    schema: engineFaultsSchema,
    initial: noEngineFaults,
    clock: this.clock,
  });
  readonly scheduler: EngineScheduler;
  readonly ends: { id: string; at: number; outcome: GenerationOutcome }[] = [];
  readonly sent = new Map<string, SentLines[]>();
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
      onCrash: () => {},
      onLoadChange: () => {},
      onEnd: (generation, outcome) =>
        this.ends.push({
          id: generation.request.id,
          at: this.clock.now(),
          outcome,
        }),
    });
  }

  static async open(): Promise<SchedulerFixture> {
    return new SchedulerFixture(await openHasher());
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
    const sent: SentLines[] = [];
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

  /** Reads the texts of the tokens that were sent. */
  readTexts(id: string): readonly string[] {
    return this.sent.get(id)!.map((sent) => sent.lines).join("").trim()
      .split("\n").map((line) => JSON.parse(line))
      .flatMap((event) => event.kind === "token" ? [event.text] : []);
  }

  listSendTimes(id: string): readonly number[] {
    return this.sent.get(id)!.map((sent) => sent.at);
  }
}

function composeWords(count: number, prefix = "w"): string {
  return Array.from({ length: count }, (_, i) => `${prefix}${i}`).join(" ");
}

test("prefill and decode steps take the time that the settings give", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.add("a");
  await fixture.clock.advance(100);
  // 10 input tokens, then two steps of 11 ms for the second and third token.
  assert.equal(fixture.listSendTimes("a"), [10, 21, 32]);
  assert.is(fixture.ends[0]?.outcome, "ended");
});

test("prefill of one request delays the tokens of another", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.add("a", { maxTokens: 4 });
  await fixture.clock.advance(11);
  fixture.add("b", { prompt: composeWords(20, "b"), maxTokens: 1 });
  await fixture.clock.advance(100);
  // The step from 21 ms also computes 20 input tokens: 11 + 20 ms.
  assert.equal(fixture.listSendTimes("a"), [10, 21, 52, 63]);
});

test("slowdown multiplies the duration of every step", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.faults.apply({ slowdown: 10 });
  fixture.add("a", { maxTokens: 2 });
  await fixture.clock.advance(500);
  assert.equal(fixture.listSendTimes("a"), [100, 210]);
});

test("queued requests start by priority, then arrival", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.add("run1", { maxTokens: 8 });
  fixture.add("run2", { maxTokens: 8 });
  await fixture.clock.advance(1);
  fixture.add("late", { priority: 2 });
  fixture.add("first", { priority: 0 });
  fixture.add("second", { priority: 0 });
  await fixture.clock.advance(1_000);
  const order = fixture.ends.map((end) => end.id).slice(2);
  assert.equal(order, ["first", "second", "late"]);
});

test("a shared prefix is computed once, but a request's last input token always is", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.add("a", { prompt: composeWords(32), maxTokens: 1 });
  await fixture.clock.advance(100);
  const again = fixture.add("b", { prompt: composeWords(32), maxTokens: 1 });
  const longer = fixture.add("c", { prompt: composeWords(40), maxTokens: 1 });
  await fixture.clock.advance(100);
  assert.equal([again.cachedTokens, again.computedTokens], [31, 1]);
  assert.equal([longer.cachedTokens, longer.computedTokens], [32, 8]);
});

test("cache memory is bounded and the least recently used prefix is evicted first", async () => {
  const fixture = await SchedulerFixture.open();
  for (const prefix of ["a", "b", "a", "c"]) {
    fixture.add(prefix, { prompt: composeWords(64, prefix), maxTokens: 1 });
    await fixture.clock.advance(200);
    assert.ok(fixture.cache.size <= 10);
  }
  const kept = fixture.add("a2", {
    prompt: composeWords(64, "a"),
    maxTokens: 1,
  });
  await fixture.clock.advance(200);
  assert.is(kept.cachedTokens, 63);
  const evicted = fixture.add("b2", {
    prompt: composeWords(64, "b"),
    maxTokens: 1,
  });
  await fixture.clock.advance(200);
  assert.ok(evicted.cachedTokens < 63);
});

test("the end of an idle prefix is evicted before its beginning", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.add("a", { prompt: composeWords(64, "a"), maxTokens: 1 });
  await fixture.clock.advance(200);
  fixture.add("b", { prompt: composeWords(128, "b"), maxTokens: 1 });
  await fixture.clock.advance(200);
  const again = fixture.add("a2", {
    prompt: composeWords(64, "a"),
    maxTokens: 1,
  });
  await fixture.clock.advance(200);
  assert.is(again.cachedTokens, 32);
});

test("the next turn of a chat finds the earlier prompt and output cached", async () => {
  for (const separator of [" ", "\n"]) {
    const fixture = await SchedulerFixture.open();
    const prompt = composeWords(30) + (separator === " " ? "" : separator);
    fixture.add("a", { prompt, maxTokens: 34 });
    await fixture.clock.advance(1_000);
    const answer = fixture.readTexts("a").join("");
    const turn = composeWords(30) + separator + answer + " and a new question";
    const next = fixture.add("b", { prompt: turn, maxTokens: 1 });
    await fixture.clock.advance(1_000);
    const whole = 30 + fixture.readTexts("a").length;
    assert.is(next.cachedTokens, whole - whole % 16);
    assert.ok(next.cachedTokens > 32);
  }
});

test("a request stays queued while running ones fill the cache memory", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.add("a", { prompt: composeWords(128, "a"), maxTokens: 2 });
  const second = fixture.add("b", {
    prompt: composeWords(128, "b"),
    maxTokens: 1,
  });
  await fixture.clock.advance(130);
  assert.is(second.times.startedAt, undefined);
  await fixture.clock.advance(500);
  assert.is(fixture.ends.length, 2);
});

test("a resumed request computes its earlier tokens as input and continues their index", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.add("a", { maxTokens: 6 });
  await fixture.clock.advance(200);
  const tokens = fixture.readTexts("a");
  const resumed = fixture.add("b", {
    maxTokens: 6,
    tokensSoFar: tokens.slice(0, 4),
  });
  await fixture.clock.advance(200);
  const rest = fixture.sent.get("b")!.map((sent) => sent.lines).join("");
  assert.is(resumed.computedTokens, 14);
  assert.is(
    rest.split("\n")[0],
    `{"kind":"token","index":4,"text":"${tokens[4]}"}`,
  );
  assert.is(resumed.outputTokens, 2);
});

test("a cancelled request ends at once and frees its slot", async () => {
  const fixture = await SchedulerFixture.open();
  const first = fixture.add("a", { maxTokens: 200 });
  fixture.add("b", { maxTokens: 200 });
  const waiting = fixture.add("c", { maxTokens: 1 });
  await fixture.clock.advance(20);
  fixture.scheduler.cancel(first);
  fixture.scheduler.cancel(first);
  await fixture.clock.advance(40);
  assert.ok(waiting.hasEnded);
  assert.is(fixture.ends.filter((end) => end.id === "a").length, 1);
  assert.match(fixture.sent.get("a")!.at(-1)!.lines, '"reason":"cancelled"');
});

test("a frozen engine sends nothing and continues after the thaw without a burst", async () => {
  const fixture = await SchedulerFixture.open();
  fixture.add("a");
  await fixture.clock.advance(15);
  fixture.faults.apply({ frozen: true });
  await fixture.clock.advance(1_000);
  assert.equal(fixture.listSendTimes("a"), [10]);
  fixture.faults.apply({ frozen: false });
  await fixture.clock.advance(100);
  assert.equal(fixture.listSendTimes("a"), [10, 1_015, 1_026]);
});

test("with random cancellations, streams are correct and cache memory is unpinned", async () => {
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
      const fixture = await SchedulerFixture.open();
      const added: Generation[] = [];
      for (const { prefix, words: count, waitMs, cancels, ...rest } of steps) {
        const prompt = composeWords(count, prefix);
        added.push(fixture.add(`g${added.length}`, { prompt, ...rest }));
        await fixture.clock.advance(waitMs);
        const cancelled = cancels === null ? undefined : added.at(-cancels);
        if (cancelled !== undefined) fixture.scheduler.cancel(cancelled);
      }
      await fixture.clock.advance(60_000);
      assert.is(fixture.ends.length, added.length);
      assert.is(fixture.cache.pinnedSize, 0);
      assert.ok(fixture.cache.size <= fixture.cache.capacity);
      for (const { request, hasEnded } of added) {
        assert.ok(hasEnded);
        fixture.checkTokens(request);
      }
    }),
    { seed: 1, numRuns: 60 },
  );
});

test.run();

/**
 * Who is read next while more arrives than can be read, on a driven clock: a small
 * request beside many senders without end.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Clock } from "./clock.ts";
import { type ReadSource, type ReadTurn, ReadTurns } from "./read_turns.ts";

/** A clock that only work advances. */
class WorkClock implements Clock {
  #now = 0;

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  sleep(): Promise<void> {
    return Promise.resolve();
  }

  work(ms: number): void {
    this.#now += ms;
  }
}

/** Turns that a test runs one by one, on a clock that only work advances. */
class DrivenTurns {
  readonly clock = new WorkClock();
  readonly turns: ReadTurns;
  #next: (() => void) | undefined;

  private constructor(maxWaiting: number | undefined) {
    this.turns = ReadTurns.create({
      clock: this.clock,
      ...(maxWaiting === undefined ? {} : { maxWaiting }),
      schedule: (run) => this.#next = run,
    });
  }

  static create(maxWaiting?: number): DrivenTurns {
    return new DrivenTurns(maxWaiting);
  }

  /** Runs the next turn; false if there is none. */
  run(): boolean {
    const run = this.#next;
    this.#next = undefined;
    run?.();
    return run !== undefined;
  }
}

/** A connection that holds some parts, each of which takes some time to read. */
class Sender implements ReadSource {
  readonly turn: ReadTurn;
  isGivenUp = false;
  readParts = 0;
  /** Time at which its last part was read. */
  endedAt = Infinity;
  readonly #clock: WorkClock;
  readonly #partMs: number;
  #parts: number;

  constructor(driven: DrivenTurns, parts: number, partMs: number) {
    this.turn = driven.turns.open("callers");
    this.#clock = driven.clock;
    this.#parts = parts;
    this.#partMs = partMs;
  }

  /** Reads a part at once if it may, and waits for the rest. */
  receive(): void {
    if (this.turn.takeAtOnce()) this.readPart();
    if (this.#parts > 0) this.turn.wait(this);
  }

  readPart(): "more" | "none" {
    this.turn.run(() => this.#clock.work(this.#partMs));
    this.#parts -= 1;
    this.readParts += 1;
    if (this.#parts > 0) return "more";
    this.endedAt = this.#clock.now();
    return "none";
  }

  giveUp(): void {
    this.isGivenUp = true;
  }
}

const flood = 1e6;

// Guards against one thread that reads what some send without end, and nothing else.
test("a small request is read before those who send without end", () => {
  const driven = DrivenTurns.create();
  const senders = Array.from(
    { length: 100 },
    () => new Sender(driven, flood, 1),
  );
  for (const sender of senders) sender.receive();
  for (let turn = 0; turn < 1_000; turn += 1) driven.run();
  const small = new Sender(driven, 3, 1);
  const from = driven.clock.now();
  small.receive();
  while (small.endedAt === Infinity) assert.ok(driven.run());
  assert.ok(small.endedAt - from < 10, `${small.endedAt - from} ms`);
  const parts = senders.map(({ readParts }) => readParts);
  assert.ok(Math.min(...parts) > 0, "none is left out");
  assert.ok(Math.max(...parts) < 2 * Math.min(...parts), "none has more");
});

// Guards against connections that are new each time, and so cost nothing yet.
test("between two turns only some parts are read at once", () => {
  const driven = DrivenTurns.create(10_000);
  for (let at = 0; at < 3_000; at += 1) new Sender(driven, 1, 1).receive();
  assert.ok(driven.clock.now() < 100, `${driven.clock.now()} ms`);
  driven.run();
  assert.ok(driven.clock.now() < 100, `${driven.clock.now()} ms`);
});

// Guards against a turn that keeps timers and peers waiting.
test("a turn ends soon, however much waits", () => {
  const driven = DrivenTurns.create();
  for (let at = 0; at < 100; at += 1) new Sender(driven, flood, 1).receive();
  const from = driven.clock.now();
  driven.run();
  assert.ok(driven.clock.now() - from <= 3);
  assert.ok(driven.run(), "the next one follows");
});

// Guards against bytes that wait at more connections than the memory holds.
test("when too many wait, the most expensive one is given up", () => {
  const driven = DrivenTurns.create(2);
  const large = new Sender(driven, flood, 3);
  large.receive();
  for (let turn = 0; turn < 10; turn += 1) driven.run();
  const others = [1, 2].map(() => new Sender(driven, flood, 1));
  for (const other of others) other.receive();
  assert.ok(large.isGivenUp);
  assert.not(others.some(({ isGivenUp }) => isGivenUp));
  assert.is(driven.turns.givenUp, 1);
});

// Guards against one tenant whose many connections take the time of all others.
test("the connections of a cheap tenant go before those of an expensive one", () => {
  const driven = DrivenTurns.create();
  const open = (tenant: string) => {
    const sender = new Sender(driven, flood, 1);
    sender.turn.joinGroup(tenant);
    return sender;
  };
  const many = Array.from({ length: 50 }, () => open("large"));
  const few = [open("small"), open("small")];
  for (const sender of [...many, ...few]) sender.receive();
  for (let turn = 0; turn < 2_000; turn += 1) driven.run();
  const sum = (senders: readonly Sender[]) =>
    senders.reduce((parts, { readParts }) => parts + readParts, 0);
  const share = sum(few) / (sum(few) + sum(many));
  assert.ok(share > 0.4, `${share} of the parts`);
});

test.run();

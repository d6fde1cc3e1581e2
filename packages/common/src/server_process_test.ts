/**
 * Decisions of a server process on a clock and with signals driven by hand.
 */

import { EventEmitter } from "node:events";
import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { openWhenFree } from "./address_wait.ts";
import { LogOutput } from "./log_output.ts";
import { createSilentLog } from "./logs.ts";
import { ManualClock } from "./manual_clock.ts";
import { ProcessSignals } from "./process_signals.ts";
import { runServerProcess } from "./server_process.ts";

const log = createSilentLog();

/** Runs a server whose drain ends when the test says so. */
function startProcess(
  open: () => Promise<string> = () => Promise.resolve("server"),
) {
  const source = new EventEmitter();
  const drains: (() => void)[] = [];
  const code = runServerProcess({
    signals: ProcessSignals.create({ source, log }),
    errors: source,
    log,
    open,
    drain: () => new Promise<void>((resolve) => drains.push(resolve)),
  });
  return { source, drains, code };
}

const nextTurn = () => new Promise((resolve) => setImmediate(resolve));

test("signals to stop in series drain once", async () => {
  const { source, drains, code } = startProcess();
  await nextTurn();
  for (const signal of ["SIGTERM", "SIGTERM", "SIGINT", "SIGHUP"]) {
    source.emit(signal, signal);
    await nextTurn();
  }
  assert.is(drains.length, 1);
  source.emit("SIGTERM", "SIGTERM");
  drains[0]?.();
  assert.is(await code, 0);
});

test("an error that nothing catches drains, and the code tells of it", async () => {
  const { source, drains, code } = startProcess();
  await nextTurn();
  source.emit("uncaughtException", new Error("odd"), "uncaughtException");
  source.emit("uncaughtException", "odd, too", "unhandledRejection");
  await nextTurn();
  assert.is(drains.length, 1);
  drains[0]?.();
  assert.is(await code, 1);
});

test("an error while a server drains by a signal cuts nothing", async () => {
  const { source, drains, code } = startProcess();
  await nextTurn();
  source.emit("SIGTERM", "SIGTERM");
  await nextTurn();
  source.emit("uncaughtException", new Error("odd"), "uncaughtException");
  await nextTurn();
  assert.is(drains.length, 1);
  drains[0]?.();
  assert.is(await code, 1);
});

test("a start that fails ends with code 1, one that is stopped with 0", async () => {
  const failed = startProcess(() => Promise.reject(new Error("no port")));
  assert.is(await failed.code, 1);
  const stopped = startProcess(() => new Promise<string>(() => {}));
  stopped.source.emit("SIGTERM", "SIGTERM");
  assert.is(await stopped.code, 0);
});

test("a signal that came before counts", async () => {
  const source = new EventEmitter();
  const early = ["SIGHUP", "SIGTERM"];
  const signals = ProcessSignals.create({ source, log, early });
  assert.is(await signals.waitForStop(), "SIGTERM");
});

test("signals say when the settings may have changed", () => {
  const source = new EventEmitter();
  const signals = ProcessSignals.create({ source, log });
  let reloads = 0;
  signals.onReload(() => reloads += 1);
  for (const signal of ["SIGHUP", "SIGUSR1", "SIGUSR2", "SIGHUP"]) {
    assert.ok(source.emit(signal, signal), signal);
  }
  assert.is(reloads, 2);
});

/** A stream that keeps what it is given until `release` is called. */
function createSlowStream() {
  const written: string[] = [];
  const waiting: (() => void)[] = [];
  const stream = new Writable({
    write: (chunk, _encoding, done) => {
      written.push(String(chunk));
      waiting.push(done);
    },
  });
  return { stream, written, release: () => waiting.shift()?.() };
}

test("lines that wait for their reader are bounded, and their loss is told", async () => {
  const { stream, written, release } = createSlowStream();
  const output = LogOutput.create(stream);
  const line = `${"x".repeat(999)}\n`;
  for (let at = 0; at < 1_000; at += 1) output.write(line);
  assert.ok(stream.writableLength <= 264_000, `${stream.writableLength}`);
  while (stream.writableLength > 0) {
    release();
    await nextTurn();
  }
  output.write("on\n");
  for (let at = 0; at < 3; at += 1) {
    release();
    await nextTurn();
  }
  assert.match(written.at(-2) ?? "", /"lines":7\d\d/);
  assert.is(written.at(-1), "on\n");
});

test("an output whose reader has gone takes lines and throws nothing", async () => {
  const stream = new Writable({
    write: (_chunk, _encoding, done) => done(new Error("EPIPE")),
  });
  const output = LogOutput.create(stream);
  output.write("a\n");
  await nextTurn();
  output.write("b\n");
  await output.flush(1_000);
});

/** An opener that fails with an error code a number of times. */
function createOpener(code: string, failures: number): () => Promise<string> {
  let left = failures;
  return () => {
    left -= 1;
    const error = Object.assign(new Error(code), { code });
    return left >= 0 ? Promise.reject(error) : Promise.resolve("open");
  };
}

test("a held address is waited for, up to a bound", async () => {
  const clock = ManualClock.create();
  const options = { clock, log, listener: "callers" };
  const opened = openWhenFree(createOpener("EADDRINUSE", 15), options);
  await clock.advance(1_600);
  assert.is(await opened, "open");
  const failed = openWhenFree(createOpener("EADDRINUSE", 1_000), options)
    .catch(({ code }) => code);
  await clock.advance(31_000);
  assert.is(await failed, "EADDRINUSE");
  const refused = openWhenFree(createOpener("EACCES", 1), options)
    .catch(({ code }) => code);
  assert.is(await refused, "EACCES");
});

test.run();

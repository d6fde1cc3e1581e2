import { test } from "uvu";
import * as assert from "uvu/assert";
import { type LogFields, type LogOptions, TslogLog } from "./logs.ts";

/** Creates a log and the list of the lines that it writes. */
function createLog(
  options: Pick<LogOptions, "level" | "format">,
): { readonly log: TslogLog; readonly lines: string[] } {
  const lines: string[] = [];
  const write = (line: string): void => void lines.push(line);
  return { log: TslogLog.create("relay", { ...options, write }), lines };
}

const fields: LogFields = {
  request: "r1",
  afterMs: 1.5,
  isMoved: false,
  reason: undefined,
  tenant: null,
};

test("a line in JSON has time, level, part, message and the given fields", () => {
  const { log, lines } = createLog({ level: "info", format: "json" });
  log.warn("request refused.", fields);
  const { time, ...line } = JSON.parse(lines[0] ?? "");
  assert.ok(Math.abs(Date.parse(time) - Date.now()) < 60_000);
  assert.equal(line, {
    level: "warn",
    part: "relay",
    message: "request refused.",
    request: "r1",
    afterMs: 1.5,
    isMoved: false,
    tenant: null,
  });
});

test("a line of text has the same in one row", () => {
  const { log, lines } = createLog({ level: "info", format: "text" });
  log.createChild("feed").info("replicas changed.", fields);
  const [time = "", ...rest] = (lines[0] ?? "").split(" ");
  assert.ok(Number.isFinite(Date.parse(time)));
  assert.is(
    rest.join(" "),
    'INFO  feed: replicas changed. request="r1" afterMs=1.5 isMoved=false tenant=null',
  );
});

test("lines below the level are dropped, also those of children", () => {
  const { log, lines } = createLog({ level: "warn", format: "json" });
  for (const each of [log, log.createChild("feed")]) {
    each.debug("a");
    each.info("b");
    each.warn("c");
    each.error("d");
  }
  const levels = lines.map((line) => JSON.parse(line).level);
  assert.equal(levels, ["warn", "error", "warn", "error"]);
});

test("the fields of a line are not changed", () => {
  const { log, lines } = createLog({ level: "info", format: "json" });
  const frozen = Object.freeze({ request: "r1" });
  log.info("request answered.", frozen);
  log.info("request answered.", frozen);
  assert.is(lines.length, 2);
  assert.equal(frozen, { request: "r1" });
});

test.run();

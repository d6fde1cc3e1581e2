/**
 * Measures the CPU time and size of a log line, as a gateway node writes it.
 *
 * Usage: node --import tsx packages/bench/src/log_cost.ts
 */

import { openSync, writeSync } from "node:fs";
import process from "node:process";
import { TslogLog } from "@almondcrank/common/logs.ts";

const lineCount = 20_000;
const microsPerMilli = 1_000;
const sink = openSync("/dev/null", "w");
let bytes = 0;

const log = TslogLog.create("relay", {
  level: "info",
  format: "json",
  write: (line) => {
    bytes += line.length + 1;
    writeSync(sink, `${line}\n`);
  },
});

/** Writes the line that the relay logs when it has chosen a replica. */
function writeLine(index: number): void {
  log.info("replica chosen.", {
    request: `request-${index}`,
    afterMs: 1,
    replica: "i-7f3a91c2",
    predictedMs: 120,
    uncachedTokens: 5_382,
    active: 7,
    pendingTokens: 12_000,
    slowness: 1.04,
  });
}

for (let index = 0; index < lineCount / 10; index += 1) writeLine(index);
bytes = 0;
const start = process.cpuUsage();
for (let index = 0; index < lineCount; index += 1) writeLine(index);
const used = process.cpuUsage(start);
const micros = (used.user + used.system) / lineCount;
process.stdout.write(
  `${micros.toFixed(1)} us and ${
    Math.round(bytes / lineCount)
  } bytes a line; a node that writes 50 lines a second uses ${
    (micros * 50 / microsPerMilli / 10).toFixed(2)
  } % of a core\n`,
);

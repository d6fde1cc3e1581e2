/**
 * Measures the CPU time of one `standin` process for streamed tokens and for reads
 * of the object API.
 *
 * Usage: measure_standin.mjs [ENGINES] [SLOTS] [SECONDS], after `npm run bundle`.
 */

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Agent, request } from "undici";

const [engines = 13, slots = 16, seconds = 8] = process.argv.slice(2)
  .map(Number);
const warmUpMs = 2_000;
/** Concurrent readers of the object API. */
const readers = 32;
/** Unit of CPU times in `/proc`. */
const ticksPerSecond = 100;
const lineFeed = 10;
const firstPort = 7_201;
const storeAddress = "127.0.0.1:7200";
const decode = { decodeBaseMs: 12, decodePerRequestMs: 0.5 };
const bytesPerKilobyte = 1_024;

function createSettings() {
  return {
    seed: 1,
    objectApi: {
      address: storeAddress,
      readsPerSecond: 1_000_000,
      writesPerSecond: 1_000_000,
    },
    engines: Array.from({ length: engines }, (_, index) => ({
      name: `engine-${index}`,
      address: `127.0.0.1:${firstPort + index}`,
      slots,
      ...decode,
      prefillTokensPerSecond: 50_000,
      models: [{ model: "m", version: "1" }],
    })),
  };
}

/** Starts the stand-ins; resolves at their first output, when they are ready. */
async function startStandin(folder) {
  const file = join(folder, "settings.jsonc");
  writeFileSync(file, JSON.stringify(createSettings()));
  const child = spawn(process.execPath, [
    "dist/standin.cjs",
    "--settings",
    file,
  ], { stdio: ["ignore", "pipe", "inherit"] });
  await new Promise((resolve) => child.stdout.once("data", resolve));
  return child;
}

/** Reads the user and system time that a process has used. */
function readCpuSeconds(pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]
    .split(" ");
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

/** Runs `work` in concurrent loops and measures `child` after a warm-up. */
async function measure(child, loops, work) {
  const counts = { events: 0, gaps: [] };
  const agent = new Agent({ connections: null });
  let isStopped = false;
  const runLoop = async (index) => {
    while (!isStopped) await work({ index, agent, counts });
  };
  const running = Array.from({ length: loops }, (_, index) => runLoop(index));
  await new Promise((resolve) => setTimeout(resolve, warmUpMs));
  counts.events = 0;
  counts.gaps.length = 0;
  const cpu = readCpuSeconds(child.pid);
  const start = performance.now();
  await new Promise((resolve) => setTimeout(resolve, seconds * 1_000));
  const elapsed = (performance.now() - start) / 1_000;
  const cpuSeconds = readCpuSeconds(child.pid) - cpu;
  const { events } = counts;
  const gaps = [...counts.gaps].sort((a, b) => a - b);
  isStopped = true;
  await Promise.all(running);
  await agent.close();
  return {
    perSecond: Math.round(events / elapsed),
    cores: Number((cpuSeconds / elapsed).toFixed(2)),
    microsecondsEach: Number((cpuSeconds / events * 1e6).toFixed(1)),
    gapP50Ms: gaps[Math.floor(gaps.length * 0.5)]?.toFixed(1),
    gapP99Ms: gaps[Math.floor(gaps.length * 0.99)]?.toFixed(1),
  };
}

let nextId = 0;

/** Streams one generation; counts tokens and the mean gap within each chunk. */
async function streamTokens({ index, agent, counts }) {
  const id = nextId++;
  const port = firstPort + index % engines;
  const answer = await request(`http://127.0.0.1:${port}/generate`, {
    method: "POST",
    dispatcher: agent,
    body: JSON.stringify({
      id: `g${id}`,
      model: "m",
      prompt: `question ${id} with a few words to answer`,
      tokensSoFar: [],
      maxTokens: 512,
      priority: 0,
      remainingMs: 60_000,
    }),
  });
  let last;
  for await (const chunk of answer.body) {
    let events = 0;
    for (const byte of chunk) if (byte === lineFeed) events++;
    counts.events += events;
    const now = performance.now();
    if (last !== undefined) counts.gaps.push((now - last) / events);
    last = now;
  }
}

/** Reads one object. */
async function readObject({ agent, counts }) {
  const answer = await request(`http://${storeAddress}/objects/a`, {
    dispatcher: agent,
  });
  await answer.body.dump();
  counts.events += 1;
}

const folder = mkdtempSync(join(tmpdir(), "standin-"));
const child = await startStandin(folder);
try {
  await request(`http://${storeAddress}/objects/a`, {
    method: "PUT",
    headers: { "if-none-match": "*" },
    body: '{"note":"a small object"}',
  });
  const tokens = await measure(child, engines * slots, streamTokens);
  const statedPerSecond = Math.round(
    engines * slots * 1_000 /
      (decode.decodeBaseMs + decode.decodePerRequestMs * slots),
  );
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  const megabytes = Math.round(kilobytes / bytesPerKilobyte);
  const reads = await measure(child, readers, readObject);
  console.log({ engines, slots, seconds, statedPerSecond });
  console.log("tokens", { ...tokens, megabytes });
  console.log("reads", reads);
} finally {
  child.kill("SIGTERM");
  rmSync(folder, { recursive: true });
}

/**
 * Measures the time that a node adds to the time to first token.
 *
 * Runs one node and four engines as processes on loopback. Arrivals are open-loop;
 * every other request goes through the node, the others directly to an engine,
 * with prompts of the same length that are in no cache. Prints the percentiles of
 * both and their differences.
 *
 * Usage: node --import tsx packages/bench/src/added_first_token.ts
 *   [--rate 60] [--seconds 30] [--seed 1]
 */

import process from "node:process";
import { parseArgs } from "node:util";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { computeArrivals } from "@almondcrank/load/arrivals.ts";
import { readServerSentEvents } from "@almondcrank/load/sse_reader.ts";
import { Random } from "@almondcrank/common/random.ts";
import { formatTable } from "@almondcrank/common/text_table.ts";
import { formatTeamKey, model } from "@almondcrank/scenario/fleet_settings.ts";
import { RunningFleet } from "@almondcrank/scenario/running_fleet.ts";

const engines = 4;
const outputTokens = 8;
const promptWords = 64;
const warmUpMs = 3_000;
const millisecondsPerSecond = 1_000;
const microsecondsPerMillisecond = 1_000;

/** The engines are fast, so that their time doesn't hide the node's. */
const engineSettings = {
  slots: 64,
  decodeBaseMs: 1,
  decodePerRequestMs: 0,
  prefillTokensPerSecond: 1_000_000,
};

const { values } = parseArgs({
  options: {
    rate: { type: "string", default: "60" },
    seconds: { type: "string", default: "30" },
    seed: { type: "string", default: "1" },
  },
});
const agent = new Agent({ connections: null, pipelining: 1 });

/** Creates a prompt that shares no prefix with those of other requests. */
function createPrompt(requestIndex: number): string {
  const words = Array.from(
    { length: promptWords },
    (_, index) => `w${requestIndex}x${index}`,
  );
  return words.join(" ");
}

/** Measures the time to first token through the node, in milliseconds. */
async function measureNode(
  address: string,
  prompt: string,
  dueAt: number,
): Promise<number> {
  const answer = await request(`http://${address}/v1/chat/completions`, {
    method: "POST",
    dispatcher: agent,
    headers: { authorization: `Bearer ${formatTeamKey("counter")}` },
    body: JSON.stringify({
      model: "assistant",
      messages: [{ role: "user", content: prompt }],
      max_tokens: outputTokens,
      stream: true,
    }),
  });
  let first = NaN;
  for await (const { id } of readServerSentEvents(answer.body)) {
    if (id !== undefined && Number.isNaN(first)) {
      first = performance.now() - dueAt;
    }
  }
  return first;
}

/** Measures the time to first token of an engine, in milliseconds. */
async function measureDirect(
  address: string,
  prompt: string,
  dueAt: number,
): Promise<number> {
  const answer = await request(`http://${address}/generate`, {
    method: "POST",
    dispatcher: agent,
    body: JSON.stringify({
      id: prompt.slice(0, promptWords),
      model,
      prompt: `<user> ${prompt}\n<assistant>`,
      tokensSoFar: [],
      maxTokens: outputTokens,
      priority: 0,
      remainingMs: 30_000,
    }),
  });
  let first = NaN;
  for await (const _chunk of answer.body) {
    if (Number.isNaN(first)) first = performance.now() - dueAt;
  }
  return first;
}

function createHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3 });
}

/** Runs the load; returns the latencies through the node and without it. */
async function run(fleet: RunningFleet): Promise<readonly Histogram[]> {
  const random = Random.create(Number(values.seed));
  const rate = 2 * Number(values.rate);
  const durationMs = warmUpMs + Number(values.seconds) * millisecondsPerSecond;
  const arrivals = computeArrivals(
    [{ fromRate: rate, toRate: rate, durationMs }],
    random,
  );
  const histograms = [createHistogram(), createHistogram()];
  const node = fleet.findAddresses(1).callers;
  const started = performance.now();
  const running: Promise<void>[] = [];
  for (const [index, arrival] of arrivals.entries()) {
    const dueAt = started + arrival;
    const wait = dueAt - performance.now();
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
    const prompt = createPrompt(index);
    const engine = fleet.addresses.engines[index % engines] ?? "";
    const histogramIndex = index % 2;
    const measured = histogramIndex === 0
      ? measureNode(node, prompt, dueAt)
      : measureDirect(engine, prompt, dueAt);
    running.push(measured.then((ms) => {
      if (arrival < warmUpMs) return;
      histograms[histogramIndex]?.recordValue(
        // A timer may fire a fraction of a millisecond before it is due.
        Math.max(0, Math.round(ms * microsecondsPerMillisecond)),
      );
    }));
  }
  await Promise.all(running);
  return histograms;
}

function formatMs(micros: number): string {
  return (micros / microsecondsPerMillisecond).toFixed(2);
}

const fleet = await RunningFleet.open(
  { nodes: 1, engines, bookings: 1, zones: 1, engineSettings },
  Number(values.seed),
);
try {
  const [node, direct] = await run(fleet);
  if (node === undefined || direct === undefined) throw new Error("no result");
  const rows = [50, 95, 99].map((percentile) => {
    const throughNode = node.getValueAtPercentile(percentile);
    const withoutNode = direct.getValueAtPercentile(percentile);
    return [
      `p${percentile}`,
      formatMs(throughNode),
      formatMs(withoutNode),
      formatMs(throughNode - withoutNode),
    ];
  });
  process.stdout.write(
    `${
      formatTable(["ms", "through the node", "direct", "added"], rows)
    }\nrequests ${node.totalCount} and ${direct.totalCount}, ${values.rate}/s each, seed ${values.seed}\n`,
  );
} finally {
  await fleet.close();
  await agent.close();
}

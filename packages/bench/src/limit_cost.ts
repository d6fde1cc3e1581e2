/**
 * Processor time of what each request and each report costs for the limits that
 * replicas name and for the quarantine of whole requests, at the size to design for.
 *
 * Run: `node --import tsx packages/bench/src/limit_cost.ts`
 */

import { deflateRawSync } from "node:zlib";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { LimitShares } from "@almondcrank/routing/limits/limit_shares.ts";
import { RequestLimit } from "@almondcrank/routing/limits/request_limit.ts";
import { computeFingerprint } from "@almondcrank/routing/quarantine/request_fingerprint.ts";

const nodeCount = 390;
const limitedCount = 64;
const bodyBytes = 4_096;
const rounds = 2_000;

const hasher = await openHasher();

/** Mean time of one call in microseconds. */
function measure(count: number, run: (round: number) => void): number {
  for (let round = 0; round < count / 10; round += 1) run(round);
  const startedAt = performance.now();
  for (let round = 0; round < count; round += 1) run(round);
  return (performance.now() - startedAt) * 1_000 / count;
}

function createLimits(): ReadonlyMap<string, RequestLimit> {
  return new Map(
    Array.from({ length: limitedCount }, (_, at) => {
      const limit = RequestLimit.create();
      limit.recordAnswer(1 + at / 10, { sentAt: 0, now: 0 });
      return [`i-${(at + 1) * 7_919_393}/1764850000000`, limit];
    }),
  );
}

function writeLine(text: string, micros: number): void {
  console.log(`${text}: ${micros.toFixed(1)} µs`);
}

const names = Array.from({ length: nodeCount }, (_, at) => `edge-muc-${at}`);
const limits = createLimits();
const shares = LimitShares.create(names[7] ?? "", hasher);
const applyAll = (now: number): void => {
  for (const [key, limit] of limits) shares.apply(key, limit, now);
};
shares.setNodes(names);
writeLine(
  `a round of ${limitedCount} limits, same nodes`,
  measure(rounds, (round) => {
    shares.setNodes(names);
    applyAll(round);
  }),
);
writeLine(
  `the same after a node came or went`,
  measure(rounds / 20, (round) => {
    shares.setNodes(names.slice(round % 2));
    applyAll(round);
  }),
);
const [first] = limits.values();
if (first !== undefined) {
  writeLine(
    "a look at one limit and a charge",
    measure(rounds * 100, (round) => {
      if (first.isOpen(round)) first.charge(round);
    }),
  );
}
const body = new Uint8Array(bodyBytes).fill(7);
writeLine(
  `the fingerprint of a request of ${bodyBytes} bytes`,
  measure(rounds * 10, () => {
    computeFingerprint(hasher, {
      caller: "garages",
      method: "POST",
      host: "slots.example",
      path: "/book/17",
      body,
    });
  }),
);
const told = [...limits].map(([key, { perSecond }]) => [key, perSecond, 120]);
const bytes = deflateRawSync(JSON.stringify(told)).length;
console.log(`${limitedCount} limits in a report: ${bytes} bytes compressed`);

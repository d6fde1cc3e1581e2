/**
 * Measures the time and memory of one choice among many replicas.
 *
 * Usage: node --import tsx packages/bench/src/choice_time.ts [SEED]
 *
 * Conversations share system prompts and recur; load reports have an age. The time
 * includes the choice and the recording of the send, but not the hashing of the
 * prompt, which is measured separately.
 */

import process from "node:process";
import { build } from "hdr-histogram-js";
import {
  type Configuration,
  emptyConfiguration,
  type Endpoint,
} from "@almondcrank/common/configuration.ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { Random } from "@almondcrank/common/random.ts";
import { computeBlockHashes } from "@almondcrank/endpoint/tokens.ts";
import { LoadTable } from "@almondcrank/routing/choice/load_table.ts";
import { PrefixIndex } from "@almondcrank/routing/choice/prefix_index.ts";
import {
  type ChoicePolicy,
  ReplicaChooser,
} from "@almondcrank/routing/choice/replica_chooser.ts";
import { ReplicaDirectory } from "@almondcrank/routing/choice/service_replicas.ts";

const replicaCount = 5_500;
const zoneCount = 16;
const decisions = 60_000;
const warmUpDecisions = 10_000;
const conversations = 4_000;
const systemPrompts = 20;
const systemTokens = 512;
const turnTokens = 160;
const maxTurns = 8;

const seed = Number(process.argv[2] ?? 1);
const random = Random.create(seed);
const hasher = await openHasher();
const clock = SystemClock.create();

function createEndpoints(): readonly Endpoint[] {
  return Array.from({ length: replicaCount }, (_, i) => ({
    name: `assistant-${i}`,
    service: "assistant",
    address: `10.${i >> 16}.${(i >> 8) & 255}.${i & 255}:8000`,
    host: `host-${i}`,
    zone: `zone-${i % zoneCount}`,
    machineClass: "a",
    market: i % 100 < 64 ? "reclaimable" : "on_demand",
    checksFencing: true,
  }));
}

function createTokens(count: number, name: string): string[] {
  return Array.from({ length: count }, (_, i) => ` ${name}${i}`);
}

/** Creates the chains of block hashes of all conversations. */
function createChains(): (readonly number[])[] {
  const chains: (readonly number[])[] = [];
  for (let i = 0; i < conversations; i++) {
    const system = createTokens(systemTokens, `s${i % systemPrompts}-`);
    const turns = 1 + random.nextInt(maxTurns);
    const own = createTokens(turns * turnTokens, `c${i}-`);
    chains.push(computeBlockHashes(hasher, [...system, ...own]));
  }
  return chains;
}

/** Records a random load for each endpoint. */
function recordLoads(loads: LoadTable, endpoints: readonly Endpoint[]): void {
  for (const { name } of endpoints) {
    loads.record({
      endpoint: name,
      ageMs: random.nextInt(1_000),
      queued: random.nextInt(3),
      running: random.nextInt(8),
      slots: 8,
      queuedTokens: random.nextInt(2_000),
      prefillTokensPerSecond: 8_000,
      betweenTokensMs: 12 + random.nextInt(10),
      reachable: true,
    });
  }
}

/** Measures one policy and prints its figures. */
function measure(policy: ChoicePolicy["kind"]): void {
  const endpoints = createEndpoints();
  const configuration: Configuration = { ...emptyConfiguration, endpoints };
  const before = process.memoryUsage();
  const loads = LoadTable.create({ clock });
  loads.apply(endpoints);
  const prefixes = PrefixIndex.create();
  const directory = ReplicaDirectory.create({
    current: () => configuration,
  }, hasher);
  const chooser = ReplicaChooser.create({
    policy: { kind: policy },
    directory,
    loads,
    prefixes,
    clock,
    random,
  });
  directory.find("assistant");
  recordLoads(loads, endpoints);
  const chains = createChains();
  const times = build({ highestTrackableValue: 1_000_000_000 });
  for (let i = 0; i < warmUpDecisions + decisions; i++) {
    const chain = random.choose(chains);
    const started = process.hrtime.bigint();
    const choice = chooser.choose({
      service: "assistant",
      chain,
      inputTokens: chain.length * 16,
      outputTokens: 128,
      betweenTokensMs: 32,
    });
    if (choice === undefined) throw new Error("no replica");
    const { endpoint, cachedTokens } = choice;
    loads.recordSend(endpoint.name, chain.length * 16 - cachedTokens);
    prefixes.recordSend(chain, endpoint.name);
    const elapsed = Number(process.hrtime.bigint() - started);
    loads.recordEnd(endpoint.name);
    if (i >= warmUpDecisions) times.recordValue(elapsed);
  }
  const after = process.memoryUsage();
  const micros = (percentile: number): string =>
    (times.getValueAtPercentile(percentile) / 1_000).toFixed(1);
  const heap = (after.heapUsed - before.heapUsed) / 1e6;
  const buffers = (after.arrayBuffers - before.arrayBuffers) / 1e6;
  process.stdout.write(
    `${policy.padEnd(12)} p50 ${micros(50)} us, p99 ${micros(99)} us, ` +
      `p99.9 ${micros(99.9)} us; prefix index ` +
      `${(prefixes.byteLength / 1e6).toFixed(1)} MB; heap +${
        heap.toFixed(1)
      } MB, ` +
      `buffers +${buffers.toFixed(1)} MB\n`,
  );
}

/** Measures the hashing of a prompt and prints its time. */
function measureHashing(): void {
  const tokens = createTokens(systemTokens + 4 * turnTokens, "h");
  const rounds = 2_000;
  const started = process.hrtime.bigint();
  for (let i = 0; i < rounds; i++) computeBlockHashes(hasher, tokens);
  const elapsed = Number(process.hrtime.bigint() - started) / rounds / 1_000;
  process.stdout.write(
    `hashing ${tokens.length} tokens: ${elapsed.toFixed(1)} us\n`,
  );
}

process.stdout.write(`${replicaCount} replicas, seed ${seed}\n`);
for (
  const policy of ["random", "round_robin", "least_load", "predicted"] as const
) measure(policy);
measureHashing();

/**
 * Counts the object API calls of fleet control by the number of nodes.
 *
 * Nodes run the product's fleet control with one in-memory store and a manual clock.
 * In each data centre two nodes wait for configuration changes, as configuration
 * distribution does; 15,000 changes a day are applied at an even rate.
 *
 * Usage: npx tsx packages/bench/src/platform_calls.ts [NODES...]
 */

import process from "node:process";
import { Right } from "purify-ts";
import type { Configuration } from "@almondcrank/common/configuration.ts";
import { Emitter } from "@almondcrank/common/emitter.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { FleetControl } from "@almondcrank/fleet/fleet_control.ts";
import { MemoryCloud } from "@almondcrank/fleet/testing/memory_cloud.ts";
import { MemoryEngine } from "@almondcrank/fleet/testing/memory_engine.ts";
import {
  createEndpoint,
  createFirstConfiguration,
  firstNoteText,
  parseNote,
} from "@almondcrank/fleet/testing/release_fixtures.ts";
import { ReleaseWriter } from "@almondcrank/fleet/release_writer.ts";
import type { NodeIdentity } from "@almondcrank/membership/membership.ts";
import { ConfigurationReader } from "@almondcrank/infrastructure/configuration_reader.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";

const warmUpMs = 20_000;
const measuredMs = 60_000;
const changesPerDay = 15_000;
const watchersPerZone = 2;
const watchMs = 10_000;

/** Size of one run. */
interface Size {
  readonly nodes: number;
  readonly zones: number;
}

const sizes: readonly Size[] = [
  { nodes: 3, zones: 2 },
  { nodes: 9, zones: 4 },
  { nodes: 27, zones: 4 },
  { nodes: 81, zones: 8 },
  { nodes: 64, zones: 16 },
  { nodes: 390, zones: 16 },
];

/** Environment that the nodes of a run share. */
interface Run {
  readonly clock: ManualClock;
  readonly store: MemoryObjectStore;
  readonly hasher: Hasher;
  readonly configuration: Configuration;
  readonly identities: readonly NodeIdentity[];
}

function createRun({ nodes, zones }: Size, hasher: Hasher): Run {
  const clock = ManualClock.create();
  const identities = Array.from({ length: nodes }, (_, i) => ({
    node: `node-${i}`,
    incarnation: "1",
    zone: `zone-${i % zones}`,
    region: "r",
    peerAddress: "127.0.0.1:1",
  }));
  const endpoints = Array.from(
    { length: zones },
    (_, i) =>
      createEndpoint(`engine-${i}`, { zone: `zone-${i}`, host: `host-${i}` }),
  );
  const released = createFirstConfiguration();
  const configuration = { ...released, endpoints, revision: 1 };
  const store = MemoryObjectStore.create(clock);
  return { clock, store, hasher, configuration, identities };
}

/** Starts the fleet control of one node. */
function startControl(run: Run, self: NodeIdentity): FleetControl {
  const { clock, store, hasher, configuration, identities } = run;
  const others = identities.filter((other) => other !== self)
    .map((identity) => ({ identity, state: "alive" as const, revision: 1 }));
  const engines = new Map<string, MemoryEngine>();
  return FleetControl.create({
    store,
    cloud: MemoryCloud.create(clock),
    weightStore: {
      readRate: () =>
        Promise.resolve(Right({ bytesPerSecond: 1, activeLoads: 0 })),
    },
    configuration: { current: () => configuration },
    membership: {
      self,
      list: () => others,
      onChange: Emitter.create<never>().event,
      onNodeReport: Emitter.create<never>().event,
    },
    engines: ({ name }) => {
      const engine = engines.get(name) ?? MemoryEngine.create(name);
      engines.set(name, engine);
      return engine;
    },
    loads: () => new Map(),
    capacity: undefined,
    clock,
    random: Random.create(identities.indexOf(self)),
    hasher,
    metrics: Metrics.create(),
    log: createSilentLog(),
  });
}

/** Watches for configuration changes as a node does. */
async function runWatcher({ store, clock }: Run): Promise<void> {
  const reader = ConfigurationReader.create(store);
  let revision = 0;
  for (;;) {
    const next = await reader.wait(revision, watchMs);
    next.ifRight((next) => revision = next?.revision ?? revision);
    await clock.sleep(200);
  }
}

/** Applies one configuration change after the other at a constant rate. */
async function runOperator({ store, clock }: Run): Promise<void> {
  const writer = ReleaseWriter.create({
    store,
    clock,
    random: Random.create(1),
    metrics: Metrics.create(),
    log: createSilentLog(),
  });
  let note = parseNote(firstNoteText);
  for (let change = 0;; change++) {
    const reader = ConfigurationReader.create(store);
    const base = (await reader.read()).unsafeCoerce().revision;
    await writer.apply({ note, base, writeId: `w${change}` });
    const share = 1 + change % 100;
    note = parseNote({ change: { teams: [{ name: "counter", share }] } });
    await clock.sleep(86_400_000 / changesPerDay);
  }
}

/** Prints the call rates of a run. */
async function measure(
  size: Size,
  { hasher, hasChanges }: {
    readonly hasher: Hasher;
    readonly hasChanges: boolean;
  },
): Promise<void> {
  const run = createRun(size, hasher);
  const controls = run.identities.map((self) => startControl(run, self));
  for (let i = 0; i < size.zones * watchersPerZone; i++) void runWatcher(run);
  if (hasChanges) void runOperator(run);
  await run.clock.advance(warmUpMs);
  const before = new Map(run.store.counts);
  await run.clock.advance(measuredMs);
  const rates = (["read", "list", "write", "watch"] as const).map((call) => {
    const count = (run.store.counts.get(call) ?? 0) - (before.get(call) ?? 0);
    return { call, rate: count / (measuredMs / 1_000) };
  });
  for (const control of controls) control.dispose();
  const total = rates.reduce((sum, { rate }) => sum + rate, 0);
  const parts = rates.map(({ call, rate }) => `${call} ${rate.toFixed(2)}`);
  process.stdout.write(
    `${size.nodes} nodes, ${size.zones} zones, ${
      hasChanges ? "15,000 changes a day" : "idle"
    }: ${parts.join(", ")}; ${total.toFixed(2)} calls/s, ${
      (total / size.nodes).toFixed(3)
    } a node\n`,
  );
}

const hasher = await openHasher();
const wanted = process.argv.slice(2).map(Number);
for (const size of sizes) {
  if (wanted.length > 0 && !wanted.includes(size.nodes)) continue;
  await measure(size, { hasher, hasChanges: false });
  await measure(size, { hasher, hasChanges: true });
}
process.exit(0);

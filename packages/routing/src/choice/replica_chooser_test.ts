import * as assert from "uvu/assert";
import { test } from "uvu";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import { LoadTable } from "./load_table.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { type ChoicePolicy, ReplicaChooser } from "./replica_chooser.ts";
import { ReplicaDirectory } from "./service_replicas.ts";
import {
  createConfiguration,
  createEndpoint,
  testService,
} from "../testing/model_setup.ts";

const hasher = await openHasher();

function createSetup(replicas: number, policy: ChoicePolicy["kind"]) {
  const clock = ManualClock.create();
  const endpoints = Array.from(
    { length: replicas },
    (_, i) => createEndpoint(`e${i}`, `zone-${i % 4}`),
  );
  const configuration = createConfiguration(endpoints);
  const loads = LoadTable.create({ clock });
  loads.apply(endpoints);
  const prefixes = PrefixIndex.create(4_096);
  const directory = ReplicaDirectory.create({
    current: () => configuration,
  }, hasher);
  const chooser = ReplicaChooser.create({
    policy: { kind: policy },
    directory,
    loads,
    prefixes,
    clock,
    random: Random.create(3),
  });
  return { clock, loads, prefixes, chooser, directory };
}

function createAsk(chain: readonly number[], excluded?: ReadonlySet<string>) {
  return {
    service: testService.name,
    chain,
    inputTokens: chain.length * 16 + 8,
    outputTokens: 64,
    betweenTokensMs: 32,
    ...(excluded === undefined ? {} : { excluded }),
  };
}

const chain = Array.from({ length: 40 }, (_, i) => 1_000 + i);

test("a conversation returns to where it is cached", () => {
  const { chooser, prefixes } = createSetup(200, "predicted");
  prefixes.recordSend(chain.slice(0, 30), "e77");
  const choice = chooser.choose(createAsk(chain));
  assert.is(choice?.endpoint.name, "e77");
  // Of the 30 blocks sent the index keeps every fourth beyond the eighth.
  assert.is(choice?.cachedTokens, 28 * 16);
});

test("a busy holder loses to a free replica", () => {
  const { chooser, prefixes, loads } = createSetup(200, "predicted");
  prefixes.recordSend(chain.slice(0, 30), "e77");
  for (let i = 0; i < 30; i++) loads.recordSend("e77", 2_000);
  assert.is.not(chooser.choose(createAsk(chain))?.endpoint.name, "e77");
});

test("nodes that know nothing of a conversation agree on its home", () => {
  const a = createSetup(200, "predicted");
  const b = createSetup(200, "predicted");
  const first = a.chooser.choose(createAsk(chain.slice(0, 20)));
  const later = b.chooser.choose(createAsk(chain));
  assert.is(first?.endpoint.name, later?.endpoint.name);
});

test("conversations with one system prompt spread over replicas", () => {
  const { chooser, prefixes, loads } = createSetup(100, "predicted");
  const shared = chain.slice(0, 10);
  const chosen = new Set<string>();
  for (let i = 0; i < 50; i++) {
    const own = [...shared, 50_000 + i * 7, 60_000 + i];
    const choice = chooser.choose(createAsk(own));
    if (choice === undefined) throw new Error("no choice");
    prefixes.recordSend(own, choice.endpoint.name);
    loads.recordSend(choice.endpoint.name, 200);
    chosen.add(choice.endpoint.name);
  }
  assert.ok(chosen.size > 5, `${chosen.size} replicas`);
});

test("no policy chooses an endpoint that is leaving or excluded", () => {
  const policies = [
    "random",
    "round_robin",
    "least_load",
    "predicted",
  ] as const;
  for (const policy of policies) {
    const { chooser, loads, prefixes } = createSetup(20, policy);
    prefixes.recordSend(chain, "e3");
    for (let i = 0; i < 18; i++) loads.markLeaving(`e${i}`, 5_000);
    for (let i = 0; i < 50; i++) {
      const choice = chooser.choose(createAsk(chain, new Set(["e18"])));
      assert.is(choice?.endpoint.name, "e19");
    }
    loads.markLeaving("e19", 5_000);
    loads.markLeaving("e18", 5_000);
    assert.is(chooser.choose(createAsk(chain)), undefined);
  }
});

test("a zone under reclaim is avoided for new work", () => {
  const { chooser, loads } = createSetup(16, "predicted");
  loads.markLeaving("e0", 5_000);
  for (let i = 0; i < 100; i++) {
    const choice = chooser.choose(createAsk([]));
    assert.is.not(choice?.endpoint.zone, "zone-0");
  }
});

test("a replica that leaves moves only its own share of the ring", () => {
  const { directory } = createSetup(50, "predicted");
  const fewer = createSetup(49, "predicted").directory;
  let moved = 0;
  for (let key = 0; key < 1_000; key++) {
    const home = directory.find(testService.name).findHomes(key, 1)[0];
    const other = fewer.find(testService.name).findHomes(key, 1)[0];
    if (home?.name === other?.name) continue;
    assert.is(home?.name, "e49");
    moved++;
  }
  assert.ok(moved > 0 && moved < 60, `${moved} moved`);
});

test.run();

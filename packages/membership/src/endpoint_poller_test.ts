import * as assert from "uvu/assert";
import { test } from "uvu";
import { Left, Right } from "purify-ts";
import {
  type Configuration,
  emptyConfiguration,
  type Endpoint,
} from "@almondcrank/common/configuration.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Random } from "@almondcrank/common/random.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import { EndpointPoller, type LoadReading } from "./endpoint_poller.ts";
import { TestNetwork, type TestNode } from "./testing/test_network.ts";

const hasher = await openHasher();

const idle: LoadReading = {
  ageMs: 50,
  queued: 0,
  running: 1,
  slots: 8,
  queuedTokens: 0,
  prefillTokensPerSecond: 9_000,
  betweenTokensMs: 20,
};

function createEndpoint(name: string, zone: string): Endpoint {
  return {
    name,
    zone,
    service: "assistant",
    address: "127.0.0.1:1",
    host: name,
    machineClass: "a",
    market: "reclaimable",
    checksFencing: true,
  };
}

/** Endpoints that count how often each node reads them. */
class TestEndpoints {
  readonly configuration: Configuration;
  readonly reads: string[] = [];
  readonly unreachable = new Set<string>();

  constructor(endpoints: readonly Endpoint[]) {
    this.configuration = { ...emptyConfiguration, endpoints };
  }

  createPoller(network: TestNetwork, node: TestNode): EndpointPoller {
    const poller = EndpointPoller.create({
      membership: node.membership,
      configuration: { current: () => this.configuration },
      reader: {
        readLoad: ({ name }) => {
          this.reads.push(`${node.identity.node} ${name}`);
          const error = EndpointError.create({
            kind: "unreachable",
            endpoint: name,
            reason: "down",
          });
          const isDown = this.unreachable.has(name);
          return Promise.resolve(isDown ? Left(error) : Right(idle));
        },
      },
      hasher,
      clock: network.clock,
      random: Random.create(1),
      log: createSilentLog(),
      metrics: node.metrics,
    });
    poller.start();
    return poller;
  }

  /** Pollers of an endpoint since the last call. */
  takePollers(endpoint: string): readonly string[] {
    const nodes = this.reads.filter((read) => read.endsWith(` ${endpoint}`))
      .map((read) => read.split(" ")[0]!);
    this.reads.length = 0;
    return [...new Set(nodes)].sort();
  }
}

interface World {
  readonly network: TestNetwork;
  readonly endpoints: TestEndpoints;
  readonly pollers: Map<string, EndpointPoller>;
}

async function openWorld(): Promise<World> {
  const network = new TestNetwork({ hasher, seed: 11 });
  const endpoints = new TestEndpoints([
    createEndpoint("e1", "muc-1"),
    createEndpoint("e2", "muc-1"),
    createEndpoint("e3", "nue-1"),
  ]);
  for (let i = 0; i < 6; i++) {
    network.start(`n${i}`, { zone: i < 4 ? "muc-1" : "muc-2" }, ["n0"]);
  }
  await network.clock.advance(4_000);
  const pollers = new Map(
    network.list().map((node) =>
      [
        node.identity.node,
        endpoints.createPoller(network, node),
      ] as const
    ),
  );
  return { network, endpoints, pollers };
}

function disposeWorld({ network, pollers }: World): void {
  for (const poller of pollers.values()) poller.dispose();
  network.dispose();
}

test("two nodes of its data centre poll an endpoint, one of them often", async () => {
  const world = await openWorld();
  await world.network.clock.advance(20_000);
  const reads = world.endpoints.reads.filter((read) => read.endsWith(" e1"));
  const counts = [...new Set(reads)].map((read) =>
    reads.filter((other) => other === read).length
  ).sort((a, b) => a - b);
  const nodes = world.endpoints.takePollers("e1");
  assert.is(nodes.length, 2);
  for (const node of nodes) {
    assert.is(world.network.find(node).identity.zone, "muc-1");
  }
  assert.ok(counts[0]! >= 4 && counts[0]! <= 6);
  assert.ok(counts[1]! >= 18 && counts[1]! <= 21);
  disposeWorld(world);
});

test("an endpoint of a data centre without nodes is polled from another", async () => {
  const world = await openWorld();
  await world.network.clock.advance(6_000);
  assert.is(world.endpoints.takePollers("e3").length, 2);
  disposeWorld(world);
});

test("a killed poller is replaced", async () => {
  const world = await openWorld();
  await world.network.clock.advance(6_000);
  const [killed] = world.endpoints.takePollers("e1");
  world.pollers.get(killed!)!.dispose();
  world.network.kill(killed!);
  await world.network.clock.advance(8_000);
  world.endpoints.takePollers("e1");
  await world.network.clock.advance(6_000);
  const after = world.endpoints.takePollers("e1");
  assert.is(after.length, 2);
  assert.not.ok(after.includes(killed!));
  disposeWorld(world);
});

test("an unreachable endpoint is said so to the peers", async () => {
  const world = await openWorld();
  const heard: { readonly readAt: number; readonly reachable: boolean }[] = [];
  const { clock } = world.network;
  world.network.find("n5").membership.onDigest(({ loads }) => {
    for (const { endpoint, ageMs, reachable } of loads) {
      if (endpoint !== "e1") continue;
      heard.push({ readAt: clock.now() - ageMs, reachable });
    }
  });
  await world.network.clock.advance(6_000);
  assert.ok(heard.length > 0 && heard.every(({ reachable }) => reachable));
  heard.length = 0;
  world.endpoints.unreachable.add("e1");
  await world.network.clock.advance(4_000);
  const freshest = heard.reduce((a, b) => (b.readAt >= a.readAt ? b : a));
  assert.is(freshest.reachable, false);
  await world.network.clock.advance(6_000);
  heard.length = 0;
  await world.network.clock.advance(8_000);
  assert.ok(heard.length > 0 && heard.every(({ reachable }) => !reachable));
  disposeWorld(world);
});

test.run();

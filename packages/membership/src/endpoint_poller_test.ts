/**
 * Assignment of endpoints to pollers, and the loads that pollers publish.
 */

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

/** Endpoints that record which node reads them. */
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

  /** Lists an endpoint's pollers since the last call, and clears all reads. */
  takePollers(endpoint: string): readonly string[] {
    const nodes = this.reads.filter((read) => read.endsWith(` ${endpoint}`))
      .map((read) => read.split(" ")[0]!);
    this.reads.length = 0;
    return [...new Set(nodes)].sort();
  }
}

interface Fixture {
  readonly network: TestNetwork;
  readonly endpoints: TestEndpoints;
  readonly pollers: Map<string, EndpointPoller>;
}

async function openFixture(): Promise<Fixture> {
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

function disposeFixture({ network, pollers }: Fixture): void {
  for (const poller of pollers.values()) poller.dispose();
  network.dispose();
}

test("two nodes of its data centre poll an endpoint, one of them often", async () => {
  const fixture = await openFixture();
  await fixture.network.clock.advance(20_000);
  const reads = fixture.endpoints.reads.filter((read) => read.endsWith(" e1"));
  const counts = [...new Set(reads)].map((read) =>
    reads.filter((other) => other === read).length
  ).sort((a, b) => a - b);
  const nodes = fixture.endpoints.takePollers("e1");
  assert.is(nodes.length, 2);
  for (const node of nodes) {
    assert.is(fixture.network.find(node).identity.zone, "muc-1");
  }
  assert.ok(counts[0]! >= 4 && counts[0]! <= 6);
  assert.ok(counts[1]! >= 18 && counts[1]! <= 21);
  disposeFixture(fixture);
});

test("an endpoint of a data centre without nodes is polled from another", async () => {
  const fixture = await openFixture();
  await fixture.network.clock.advance(6_000);
  assert.is(fixture.endpoints.takePollers("e3").length, 2);
  disposeFixture(fixture);
});

test("a killed poller is replaced", async () => {
  const fixture = await openFixture();
  await fixture.network.clock.advance(6_000);
  const [killed] = fixture.endpoints.takePollers("e1");
  fixture.pollers.get(killed!)!.dispose();
  fixture.network.kill(killed!);
  await fixture.network.clock.advance(8_000);
  fixture.endpoints.takePollers("e1");
  await fixture.network.clock.advance(6_000);
  const after = fixture.endpoints.takePollers("e1");
  assert.is(after.length, 2);
  assert.not.ok(after.includes(killed!));
  disposeFixture(fixture);
});

test("peers learn that an endpoint is unreachable", async () => {
  const fixture = await openFixture();
  const heard: { readonly readAt: number; readonly reachable: boolean }[] = [];
  const { clock } = fixture.network;
  fixture.network.find("n5").membership.onNodeReport(({ loads }) => {
    for (const { endpoint, ageMs, reachable } of loads) {
      if (endpoint !== "e1") continue;
      heard.push({ readAt: clock.now() - ageMs, reachable });
    }
  });
  await fixture.network.clock.advance(6_000);
  assert.ok(heard.length > 0 && heard.every(({ reachable }) => reachable));
  heard.length = 0;
  fixture.endpoints.unreachable.add("e1");
  await fixture.network.clock.advance(4_000);
  const freshest = heard.reduce((a, b) => (b.readAt >= a.readAt ? b : a));
  assert.is(freshest.reachable, false);
  await fixture.network.clock.advance(6_000);
  heard.length = 0;
  await fixture.network.clock.advance(8_000);
  assert.ok(heard.length > 0 && heard.every(({ reachable }) => !reachable));
  disposeFixture(fixture);
});

test.run();

/**
 * Histories drawn at random over the real membership and configuration code:
 * writes, applies, kills, restarts, freezes, one-way cuts, lost messages and
 * outages of the platform, in any order and together.
 *
 * Each history ends with the faults mended. No observer may ever see a revision
 * revert, and within the limit all nodes have the highest acknowledged one.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import fc from "fast-check";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { TestNetwork, type TestNode } from "./testing/test_network.ts";

const hasher = await openHasher();
const histories = 200;
const seed = 20_261_203;
const nodeCount = 7;
const zones = ["muc-1", "muc-2", "nue-1"];
const settleMs = 10_000;
const inForceWithinMs = 3_000;

type Step =
  | { readonly kind: "write" }
  | { readonly kind: "apply_then_outage"; readonly node: number }
  | { readonly kind: "kill" | "restart"; readonly node: number }
  | { readonly kind: "freeze" | "thaw"; readonly node: number }
  | { readonly kind: "cut"; readonly from: number; readonly to: number }
  | { readonly kind: "cut_store"; readonly node: number }
  | { readonly kind: "heal" }
  | { readonly kind: "outage"; readonly isOut: boolean }
  | { readonly kind: "loss"; readonly percent: number }
  | { readonly kind: "wait"; readonly ms: number };

const node = fc.nat(nodeCount - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.constant<Step>({ kind: "write" }) },
  fc.record({ kind: fc.constant("apply_then_outage" as const), node }),
  fc.record({
    kind: fc.constantFrom("kill" as const, "restart" as const),
    node,
  }),
  fc.record({
    kind: fc.constantFrom("freeze" as const, "thaw" as const),
    node,
  }),
  fc.record({ kind: fc.constant("cut" as const), from: node, to: node }),
  fc.record({ kind: fc.constant("cut_store" as const), node }),
  fc.constant<Step>({ kind: "heal" }),
  fc.record({ kind: fc.constant("outage" as const), isOut: fc.boolean() }),
  fc.record({ kind: fc.constant("loss" as const), percent: fc.nat(30) }),
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.integer({ min: 1, max: 4_000 }),
    }),
  },
);

function startNode(network: TestNetwork, index: number): TestNode {
  const zone = zones[index % zones.length]!;
  return network.start(`n${index}`, { zone }, ["n0", "n1", "n2"]);
}

/** Checks each process's revisions in the order in which it saw them. */
class Observer {
  readonly reverts: string[] = [];

  watch({ distributor: spread, identity }: TestNode): void {
    let last = 0;
    spread.onChange(({ revision }) => {
      if (revision <= last) {
        this.reverts.push(`${identity.node}: ${revision} after ${last}`);
      }
      last = revision;
    });
  }
}

interface History {
  readonly network: TestNetwork;
  readonly observer: Observer;
}

async function runStep(history: History, step: Step): Promise<void> {
  const { network, observer } = history;
  switch (step.kind) {
    case "write":
      network.store.write();
      break;
    case "apply_then_outage": {
      const name = `n${step.node}`;
      if (!network.has(name) || network.isFrozen(name)) break;
      const next = network.store.write();
      network.store.setUnavailable(true);
      void network.find(name).distributor.accept(next);
      break;
    }
    case "kill":
      network.kill(`n${step.node}`);
      break;
    case "restart":
      observer.watch(startNode(network, step.node));
      break;
    case "freeze":
      if (network.has(`n${step.node}`)) network.freeze(`n${step.node}`);
      break;
    case "thaw":
      network.thaw(`n${step.node}`);
      break;
    case "cut":
      network.cut(`n${step.from}`, `n${step.to}`);
      break;
    case "cut_store":
      network.cut(`n${step.node}`, "store");
      break;
    case "heal":
      network.heal();
      break;
    case "outage":
      network.store.setUnavailable(step.isOut);
      break;
    case "loss":
      network.lossRate = step.percent / 100;
      break;
    case "wait":
      await network.clock.advance(step.ms);
      break;
  }
}

/** Ends all faults and starts what was killed. */
async function mendAll({ network, observer }: History): Promise<void> {
  network.heal();
  network.lossRate = 0;
  network.store.setUnavailable(false);
  for (let i = 0; i < nodeCount; i++) {
    network.thaw(`n${i}`);
    if (!network.has(`n${i}`)) observer.watch(startNode(network, i));
  }
  await network.clock.advance(settleMs);
}

function checkAllAt(network: TestNetwork, revision: number): void {
  for (const { identity, distributor: spread } of network.list()) {
    const current = spread.current().revision;
    assert.is(current, revision, `${identity.node} has ${current}`);
  }
}

async function runHistory(
  networkSeed: number,
  steps: readonly Step[],
): Promise<void> {
  const network = new TestNetwork({ hasher, seed: networkSeed });
  const history = { network, observer: new Observer() };
  for (let i = 0; i < nodeCount; i++) {
    history.observer.watch(startNode(network, i));
  }
  await network.clock.advance(3_000);
  for (const step of steps) await runStep(history, step);
  await mendAll(history);
  checkAllAt(network, network.store.revision);
  network.store.write();
  await network.clock.advance(inForceWithinMs);
  checkAllAt(network, network.store.revision);
  assert.equal(history.observer.reverts, []);
  network.dispose();
}

test(`no revision reverts over ${histories} histories`, async () => {
  let ran = 0;
  const property = fc.asyncProperty(
    fc.nat(1_000_000),
    fc.array(step, { minLength: 5, maxLength: 25 }),
    async (networkSeed, steps) => {
      ran++;
      await runHistory(networkSeed, steps);
    },
  );
  await fc.assert(property, { seed, numRuns: histories });
  assert.is(ran, histories);
});

/** Steps that keep all pairs of running nodes connected. */
const mildStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom("kill" as const, "freeze" as const),
    node,
  }),
  fc.record({ kind: fc.constant("loss" as const), percent: fc.nat(5) }),
  fc.record({
    kind: fc.constant("wait" as const),
    ms: fc.integer({ min: 1, max: 3_000 }),
  }),
);

test("an acknowledged apply is in force within 3 s while nodes fail", async () => {
  const property = fc.asyncProperty(
    fc.nat(1_000_000),
    fc.array(mildStep, { maxLength: 4 }),
    async (networkSeed, steps) => {
      const network = new TestNetwork({ hasher, seed: networkSeed });
      const history = { network, observer: new Observer() };
      for (let i = 0; i < nodeCount; i++) startNode(network, i);
      await network.clock.advance(3_000);
      for (const step of steps) await runStep(history, step);
      const running = network.list()
        .filter(({ identity }) => !network.isFrozen(identity.node));
      const server = running[networkSeed % running.length]!;
      const next = network.store.write();
      network.store.setUnavailable(true);
      void server.distributor.accept(next);
      await network.clock.advance(inForceWithinMs);
      for (const { distributor: spread } of running) {
        assert.is(spread.current().revision, next.revision);
      }
      network.dispose();
    },
  );
  await fc.assert(property, { seed, numRuns: histories });
});

test.run();

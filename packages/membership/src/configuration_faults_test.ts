/**
 * Property tests of configuration distribution over random sequences of writes,
 * applies, kills, restarts, freezes, one-way cuts, lost messages and outages of
 * the platform, in any order and combination.
 *
 * At the end of each sequence all faults are removed. No node may ever go back
 * to a lower revision, and all must reach the highest acknowledged one in time.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import fc from "fast-check";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { TestNetwork, type TestNode } from "./testing/test_network.ts";

const hasher = await openHasher();
const sequenceCount = 200;
const seed = 20_261_203;
const nodeCount = 7;
const zones = ["muc-1", "muc-2", "nue-1"];
const settleMs = 10_000;
const inForceLimitMs = 3_000;

type Step =
  | { readonly kind: "write" }
  | { readonly kind: "apply_then_outage"; readonly node: number }
  | { readonly kind: "kill" | "restart"; readonly node: number }
  | { readonly kind: "freeze" | "thaw"; readonly node: number }
  | { readonly kind: "cut"; readonly from: number; readonly to: number }
  | { readonly kind: "cut_store"; readonly node: number }
  | { readonly kind: "heal" }
  | { readonly kind: "outage"; readonly isUnavailable: boolean }
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
  fc.record({
    kind: fc.constant("outage" as const),
    isUnavailable: fc.boolean(),
  }),
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

/** Records each process's changes to a lower or equal revision. */
class RevisionObserver {
  readonly reverts: string[] = [];

  watch({ distributor, identity }: TestNode): void {
    let last = 0;
    distributor.onChange(({ revision }) => {
      if (revision <= last) {
        this.reverts.push(`${identity.node}: ${revision} after ${last}`);
      }
      last = revision;
    });
  }
}

interface ObservedNetwork {
  readonly network: TestNetwork;
  readonly observer: RevisionObserver;
}

async function runStep(observed: ObservedNetwork, step: Step): Promise<void> {
  const { network, observer } = observed;
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
      network.store.setUnavailable(step.isUnavailable);
      break;
    case "loss":
      network.lossRate = step.percent / 100;
      break;
    case "wait":
      await network.clock.advance(step.ms);
      break;
  }
}

/** Ends all faults and restarts the nodes that were killed. */
async function endFaults(
  { network, observer }: ObservedNetwork,
): Promise<void> {
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
  for (const { identity, distributor } of network.list()) {
    const current = distributor.current().revision;
    assert.is(current, revision, `${identity.node} has ${current}`);
  }
}

async function runSequence(
  networkSeed: number,
  steps: readonly Step[],
): Promise<void> {
  const network = new TestNetwork({ hasher, seed: networkSeed });
  const observed = { network, observer: new RevisionObserver() };
  for (let i = 0; i < nodeCount; i++) {
    observed.observer.watch(startNode(network, i));
  }
  await network.clock.advance(3_000);
  for (const step of steps) await runStep(observed, step);
  await endFaults(observed);
  checkAllAt(network, network.store.revision);
  network.store.write();
  await network.clock.advance(inForceLimitMs);
  checkAllAt(network, network.store.revision);
  assert.equal(observed.observer.reverts, []);
  network.dispose();
}

test(`no revision reverts over ${sequenceCount} random fault sequences`, async () => {
  let ran = 0;
  const property = fc.asyncProperty(
    fc.nat(1_000_000),
    fc.array(step, { minLength: 5, maxLength: 25 }),
    async (networkSeed, steps) => {
      ran++;
      await runSequence(networkSeed, steps);
    },
  );
  await fc.assert(property, { seed, numRuns: sequenceCount });
  assert.is(ran, sequenceCount);
});

/** Steps that keep all pairs of running nodes connected. */
const connectedStep: fc.Arbitrary<Step> = fc.oneof(
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
    fc.array(connectedStep, { maxLength: 4 }),
    async (networkSeed, steps) => {
      const network = new TestNetwork({ hasher, seed: networkSeed });
      const observed = { network, observer: new RevisionObserver() };
      for (let i = 0; i < nodeCount; i++) startNode(network, i);
      await network.clock.advance(3_000);
      for (const step of steps) await runStep(observed, step);
      const running = network.list()
        .filter(({ identity }) => !network.isFrozen(identity.node));
      const writer = running[networkSeed % running.length]!;
      const next = network.store.write();
      network.store.setUnavailable(true);
      void writer.distributor.accept(next);
      await network.clock.advance(inForceLimitMs);
      for (const { distributor } of running) {
        assert.is(distributor.current().revision, next.revision);
      }
      network.dispose();
    },
  );
  await fc.assert(property, { seed, numRuns: sequenceCount });
});

test.run();

import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import {
  computeReplicaPlan,
  computeRequiredReplicas,
  type ZoneReplicas,
} from "./replica_plan.ts";
import { computeEngineMs } from "./work_meter.ts";

const zones = ["a", "b", "c", "d"];
const scaling = {
  minPerZone: 1,
  maxPerZone: 4,
  bootSeconds: 4,
  reclaimablePrice: 0.18,
  zonePrices: new Map([["a", 1], ["b", 0.8], ["c", 1.25], ["d", 0.9]]),
};

function createReplicas(
  reclaimable: readonly number[],
  onDemand: readonly number[] = [0, 0, 0, 0],
): readonly ZoneReplicas[] {
  return zones.flatMap((zone, at) => [
    { zone, isReclaimable: true, ready: reclaimable[at] ?? 0, booting: 0 },
    { zone, isReclaimable: false, ready: onDemand[at] ?? 0, booting: 0 },
  ]);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

test("on demand replicas stay until reclaimable ones serve", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 4,
    essential: 4,
    replicas: createReplicas([0, 0, 0, 0], [2, 2, 2, 2]),
  });
  assert.ok(sum(plan.map((zone) => zone.onDemand)) >= 4);
  assert.ok(sum(plan.map((zone) => zone.reclaimable)) >= 5);
});

test("nothing is bought on demand while the loss of a zone can be survived", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 4,
    essential: 4,
    replicas: createReplicas([2, 2, 2, 2]),
  });
  assert.is(sum(plan.map((zone) => zone.onDemand)), 0);
});

test("after the loss of a zone the next one is provided for, cheapest zones first", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 4,
    essential: 4,
    replicas: createReplicas([2, 2, 0, 0]),
  });
  const onDemand = new Map(plan.map((zone) => [zone.zone, zone.onDemand]));
  assert.is(sum([...onDemand.values()]), 2);
  assert.is(onDemand.get("b"), 1);
  assert.is(onDemand.get("d"), 1);
});

test("room for an unknown load is not bought on demand", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 8,
    essential: 3,
    replicas: createReplicas([2, 2, 0, 0]),
  });
  assert.is(sum(plan.map((zone) => zone.onDemand)), 1);
  assert.is(plan[0]?.reclaimable, 3);
});

test("reclaimable replicas that serve are not given up for others", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 16,
    essential: 16,
    replicas: createReplicas([3, 3, 3, 0]),
  });
  for (const { zone, reclaimable } of plan) {
    if (zone !== "d") assert.ok(reclaimable >= 3, zone);
  }
});

test("no plan exceeds a zone's bounds", () => {
  const counts = fc.array(fc.integer({ min: 0, max: 4 }), {
    minLength: 4,
    maxLength: 4,
  });
  fc.assert(
    fc.property(counts, counts, fc.integer({ min: 1, max: 40 }), (r, o, n) => {
      const replicas = createReplicas(r, o);
      for (
        const zone of computeReplicaPlan({
          scaling,
          zones,
          replicas,
          wanted: n,
          essential: n,
        })
      ) {
        assert.ok(zone.reclaimable >= 0 && zone.onDemand >= 0);
        assert.ok(zone.reclaimable + zone.onDemand <= scaling.maxPerZone);
      }
    }),
    { seed: 20261204 },
  );
});

test("engines with few places are needed by places, large ones by work", () => {
  assert.is(computeRequiredReplicas({ busy: 3, active: 45, slots: 64 }), 5);
  assert.is(computeRequiredReplicas({ busy: 3, active: 45, slots: 12 }), 6);
  assert.is(computeRequiredReplicas({ busy: 0, active: 0, slots: 12 }), 0);
});

test("an output token keeps a small engine busy for longer", () => {
  const output = { prompt: 0, output: 1_000 };
  const large = computeEngineMs(output, 64);
  const small = computeEngineMs(output, 12);
  assert.ok(small > large * 1.4 && small < large * 2, `${small}, ${large}`);
  assert.is(computeEngineMs({ prompt: 5_000, output: 0 }, 12), 100);
});

test.run();

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
  return zones.flatMap((zone, index) => [
    { zone, isReclaimable: true, ready: reclaimable[index] ?? 0, booting: 0 },
    { zone, isReclaimable: false, ready: onDemand[index] ?? 0, booting: 0 },
  ]);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

test("replicas on demand stay until reclaimable ones serve", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 4,
    isShort: false,
    essential: 4,
    replicas: createReplicas([0, 0, 0, 0], [2, 2, 2, 2]),
  });
  assert.ok(sum(plan.map((zone) => zone.onDemand)) >= 4);
  assert.ok(sum(plan.map((zone) => zone.reclaimable)) >= 5);
});

test("no replicas are ordered on demand while one zone may be lost", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 4,
    isShort: false,
    essential: 4,
    replicas: createReplicas([2, 2, 2, 2]),
  });
  assert.is(sum(plan.map((zone) => zone.onDemand)), 0);
});

test("after zones are lost, the cheapest ones get replicas on demand", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 4,
    isShort: false,
    essential: 4,
    replicas: createReplicas([2, 2, 0, 0]),
  });
  const onDemand = new Map(plan.map((zone) => [zone.zone, zone.onDemand]));
  assert.is(sum([...onDemand.values()]), 2);
  assert.is(onDemand.get("b"), 1);
  assert.is(onDemand.get("d"), 1);
});

test("headroom for an unknown load is not ordered on demand", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 8,
    isShort: false,
    essential: 3,
    replicas: createReplicas([2, 2, 0, 0]),
  });
  assert.is(sum(plan.map((zone) => zone.onDemand)), 1);
  assert.is(plan[0]?.reclaimable, 3);
});

test("reclaimable replicas that serve are not released for others", () => {
  const plan = computeReplicaPlan({
    scaling,
    zones,
    wanted: 16,
    isShort: false,
    essential: 16,
    replicas: createReplicas([3, 3, 3, 0]),
  });
  for (const { zone, reclaimable } of plan) {
    if (zone !== "d") assert.ok(reclaimable >= 3, zone);
  }
});

test("in a shortage no reclaimable replica that serves is released", () => {
  const computeCounts = (isShort: boolean): readonly number[] =>
    computeReplicaPlan({
      scaling,
      zones,
      wanted: 6,
      isShort,
      essential: 4,
      replicas: createReplicas([4, 4, 0, 1]),
    }).map(({ reclaimable }) => reclaimable);
  assert.equal(computeCounts(false), [2, 2, 2, 2]);
  assert.equal(computeCounts(true), [4, 4, 2, 2]);
});

test("a shortage is made up on demand, with the headroom that can't be ordered later", () => {
  const countOnDemand = (
    isShort: boolean,
    reclaimable: readonly number[],
  ): number =>
    sum(
      computeReplicaPlan({
        scaling,
        zones,
        wanted: 8,
        isShort,
        essential: 3,
        replicas: createReplicas(reclaimable),
      }).map(({ onDemand }) => onDemand),
    );
  assert.is(countOnDemand(false, [1, 1, 1, 0]), 1);
  assert.is(countOnDemand(true, [1, 1, 1, 0]), 6);
  // Enough are left even if the zone with most of them is lost.
  assert.is(countOnDemand(true, [4, 4, 4, 0]), 0);
});

test("no plan exceeds a zone's limits", () => {
  const counts = fc.array(fc.integer({ min: 0, max: 4 }), {
    minLength: 4,
    maxLength: 4,
  });
  fc.assert(
    fc.property(
      counts,
      counts,
      fc.integer({ min: 1, max: 40 }),
      fc.boolean(),
      (reclaimable, onDemand, needed, isShort) => {
        const replicas = createReplicas(reclaimable, onDemand);
        for (
          const zone of computeReplicaPlan({
            scaling,
            zones,
            replicas,
            wanted: needed,
            isShort,
            essential: needed,
          })
        ) {
          assert.ok(zone.reclaimable >= 0 && zone.onDemand >= 0);
          assert.ok(zone.reclaimable + zone.onDemand <= scaling.maxPerZone);
        }
      },
    ),
    { seed: 20261204 },
  );
});

test("small engines are limited by slots, large ones by engine time", () => {
  assert.is(computeRequiredReplicas({ busy: 3, active: 45, slots: 64 }), 5);
  assert.is(computeRequiredReplicas({ busy: 3, active: 45, slots: 12 }), 6);
  assert.is(computeRequiredReplicas({ busy: 0, active: 0, slots: 12 }), 0);
});

test("an output token takes more time of an engine with fewer slots", () => {
  const output = { prompt: 0, output: 1_000 };
  const large = computeEngineMs(output, { slots: 64 });
  const small = computeEngineMs(output, { slots: 12 });
  assert.ok(small > large * 1.4 && small < large * 2, `${small}, ${large}`);
  assert.is(computeEngineMs({ prompt: 5_000, output: 0 }, { slots: 12 }), 100);
});

test.run();

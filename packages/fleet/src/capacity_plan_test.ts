import * as assert from "uvu/assert";
import { test } from "uvu";
import fc from "fast-check";
import type { Market } from "@almondcrank/common/configuration.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import type { Price } from "@almondcrank/infrastructure/cloud_api.ts";
import {
  type CapacityInput,
  computeCapacityPlan,
  type PlannedHost,
} from "./capacity_plan.ts";
import { formatOffer, OfferBackoff } from "./offers.ts";

const zones = ["muc-1", "muc-2", "nue-1", "nue-2"];

function createPrices(reclaimable = 300, onDemand = 1_000): Price[] {
  return zones.flatMap((zone) =>
    (["reclaimable", "on_demand"] as const).map((market) => ({
      zone,
      machineClass: "gpu-a",
      market,
      milliPerHour: market === "reclaimable" ? reclaimable : onDemand,
    }))
  );
}

function createHosts(
  zone: string,
  count: number,
  fields: Partial<PlannedHost> = {},
): PlannedHost[] {
  return Array.from({ length: count }, (_, i) => ({
    host: `${zone}-${fields.market ?? "reclaimable"}-${i}`,
    zone,
    machineClass: "gpu-a",
    market: "reclaimable",
    state: "running",
    isRented: true,
    ...fields,
  }));
}

function createInput(fields: Partial<CapacityInput> = {}): CapacityInput {
  return {
    demand: 6,
    peakDemand: 6,
    targetUtilization: 0.75,
    protectedShare: 1,
    survivalUtilization: 0.75,
    classCapacity: new Map([["gpu-a", 1]]),
    hosts: [],
    offers: createPrices(),
    blocked: new Set(),
    maxRentals: 100,
    ...fields,
  };
}

function blockMarket(market: Market): Set<string> {
  return new Set(
    createPrices().filter((offer) => offer.market === market).map(formatOffer),
  );
}

/** Counts the hosts left after the loss of a zone's reclaimable hosts. */
function countWithout(
  hosts: readonly { readonly zone: string; readonly market: Market }[],
  zone: string,
): number {
  return hosts.filter((host) =>
    host.zone !== zone || host.market === "on_demand"
  ).length;
}

test("rentals for an empty fleet tolerate the loss of any data centre", () => {
  const { rentals, uncovered } = computeCapacityPlan(createInput());
  assert.ok(rentals.every(({ market }) => market === "reclaimable"));
  for (const zone of zones) assert.ok(countWithout(rentals, zone) >= 8);
  assert.ok(rentals.length <= 12, `${rentals.length} hosts`);
  assert.is(uncovered, 0);
});

test("a higher utilisation after a loss needs fewer hosts", () => {
  const { rentals } = computeCapacityPlan(
    createInput({ survivalUtilization: 1 }),
  );
  for (const zone of zones) assert.ok(countWithout(rentals, zone) >= 6);
  assert.ok(rentals.length < 11, `${rentals.length} hosts`);
});

test("without a protected share only the current demand is covered", () => {
  const { rentals } = computeCapacityPlan(
    createInput({ protectedShare: 0 }),
  );
  assert.is(rentals.length, 8);
});

test("without reclaimable offers on-demand hosts cover the current demand only", () => {
  const { rentals } = computeCapacityPlan(createInput({
    hosts: createHosts("muc-1", 5),
    blocked: blockMarket("reclaimable"),
  }));
  assert.equal(rentals.map(({ market }) => market), Array(3).fill("on_demand"));
});

test("capacity that no offer covers is reported as uncovered", () => {
  const { rentals, uncovered } = computeCapacityPlan(
    createInput({ offers: [] }),
  );
  assert.equal(rentals, []);
  assert.is(uncovered, 8);
});

test("on-demand hosts are returned once reclaimable hosts run", () => {
  const reclaimable = zones.flatMap((zone) => createHosts(zone, 3));
  const fallback = createHosts("muc-1", 3, { market: "on_demand" });
  const running = computeCapacityPlan(createInput({
    hosts: [...reclaimable, ...fallback],
  }));
  assert.equal(running.returns.length, 3);
  const starting = computeCapacityPlan(createInput({
    hosts: [
      ...reclaimable.map((host, i) =>
        i < 6 ? host : { ...host, state: "starting" as const }
      ),
      ...fallback,
    ],
  }));
  assert.equal(starting.returns, [], "starting hosts do not count yet");
});

test("hosts of the release note are never returned", () => {
  const { returns } = computeCapacityPlan(createInput({
    demand: 1,
    peakDemand: 1,
    hosts: zones.flatMap((zone) => createHosts(zone, 3, { isRented: false })),
  }));
  assert.equal(returns, []);
});

test("no capacity needed for the recent peak is returned", () => {
  const hosts = zones.flatMap((zone) => createHosts(zone, 3));
  const after = createInput({ demand: 1, peakDemand: 6, hosts });
  assert.equal(computeCapacityPlan(after).returns, []);
  const later = { ...after, peakDemand: 1 };
  assert.ok(computeCapacityPlan(later).returns.length >= 8);
});

test("hosts of a leaving data centre are replaced in others at once", () => {
  const hosts = [
    ...createHosts("muc-1", 3, { state: "leaving" }),
    ...zones.slice(1).flatMap((zone) => createHosts(zone, 3)),
  ];
  const blocked = new Set(["muc-1/gpu-a/reclaimable"]);
  const { rentals } = computeCapacityPlan(
    createInput({ hosts, blocked }),
  );
  assert.ok(rentals.length >= 2);
  assert.ok(rentals.every(({ zone }) => zone !== "muc-1"));
});

test("on-demand hosts are rented when reclaimable ones cost more", () => {
  const { rentals } = computeCapacityPlan(createInput({
    offers: createPrices(1_500, 1_000),
  }));
  assert.equal(rentals.length, 8);
  assert.ok(rentals.every(({ market }) => market === "on_demand"));
});

test("expensive hosts are replaced by much cheaper offers and kept until those run", () => {
  const hosts = zones.flatMap((zone) => createHosts(zone, 3));
  const offers = createPrices().map((offer) =>
    offer.zone === "muc-1" && offer.market === "reclaimable"
      ? { ...offer, milliPerHour: 700 }
      : offer
  );
  const { rentals, returns } = computeCapacityPlan(
    createInput({ hosts, offers }),
  );
  assert.ok(
    rentals.length >= 2 && rentals.length <= 4,
    `${rentals.length} rented`,
  );
  assert.ok(rentals.every(({ zone }) => zone !== "muc-1"));
  assert.equal(returns, []);
});

test("plans for random fleets meet the requirements", () => {
  const zoneCounts = fc.array(fc.nat(6), { minLength: 4, maxLength: 4 });
  let returned = 0;
  fc.assert(
    fc.property(
      zoneCounts,
      zoneCounts,
      fc.integer({ min: 1, max: 12 }),
      fc.subarray(createPrices().map(formatOffer)),
      (reclaimable, onDemand, demand, blocked) => {
        const hosts = zones.flatMap((zone, i) => [
          ...createHosts(zone, reclaimable[i] ?? 0),
          ...createHosts(zone, onDemand[i] ?? 0, { market: "on_demand" }),
        ]);
        const plan = computeCapacityPlan(createInput({
          demand,
          peakDemand: demand,
          hosts,
          blocked: new Set(blocked),
        }));
        assert.ok(
          plan.rentals.every((offer) => !blocked.includes(formatOffer(offer))),
        );
        const kept = hosts.filter(({ host }) => !plan.returns.includes(host));
        returned += plan.returns.length;
        const needed = demand / 0.75;
        if (plan.returns.length > 0) {
          assert.ok(kept.length >= needed);
          for (const zone of zones) {
            assert.ok(countWithout(kept, zone) >= needed);
          }
        }
        const total = hosts.length + plan.rentals.length + plan.uncovered;
        assert.ok(total >= needed - 1e-6);
      },
    ),
    { numRuns: 500, seed: 20_261_203 },
  );
  assert.ok(returned > 100, `${returned} hosts returned`);
});

test("the backoff of a refused offer doubles with each refusal", async () => {
  const clock = ManualClock.create();
  const backoff = OfferBackoff.create(clock, Random.create(1));
  const offer = {
    zone: "a",
    machineClass: "b",
    market: "reclaimable",
  } as const;
  const blockedMs: number[] = [];
  for (let i = 0; i < 8; i++) {
    backoff.recordRefusal(offer);
    const start = clock.now();
    while (backoff.isBlocked(offer)) await clock.advance(1_000);
    blockedMs.push(clock.now() - start);
  }
  assert.ok((blockedMs[0] ?? 0) <= 38_000);
  assert.ok((blockedMs[4] ?? 0) > 4 * (blockedMs[0] ?? 0));
  assert.ok(Math.max(...blockedMs) <= 751_000);
  backoff.recordGrant(offer);
  backoff.recordRefusal(offer);
  await clock.advance(38_000);
  assert.is(backoff.isBlocked(offer), false, "a grant resets the backoff");
});

test.run();

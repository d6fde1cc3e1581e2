import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import type {
  Instance,
  NoticeBatch,
  Price,
} from "@almondcrank/infrastructure/cloud_api.ts";
import type { HostListing } from "@almondcrank/infrastructure/host_list.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CloudCost } from "./offers.ts";
import { StandinSet } from "./standin_set.ts";
import type { StandinSettingsInput } from "./standin_settings.ts";
import { callJson, callPart, waitUntil } from "./standin_fixture.ts";

const address = "127.0.0.1:0";
const hourMs = 3_600_000;
const offer = {
  zone: "muc-1",
  machineClass: "standard",
  market: "reclaimable",
  milliPerHour: 400,
  hosts: 2,
} as const;
const settings: StandinSettingsInput = {
  control: { address },
  hostList: { address, lagMs: 1_000 },
  weightStore: { address, bytesPerSecond: 1_000 },
  cloudApi: {
    address,
    startDelayMs: 500,
    offers: [offer, { ...offer, zone: "nue-1", market: "on_demand" }],
    services: { assistant: { kind: "engine" } },
  },
  engines: [{ name: "e1", address, zone: "muc-1", defaultWeightBytes: 2_000 }],
  plainServices: [{ name: "b1", address, zone: "nue-1", market: "on_demand" }],
};

async function runWith(
  run: (set: StandinSet, clock: ManualClock) => Promise<void>,
): Promise<void> {
  const clock = ManualClock.create();
  const set = await StandinSet.open(settings, { clock });
  try {
    await run(set, clock);
  } finally {
    set.dispose();
  }
}

function requestHost(
  set: StandinSet,
  token: string,
  zone = "muc-1",
): ReturnType<typeof callPart> {
  const market = zone === "muc-1" ? "reclaimable" : "on_demand";
  const machineClass = "standard";
  const body = { token, service: "assistant", zone, machineClass, market };
  return callPart(`${set.cloudApi!.address}/instances`, { body });
}

async function listHosts(set: StandinSet): Promise<readonly string[]> {
  const listing = await callJson<HostListing>(`${set.hostList!.address}/hosts`);
  return listing.hosts.map(({ host, state }) => `${host} ${state}`).sort();
}

function callControl(set: StandinSet, path: string, body?: unknown) {
  const url = `${set.controlAddress}/parts/${path}`;
  return callPart(url, body === undefined ? {} : { body });
}

test("a repeated token gets the same host, and requests beyond capacity are refused", () =>
  runWith(async (set, clock) => {
    const first = await requestHost(set, "t1");
    assert.match(first.text, '"state":"starting"');
    assert.is((await requestHost(set, "t1")).text, first.text);
    const refused = await requestHost(set, "t2");
    assert.is(refused.kind === "answered" && refused.status, 409);
    await clock.advance(500);
    await waitUntil(() => set.inventory.find("muc-1-h1")?.state === "running");
    const { address } = set.inventory.find("muc-1-h1") as Instance;
    assert.match((await callPart(`${address}/state`)).text, '"role":"serve"');
    const path = `${set.cloudApi!.address}/instances/muc-1-h1`;
    await callPart(path, { method: "DELETE" });
    const gone = await callPart(`${address}/state`);
    assert.is(gone.kind === "cut" && gone.code, "ECONNREFUSED");
    assert.match((await requestHost(set, "t1")).text, "has ended");
    assert.match((await requestHost(set, "t2")).text, "muc-1-h2");
  }));

test("a reclaimed zone's hosts vanish when the notice ends, and replacements are refused", () =>
  runWith(async (set, clock) => {
    const waiting = callJson<NoticeBatch>(
      `${set.cloudApi!.address}/notices?since=0&waitMs=5000`,
    );
    await new Promise((resolve) => setTimeout(resolve, 20));
    await callControl(set, "cloudApi/control/reclaim", {
      zone: "muc-1",
      noticeMs: 2_000,
      refuseReplacements: true,
    });
    const { notices } = await waiting;
    assert.equal(notices, [
      { sequence: 1, host: "e1", reclaimAt: clock.wallTime() + 2_000 },
    ]);
    assert.match((await requestHost(set, "t1")).text, "no capacity");
    const { address } = set.inventory.find("e1") as Instance;
    await clock.advance(1_999);
    assert.is((await callPart(`${address}/state`)).kind, "answered");
    await clock.advance(1);
    assert.is((await callPart(`${address}/state`)).kind, "cut");
    assert.equal(set.inventory.instances.map(({ host }) => host), ["b1"]);
  }));

test("an unannounced reclaim gives no notice", () =>
  runWith(async (set, clock) => {
    set.cloudApi!.reclaim({ host: "e1", noticeMs: 0, announced: false });
    await clock.advance(0);
    assert.is(set.inventory.find("e1"), undefined);
    const url = `${set.cloudApi!.address}/notices?since=0&waitMs=0`;
    assert.equal(await callJson(url), { sequence: 0, notices: [] });
  }));

test("the host list lags, and overrides replace its states", () =>
  runWith(async (set, clock) => {
    assert.equal(await listHosts(set), []);
    await clock.advance(1_000);
    assert.equal(await listHosts(set), ["b1 live", "e1 live"]);
    set.cloudApi!.reclaim({ host: "e1", noticeMs: 500 });
    await clock.advance(999);
    assert.equal(await listHosts(set), ["b1 live", "e1 live"]);
    await clock.advance(1);
    assert.equal(await listHosts(set), ["b1 live", "e1 leaving"]);
    await clock.advance(500);
    assert.equal(await listHosts(set), ["b1 live"]);
    await callControl(set, "hostList/control/list", {
      claims: { e1: "live", b1: "gone" },
    });
    assert.equal(await listHosts(set), ["e1 live"]);
  }));

test("the cost follows price changes", () =>
  runWith(async (set, clock) => {
    const url = `${set.cloudApi!.address}/control/cost`;
    await clock.advance(hourMs);
    assert.is((await callJson<CloudCost>(url)).milli, 800);
    await callControl(set, "cloudApi/control/offers", {
      zone: "muc-1",
      milliPerHour: 100,
    });
    await clock.advance(hourMs);
    set.inventory.remove("b1");
    await clock.advance(hourMs);
    const cost = await callJson<CloudCost>(url);
    assert.is(cost.milli, 800 + 500 + 100);
    assert.equal(cost.hostMsByMarket, {
      reclaimable: 3 * hourMs,
      on_demand: 2 * hourMs,
    });
  }));

test("a price trace charges each interval at its price", () =>
  runWith(async (set, clock) => {
    const trace = [
      { atMs: hourMs / 2, milliPerHour: 1_000 },
      { atMs: hourMs, milliPerHour: 0 },
    ];
    await callControl(set, "cloudApi/control/offers", { zone: "muc-1", trace });
    set.inventory.remove("b1");
    await clock.advance(2 * hourMs);
    assert.is(set.cloudApi!.readCost().milli, 200 + 500);
    const url = `${set.cloudApi!.address}/prices`;
    const { prices } = await callJson<{ prices: readonly Price[] }>(url);
    assert.equal(prices.map((price) => price.milliPerHour), [0, 400]);
  }));

test("loads share the weight store's rate, and an order loads a model through it", () =>
  runWith(async (set, clock) => {
    const store = set.weightStore!;
    const engine = set.findPart("e1")!;
    const load = (name: string, bytes: number) =>
      callPart(`${store.address}/weights/${name}?bytes=${bytes}`);
    const small = load("small", 1_000);
    const large = load("large", 3_000);
    await waitUntil(() => store.rate.activeLoads === 2);
    await clock.advance(10_000);
    await Promise.all([small, large]);
    const origin = store.records[0]!.startedAt;
    assert.equal(
      store.records.map(({ name, endedAt }) => [name, endedAt - origin]),
      [
        ["small", 2_000],
        ["large", 4_000],
      ],
    );
    const model = { model: "m", version: "1", adapters: [] };
    const body = { fencing: 1, holder: "n1", role: "serve", models: [model] };
    const ordered = await callPart(`${engine.address}/orders`, { body });
    assert.match(ordered.text, '"loading":["m@1"]');
    await waitUntil(() => store.rate.activeLoads === 1);
    await clock.advance(2_000);
    const state = async () => (await callPart(`${engine.address}/state`)).text;
    while (!(await state()).includes('"loading":[]'));
    assert.match(await state(), '"models":[{"model":"m"');
  }));

test("control calls reach a part by name while its own listener is closed", () =>
  runWith(async (set) => {
    const { address } = set.findPart("b1")!;
    await callControl(set, "b1/control", { outage: "refuse" });
    while ((await callPart(`${address}/load`)).kind === "answered");
    await callControl(set, "b1/control", { outage: "none" });
    while ((await callPart(`${address}/load`)).kind === "cut");
    assert.match(
      (await callControl(set, "b1/control")).text,
      '"outage":"none"',
    );
    assert.match(
      (await callControl(set, "b9/control")).text,
      'no part \\"b9\\"',
    );
    assert.match(
      (await callControl(set, "b1/control/x")).text,
      "GET /control/records",
    );
  }));

test("two parts with one name are refused", async () => {
  const twice = { name: "e", address };
  try {
    await StandinSet.open({ engines: [twice, twice] }, {
      clock: ManualClock.create(),
    });
    assert.unreachable();
  } catch (thrown) {
    assert.match((thrown as Error).message, 'two parts are named "e"');
  }
});

test.run();

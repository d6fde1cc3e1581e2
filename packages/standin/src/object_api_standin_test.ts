import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { maxObjectBytes } from "@almondcrank/infrastructure/object_store.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ObjectApiOptions,
  ObjectApiStandin,
} from "./object_api_standin.ts";
import {
  callJson,
  type CallOptions,
  callPart,
  waitUntil,
} from "./standin_fixture.ts";

const absent = { "if-none-match": "*" };

async function runWith(
  options: Partial<ObjectApiOptions>,
  run: (api: ObjectApiStandin, clock: ManualClock) => Promise<void>,
): Promise<void> {
  const clock = ManualClock.create();
  const api = await ObjectApiStandin.open({
    address: "127.0.0.1:0",
    clock,
    ...options,
  });
  try {
    await run(api, clock);
  } finally {
    api.dispose();
  }
}

function put(
  api: ObjectApiStandin,
  key: string,
  options: Pick<CallOptions, "body" | "headers">,
): ReturnType<typeof callPart> {
  const path = `${api.address}/objects/${encodeURIComponent(key)}`;
  return callPart(path, { method: "PUT", ...options });
}

test("writes and removals are conditional on one version sequence", () =>
  runWith({}, async (api) => {
    const key = `long/${"k".repeat(150)}`;
    assert.is(
      (await put(api, key, { body: 1, headers: absent })).kind,
      "answered",
    );
    assert.match(
      (await put(api, "b", { body: 2, headers: absent })).text,
      '{"version":2}',
    );
    assert.match(
      (await put(api, key, { body: 3, headers: absent })).text,
      '"current":{"key":"long',
    );
    assert.match(
      (await put(api, "c", { body: 3, headers: { "if-match": "1" } })).text,
      '{"current":null}',
    );
    assert.match((await put(api, key, { body: 3 })).text, "If-Match");
    const path = `${api.address}/objects/b`;
    const remove = (version: string) =>
      callPart(path, { method: "DELETE", headers: { "if-match": version } });
    assert.match((await remove("1")).text, '"version":2');
    assert.match((await remove("2")).text, '{"version":3}');
    assert.match((await remove("3")).text, "no such object");
    assert.is(api.counts.conflict, 3);
  }));

test("a value beyond a megabyte is refused", () =>
  runWith({}, async (api) => {
    const whole = "x".repeat(maxObjectBytes - 2);
    const accepted = await put(api, "a", { body: whole, headers: absent });
    assert.is(accepted.kind === "answered" && accepted.status, 200);
    const refused = await put(api, "b", { body: whole + "x", headers: absent });
    assert.is(refused.kind === "answered" && refused.status, 413);
  }));

test("a watch waits for its prefix and ends empty after its time", () =>
  runWith({}, async (api, clock) => {
    const url = `${api.address}/watch?prefix=a/&since=0&waitMs=1000`;
    const woken = callJson<{ changes: unknown[] }>(url);
    await waitUntil(() => api.counts.watch === 1);
    api.objects.write("b/1", 1, { kind: "absent" });
    api.objects.write("a/1", 1, { kind: "absent" });
    assert.equal((await woken).changes, [
      { kind: "written", object: { key: "a/1", version: 2, value: 1 } },
    ]);
    const ended = callJson<{ version: number; changes: unknown[] }>(
      `${api.address}/watch?prefix=z&since=2&waitMs=1000`,
    );
    await waitUntil(() => api.counts.watch === 2);
    await clock.advance(1_000);
    assert.equal(await ended, { version: 2, changes: [] });
  }));

test("a watch from before the kept history is told to list again", () =>
  runWith({ historyLimit: 3 }, async (api) => {
    for (let i = 0; i < 9; i++) {
      api.objects.write(`k${i}`, i, { kind: "absent" });
    }
    const status = async (since: number) => {
      const result = await callPart(
        `${api.address}/watch?prefix=&since=${since}&waitMs=0`,
      );
      return result.kind === "answered" ? result.status : 0;
    };
    assert.is(await status(5), 410);
    assert.is(await status(6), 200);
    assert.is(await status(10), 410);
  }));

test("calls beyond the rate are refused with the time to wait", () =>
  runWith({ readsPerSecond: 2, writesPerSecond: 1 }, async (api, clock) => {
    const read = () => callPart(`${api.address}/objects/a`);
    await read();
    await read();
    assert.match((await read()).text, "call rate exceeded");
    await clock.advance(500);
    assert.match((await read()).text, "no such object");
    assert.is(api.counts.rateLimited, 1);
  }));

test("a lost answer leaves the write in effect", () =>
  runWith({}, async (api) => {
    const order = { body: { loseAnswers: "next" } };
    await callPart(`${api.address}/control`, order);
    const missed = await callPart(`${api.address}/objects/a`);
    assert.is(missed.kind, "answered", "reads are answered");
    assert.is((await put(api, "a", { body: 1, headers: absent })).kind, "cut");
    assert.is(api.objects.find("a")?.value, 1);
    assert.is(
      (await put(api, "b", { body: 1, headers: absent })).kind,
      "answered",
    );
  }));

test("each kind of outage keeps calls from running", () =>
  runWith({}, async (api) => {
    const write = () => put(api, "a", { body: 1, headers: absent });
    const order = (outage: string) =>
      api.callControl({
        method: "POST",
        path: "/control",
        query: new URLSearchParams(),
        body: { outage },
      });
    order("error");
    const error = await write();
    assert.is(error.kind === "answered" && error.status, 503);
    order("hang");
    const hung = write();
    await waitUntil(() => api.faults.waitingCount === 1);
    const told = await callPart(`${api.address}/control`, {
      body: { outage: "refuse" },
    });
    assert.is(
      told.kind,
      "answered",
      "the order is answered before the listener closes",
    );
    assert.is((await hung).kind, "cut");
    const refused = await write();
    assert.is(refused.kind === "cut" && refused.code, "ECONNREFUSED");
    assert.is(api.objects.version, 0);
    order("none");
    await waitUntilOpen(api);
    assert.is((await write()).kind, "answered");
  }));

async function waitUntilOpen(api: ObjectApiStandin): Promise<void> {
  while ((await callPart(`${api.address}/control`)).kind === "cut");
}

test("a flapping service alternates between up and down", () =>
  runWith({}, async (api, clock) => {
    const flapping = { upMs: 100, downMs: 50 };
    await callPart(`${api.address}/control`, { body: { flapping } });
    const seen: string[] = [];
    for (let i = 0; i < 6; i++) {
      seen.push(api.faults.outage);
      await clock.advance(50);
    }
    assert.equal(seen, ["none", "none", "error", "none", "none", "error"]);
  }));

test("a flapping listener closes and opens", () =>
  runWith({}, async (api, clock) => {
    const flapping = { upMs: 100, downMs: 50 };
    api.faults.apply({ flapping, outage: "refuse" });
    for (let i = 0; i < 2; i++) {
      await clock.advance(100);
      while ((await callPart(`${api.address}/control`)).kind === "answered");
      await clock.advance(50);
      await waitUntilOpen(api);
    }
  }));

test("a frozen service runs a call late, after its caller has left", () =>
  runWith({}, async (api) => {
    api.faults.apply({ frozen: true });
    const caller = new AbortController();
    const call = callPart(`${api.address}/objects/a`, {
      method: "PUT",
      body: 1,
      headers: absent,
      signal: caller.signal,
    });
    await waitUntil(() => api.faults.waitingCount === 1);
    caller.abort();
    assert.is((await call).kind, "cut");
    assert.is(api.objects.version, 0);
    api.faults.apply({ frozen: false });
    await waitUntil(() => api.objects.version === 1);
  }));

test("an order with an unknown fault or value is refused and changes nothing", () =>
  runWith({}, async (api) => {
    for (
      const body of [{ outge: "none" }, { slowMs: -1 }, { outage: "maybe" }]
    ) {
      const result = await callPart(`${api.address}/control`, { body });
      assert.is(result.kind === "answered" && result.status, 400);
    }
    assert.match((await callPart(`${api.address}/control`)).text, '"slowMs":0');
  }));

test.run();

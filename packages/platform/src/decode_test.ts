import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { decodeConfiguration } from "./decode_configuration.ts";
import { decodeReplica } from "./decode_replica.ts";
import { decodeSettings } from "./decode_settings.ts";
import { parsePromptParts, parseTokenCount } from "./headers.ts";
import { parseMove } from "./kv_move.ts";

test("decoders never throw, whatever the value", () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      decodeConfiguration(value);
      decodeReplica("id", value);
      decodeSettings(JSON.stringify(value));
    }),
    { seed: 20261204 },
  );
});

test("a configuration is decoded without its invalid entries", () => {
  const configuration = decodeConfiguration({
    version: 7,
    routes: [{
      name: "r",
      hostname: "API.example",
      "path-prefix": "/a/",
      "route-kind": "stream",
      "timeout-ms": 15_000,
      "target-latency-ms": 1_200,
      priority: 0,
      "traffic-split": [{ service: "x", weight: 90 }, { service: 5 }],
      "max-attempts": 2,
      "stream-resume": true,
      "gap-target-ms": 800,
    }, { name: "incomplete" }],
    services: [{
      name: "x",
      "max-conns": 370,
      engine: { slots: 64, "kv-capacity": 10, stride: 6, moves: true },
      scaling: { min: 1, max: 4, "boot-s": 4, "zone-prices": { a: 0.8 } },
    }],
    limits: { "max-body-bytes": 10 },
    "a-new-field": 1,
  });
  assert.is(configuration?.routes.length, 1);
  assert.is(configuration?.routes[0]?.host, "api.example");
  assert.equal(configuration?.routes[0]?.targets, [
    { service: "x", weight: 90 },
  ]);
  assert.is(configuration?.services[0]?.engine?.tokensPerEvent, 6);
  assert.is(configuration?.services[0]?.scaling?.zonePrices.get("a"), 0.8);
  assert.is(configuration?.limits.maxBodyBytes, 10);
  assert.is(configuration?.tenants, undefined);
});

test("invalid registrations are not decoded", () => {
  const valid = {
    service: "s",
    address: "10.0.0.1:80",
    zone: "a",
    version: "v1",
    slots: 4,
    state: "ready",
    "cold-remaining-ms": 0,
    "seq-no": 1,
  };
  assert.ok(decodeReplica("id", valid));
  for (
    const change of [
      { service: undefined },
      { address: "nowhere" },
      { address: 5 },
      { state: "unknown" },
      { slots: "4" },
      { version: 5 },
      { version: undefined },
      { "cold-remaining-ms": undefined },
      { "cold-remaining-ms": "0" },
      { "seq-no": undefined },
      { zone: null },
    ]
  ) {
    assert.is(decodeReplica("id", { ...valid, ...change }), undefined);
  }
});

const settings = {
  "node-name": "n",
  ip: "10.0.0.1",
  zone: "a",
  "port-range": [1, 2],
  platform: { address: "10.0.0.2:1" },
  bounds: {
    "exposure-share": 0.1,
    "exposure-tolerance": 50,
    "rollback-ms": 5_000,
  },
};

test("bounds of exposure are read only under the contract that orders rollouts", () => {
  const read = (contracts: readonly string[]) =>
    decodeSettings(JSON.stringify({ ...settings, contracts }))
      .map(({ exposure }) => exposure).extract();
  assert.is(read(["base"]), undefined);
  assert.equal(read(["base", "rollout"]), {
    share: 0.1,
    tolerance: 50,
    rollbackMs: 5_000,
  });
});

test("the error for settings names every missing field and its remedy", () => {
  const faults = decodeSettings("{}").swap().unsafeCoerce().detail.faults;
  assert.is(faults.length, 5);
  for (const fault of faults) assert.match(fault, /; give /);
  assert.match(decodeSettings("[").swap().unsafeCoerce().message, /JSON/);
});

test("limits of connections are checked, and may be omitted", () => {
  const read = (limits: unknown) =>
    decodeSettings(JSON.stringify({ ...settings, "connection-limits": limits }))
      .map(({ connections }) => connections);
  const none = { max: undefined, maxWaiting: undefined, maxEnding: undefined };
  assert.equal(read(undefined).unsafeCoerce(), none);
  const limits = { max: 3, "max-waiting": 2, "max-ending": 1 };
  const set = { max: 3, maxWaiting: 2, maxEnding: 1 };
  assert.equal(read(limits).unsafeCoerce(), set);
  for (const wrong of [0, -1, 1.5, "4"]) {
    const { message } = read({ "max-waiting": wrong }).swap().unsafeCoerce();
    assert.match(message, "connection-limits.max-waiting");
  }
});

test("malformed entries of prompt headers are left out", () => {
  assert.equal(parsePromptParts("a:10,b,c:x,d:5"), [
    { id: "a", tokens: 10 },
    { id: "d", tokens: 5 },
  ]);
  assert.equal(parseTokenCount("10,20"), { prompt: 10, maxOutput: 20 });
  assert.is(parseTokenCount("10"), undefined);
});

test("answers to a move call are parsed by status and handle", () => {
  const kind = (status: number, body: unknown) =>
    parseMove(status, JSON.stringify(body)).kind;
  assert.is(kind(200, { "kv-handle": "h", created: 3 }), "moved");
  assert.is(kind(200, {}), "failed");
  // It goes into a header of the next send.
  assert.is(kind(200, { "kv-handle": "h\n", created: 3 }), "failed");
  assert.is(kind(503, { "kv-handle": "\ufffd" }), "failed");
  assert.is(kind(503, { "kv-handle": "h" }), "stopped");
  assert.is(kind(503, {}), "failed");
  assert.is(kind(404, {}), "not_running");
  assert.is(kind(409, {}), "busy");
});

test.run();

import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkConfiguration } from "./check_configuration.ts";

const route = {
  name: "r",
  hostname: "api.example",
  "path-prefix": "/a/",
  "route-kind": "safe",
  service: "s",
};
const good = {
  version: 1,
  routes: [route],
  services: [{ name: "s" }],
  tenants: [{ name: "t", "api-keys": ["k"] }],
};

test("a good configuration has no faults", () => {
  assert.equal(checkConfiguration(JSON.stringify(good)), []);
});

test("each fault is named with its remedy", () => {
  const faults = checkConfiguration(JSON.stringify({
    ...good,
    routes: [
      route,
      route,
      { ...route, "path-prefix": "/b", service: "other" },
      { name: "torn" },
    ],
    tenants: [...good.tenants, { name: "u", "api-keys": ["k"] }],
  }));
  assert.is(faults.length, 5);
  assert.match(faults[0] ?? "", /1 of 4 routes cannot be read/);
  assert.match(faults.join("\n"), /stands twice; remove/);
  assert.match(faults.join("\n"), /begin and end with a slash/);
  assert.match(faults.join("\n"), /"other", which is not listed; add it/);
  assert.match(faults.join("\n"), /hold the same key; give each/);
});

test("a text that is no configuration says so", () => {
  assert.is(checkConfiguration("{}").length, 1);
  assert.is(checkConfiguration("no json").length, 1);
});

test.run();

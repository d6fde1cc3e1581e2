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
const valid = {
  version: 1,
  routes: [route],
  services: [{ name: "s" }],
  tenants: [{ name: "t", "api-keys": ["k"] }],
};

test("a valid configuration has no faults", () => {
  assert.equal(checkConfiguration(JSON.stringify(valid)), []);
});

test("each fault is named with its remedy", () => {
  const faults = checkConfiguration(JSON.stringify({
    ...valid,
    routes: [
      route,
      route,
      { ...route, "path-prefix": "/b", service: "other" },
      { name: "incomplete" },
    ],
    tenants: [...valid.tenants, { name: "u", "api-keys": ["k"] }],
  }));
  assert.is(faults.length, 5);
  assert.match(faults[0] ?? "", /1 of 4 routes cannot be decoded; give each/);
  assert.match(faults.join("\n"), /has two routes; remove/);
  assert.match(faults.join("\n"), /begin and end with a slash/);
  assert.match(faults.join("\n"), /"other", which is not listed; add it/);
  assert.match(faults.join("\n"), /have the same key; give each/);
});

test("a text that is not a configuration has one fault", () => {
  assert.is(checkConfiguration("{}").length, 1);
  assert.is(checkConfiguration("no json").length, 1);
});

test.run();

import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeConfiguration } from "@almondcrank/platform/decode_configuration.ts";
import { RouteTable } from "./route_table.ts";

function createTable(prefixes: readonly string[]): RouteTable {
  const configuration = decodeConfiguration({
    version: 1,
    routes: prefixes.map((prefix) => ({
      hostname: "api.example",
      "path-prefix": prefix,
      "route-kind": "safe",
      service: "s",
    })),
    services: [{ name: "s" }],
    tenants: [{ name: "t", "api-keys": ["k1", "k2"] }],
  });
  if (configuration === undefined) throw new Error("not decoded");
  return RouteTable.create(configuration);
}

test("the longest prefix matches", () => {
  const table = createTable(["/", "/a/", "/a/b/"]);
  const find = (path: string) =>
    table.findRoute("api.example", path)?.pathPrefix;
  assert.is(find("/a/b/c"), "/a/b/");
  assert.is(find("/a/b"), "/a/");
  assert.is(find("/a/bc/"), "/a/");
  assert.is(find("/x"), "/");
});

test("prefixes are literal, also with pattern characters of router libraries", () => {
  const table = createTable(["/:id/", "/*/"]);
  assert.is(table.findRoute("api.example", "/7/x"), undefined);
  assert.is(table.findRoute("api.example", "/:id/x")?.pathPrefix, "/:id/");
});

test("hosts match without port and case; other hosts do not", () => {
  const table = createTable(["/a/"]);
  assert.ok(table.findRoute("API.example:8221", "/a/"));
  assert.is(table.findRoute("other.example", "/a/"), undefined);
});

test("a tenant is found by each of its keys", () => {
  const table = createTable(["/a/"]);
  assert.is(table.findTenant("k2")?.name, "t");
  assert.is(table.findTenant("k3"), undefined);
});

test.run();

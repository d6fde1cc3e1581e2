/**
 * What others write into the store, and what callers send, ends no node: odd entries
 * name no replica to use, odd requests are refused, all others are served.
 */

import {
  composeReplicaEntry,
  replicaFields,
} from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { exampleHostname } from "@almondcrank/standin/platform/example_configuration.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";
import { runWithSetup } from "./testing/gateway_helpers.ts";

const sound = composeReplicaEntry({
  service: "booking",
  address: "127.0.0.1:9",
});

/** Entries of another writer by their ids. */
const oddEntries: Readonly<Record<string, unknown>> = {
  "i-\ufffd\ufffd": sound,
  "i-\u0001": sound,
  "i with spaces": sound,
  "\ud800": sound,
  "__proto__": sound,
  "i-\u00e9\u4e2d": sound,
  "i/with/slashes": sound,
  "i-number": 7,
  "i-null": null,
  "i-list": [sound],
  "i-text": "x".repeat(10_000),
  "i-no-version": { ...sound, version: undefined },
  "i-no-cold": { ...sound, [replicaFields.coldMs]: undefined },
  "i-no-number": { ...sound, [replicaFields.sequenceNumber]: undefined },
  "i-no-service": { ...sound, service: "__proto__" },
  "i-other-service": { ...sound, service: "nobody" },
  "i-zone": { ...sound, zone: { a: 1 } },
  "i-port": { ...sound, address: "127.0.0.1:99999" },
  "i-host": { ...sound, address: "host.example:80" },
  "i-path": { ...sound, address: "127.0.0.1:80/x" },
  "i-space": { ...sound, address: " 127.0.0.1:80" },
  "i-state": { ...sound, state: "resting" },
  "i-born": { ...sound, born: "yesterday", state: "gone" },
};

/** Puts entries with ids that no URL could name. */
function putOddEntries(setup: GatewaySetup): void {
  for (const [id, entry] of Object.entries(oddEntries)) {
    setup.store.put(replicasKind, id, entry);
  }
}

async function checkServed(setup: GatewaySetup): Promise<void> {
  for (const path of ["/book/x", "/lookup/x", "/answer/stream"]) {
    for (let at = 0; at < 8; at += 1) {
      const answer = await setup.call({ path, node: at % 2 });
      assert.is(answer.status, 200, `${path}: ${answer.body}`);
      assert.ok(answer.isComplete);
    }
  }
}

// Guards against the end of every node, again after each restart.
test("nodes serve beside odd entries of another writer", async () => {
  await runWithSetup(2, async (setup) => {
    putOddEntries(setup);
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    await checkServed(setup);
    // A node that starts reads them in a list.
    await setup.restart(1);
    await setup.waitUntil(async () =>
      (await setup.call({ path: "/book/x", node: 1 })).status === 200
    );
    await checkServed(setup);
  });
});

test("a replica at an IPv6 address is used", async () => {
  await runWithSetup(1, async (setup) => {
    const address = "[::1]:0";
    await setup.addReplica("six", "models", { address });
    setup.store.remove(replicasKind, "model-1");
    setup.store.remove(replicasKind, "model-2");
    await setup.waitUntil(async () => {
      await setup.call({ path: "/answer/stream" });
      return setup.findReplica("six").runs.length > 0;
    });
  });
});

/** Formats a request whose head has odd bytes. */
function formatRequest(path: string, line: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: ${exampleHostname}\r\n` +
    `X-Request-Id: odd\r\nX-Deadline-Ms: 2000\r\n${line}\r\n` +
    "Content-Length: 0\r\nConnection: close\r\n\r\n";
}

for (
  const [name, text] of [
    ["a tab in its path", formatRequest("/lookup/\tx", "X-Odd: 1")],
    ["a space in a header's name", formatRequest("/lookup/x", "X Odd: 1")],
  ] as const
) {
  // Guards against callers that end a node, by accident or on purpose.
  test(`a request with ${name} is refused at once and ends nothing`, async () => {
    await runWithSetup(1, async (setup) => {
      const text400 = await setup.sendRaw(text);
      assert.match(text400, "HTTP/1.1 400 ");
      assert.is((await setup.call({ path: "/lookup/x" })).status, 200);
    });
  });
}

test.run();

/**
 * Spoiled bytes from everything that a node speaks with: replicas, the store, the
 * cloud, its callers, its peers. No byte may end the process; once the bytes are
 * sound again, it serves.
 */

import { spawnSync } from "node:child_process";
import { createSocket } from "node:dgram";
import { connect } from "node:net";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { requireAddress } from "@almondcrank/common/address.ts";
import { Random } from "@almondcrank/common/random.ts";
import { exampleHostname } from "@almondcrank/standin/platform/example_configuration.ts";
import { GatewayProcess } from "./testing/gateway_process.ts";
import { SpoilingProxy } from "./testing/spoiling_proxy.ts";

const seeds = [1, 2, 3];
/** Rounds of calls and odd bytes for each seed. */
const rounds = 60;
const roundMs = 50;
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

test.before(() => {
  const built = spawnSync(process.execPath, ["scripts/bundle_gateway.mjs"]);
  assert.is(built.status, 0, String(built.stderr));
});

function createBytes(random: Random, text: string): Buffer {
  const bytes = Buffer.from(text);
  for (let at = 0; at < 3; at += 1) {
    bytes[random.nextInt(bytes.length)] = random.nextInt(256);
  }
  return bytes;
}

/** Sends spoiled requests to all listeners of a node, and odd datagrams. */
function sendOddBytes({ place }: GatewayProcess, random: Random): void {
  const head = `Host: ${exampleHostname}\r\nX-Deadline-Ms: 500\r\n` +
    "Authorization: Bearer k\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
  const paths = [
    "/book/x",
    "/lookup/x",
    "/readyz",
    "/status",
    "/peer/request/",
  ];
  for (const address of [place.callers, place.readiness, place.control]) {
    const { host, port } = requireAddress(address);
    const socket = connect(port, host);
    socket.on("error", () => undefined);
    const path = paths[random.nextInt(paths.length)];
    socket.write(createBytes(random, `POST ${path} HTTP/1.1\r\n${head}`));
    setTimeout(() => socket.destroy(), 400);
  }
  const datagrams = createSocket("udp4");
  datagrams.on("error", () => undefined);
  const json =
    `{"node":"n","sentAt":1,"report":{"members":[{}],"counters":[]}}`;
  const sent = createBytes(random, random.next() < 0.5 ? json : "x".repeat(90));
  datagrams.send(sent, place.peerPort, place.ip, () => datagrams.close());
}

for (const seed of seeds) {
  // Guards against any byte that is thrown at where nothing catches it.
  test(`spoiled bytes from all sides end no node (seed ${seed})`, async () => {
    const random = Random.create(seed);
    const proxies: SpoilingProxy[] = [];
    const node = await GatewayProcess.open(async (address) => {
      const proxy = await SpoilingProxy.open(address, random);
      proxies.push(proxy);
      return proxy.address;
    });
    const spoil = (isSpoiling: boolean): void => {
      for (const proxy of proxies) proxy.isSpoiling = isSpoiling;
    };
    try {
      node.writeSettings();
      node.start(["target/gateway.cjs"]);
      await node.waitUntilServing();
      spoil(true);
      for (let round = 0; round < rounds; round += 1) {
        void node.book({ deadlineMs: 500, path: "/book/x" });
        void node.book({ deadlineMs: 500, path: "/lookup/x" });
        sendOddBytes(node, random);
        await sleep(roundMs);
      }
      spoil(false);
      await sleep(1_000);
      await node.waitUntilServing();
      assert.not(node.hasEnded);
      assert.not.match(node.output, "an error was not caught");
    } finally {
      await node.close();
      for (const proxy of proxies) proxy.close();
    }
  });
}

test.run();

/**
 * Faults of a link, seen from a client of an echo server behind it.
 */

import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type LinkFault, LinkProxy } from "./link_proxy.ts";

const waitMs = 80;

/**
 * Sends a line through a link with a fault, then changes the fault to `then`.
 *
 * @returns What the server received, a slash, and what the client received.
 */
async function exchange(fault: LinkFault, then?: LinkFault): Promise<string> {
  const received: string[] = [];
  const echo = createServer((socket) => {
    socket.on("data", (data) => {
      received.push(data.toString());
      socket.write(data);
    });
    socket.on("error", () => undefined);
  });
  await new Promise<void>((resolve) => echo.listen(0, "127.0.0.1", resolve));
  const { port } = echo.address() as AddressInfo;
  const link = await LinkProxy.open(`127.0.0.1:${port}`);
  const socket: Socket = connect(Number(link.address.split(":")[1]));
  let outcome = "";
  socket.on("data", (data) => outcome += data.toString());
  socket.on("error", () => outcome += "reset");
  await new Promise((resolve) => setTimeout(resolve, waitMs));
  link.setFault(fault);
  if (!socket.destroyed) socket.write("line");
  await new Promise((resolve) => setTimeout(resolve, waitMs));
  if (then !== undefined) {
    link.setFault(then);
    await new Promise((resolve) => setTimeout(resolve, waitMs));
  }
  socket.destroy();
  link.close();
  echo.close();
  return `${received.join("")}/${outcome}`;
}

test("a link without a fault passes bytes both ways", async () => {
  assert.is(await exchange({ kind: "none" }), "line/line");
});

test("a cut holds bytes until it ends", async () => {
  assert.is(await exchange({ kind: "cut" }), "/");
  assert.is(await exchange({ kind: "cut" }, { kind: "none" }), "line/line");
});

test("a one-way cut holds only bytes from the target", async () => {
  assert.is(await exchange({ kind: "cut_answers" }), "line/");
});

test("a slow link delays bytes", async () => {
  const slow = { kind: "delay", ms: 60 } as const;
  assert.is(await exchange(slow), "line/");
  assert.is(await exchange(slow, slow), "line/line");
});

test("a reset ends open connections", async () => {
  assert.is(await exchange({ kind: "reset" }), "/reset");
});

test.run();

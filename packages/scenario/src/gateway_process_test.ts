/**
 * A gateway node as a real process: signals in series and while it loads, ports that
 * are held, settings that are being written, an output that nobody reads, errors
 * that nothing catches. None of these may end what it has taken.
 */

import { spawn, spawnSync } from "node:child_process";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { requireAddress } from "@almondcrank/common/address.ts";
import { GatewayProcess } from "./testing/gateway_process.ts";

const bundled = ["target/gateway.cjs"];
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

test.before(() => {
  const built = spawnSync(process.execPath, ["scripts/bundle_gateway.mjs"]);
  assert.is(built.status, 0, String(built.stderr));
});

/** Runs a test against a process that serves, unless `isStarted` is false. */
async function runWithProcess(
  run: (node: GatewayProcess) => Promise<void>,
  { isStarted = true }: { readonly isStarted?: boolean } = {},
): Promise<void> {
  const node = await GatewayProcess.open();
  try {
    if (isStarted) {
      node.writeSettings();
      node.start(bundled);
      await node.waitUntilServing();
    }
    await run(node);
  } finally {
    await node.close();
  }
}

// Guards against a second SIGTERM that cuts what the first one let finish.
test("signals to stop in series cut no request in work", async () => {
  await runWithProcess(async (node) => {
    node.booking.workMs = 1_000;
    const bookings = Array.from({ length: 10 }, () => node.book());
    await sleep(200);
    for (const signal of ["SIGTERM", "SIGTERM", "SIGINT", "SIGTERM"] as const) {
      node.signal(signal);
      await sleep(60);
    }
    const answers = await Promise.all(bookings);
    assert.equal(answers.map(({ status }) => status), Array(10).fill(200));
    assert.equal(await node.waitForEnd(), { code: 0, signal: null });
  });
});

// Guards against requests that are taken late in the grace period and cut at its end.
test("a node that drains takes no booking that may not end in time", async () => {
  await runWithProcess(async (node) => {
    node.booking.workMs = 200;
    node.configure({ timeoutMs: 30_000 });
    await sleep(500);
    node.signal("SIGTERM");
    await sleep(300);
    const [long, short] = await Promise.all([
      node.book({ deadlineMs: 20_000, id: "long" }),
      node.book({ deadlineMs: 1_000, id: "short" }),
    ]);
    assert.is(long?.status, 503);
    assert.match(long?.body ?? "", "draining");
    assert.is(short?.status, 200);
    assert.equal(node.booking.runs.filter(({ id }) => id === "long"), []);
  });
});

// Guards against requests whose connection is closed without an answer.
test("a request that outlasts the grace period is answered at its end", async () => {
  await runWithProcess(async (node) => {
    node.booking.workMs = 30_000;
    node.configure({ timeoutMs: 30_000 });
    await sleep(500);
    const booking = node.book({ deadlineMs: 20_000 });
    await sleep(300);
    node.signal("SIGTERM");
    const answer = await booking;
    assert.is(answer.status, 502);
    assert.ok(answer.isComplete);
    assert.equal(await node.waitForEnd(), { code: 0, signal: null });
  });
});

// Guards against signals whose default action ends the process.
test("other signals end nothing and open no debugger", async () => {
  await runWithProcess(async (node) => {
    for (
      const signal of ["SIGUSR2", "SIGUSR1", "SIGALRM", "SIGHUP"] as const
    ) {
      node.signal(signal);
      await sleep(50);
      assert.is((await node.book()).status, 200, signal);
    }
    assert.not.match(node.output, "Debugger");
    assert.is(node.hasEnded, false);
  });
});

// Guards against signals that come while the program is loaded.
test("signals that come while the program is loaded are kept for it", async () => {
  const folder = mkdtempSync(join(tmpdir(), "launcher-"));
  try {
    copyFileSync("scripts/gateway_launcher.cjs", join(folder, "gateway.cjs"));
    writeFileSync(
      join(folder, "gateway_program.cjs"),
      `require("node:fs").writeSync(1, "loading\\n");
      const endsAt = Date.now() + 500;
      while (Date.now() < endsAt);
      // Signals that came meanwhile are delivered in the next turns.
      exports.start = (early) => setTimeout(() => console.log(early.join()), 50);`,
    );
    const child = spawn(process.execPath, [join(folder, "gateway.cjs")]);
    let output = "";
    child.stdout.on("data", (data) => output += data);
    await once(child.stdout, "data");
    child.kill("SIGHUP");
    child.kill("SIGUSR2");
    const [code, signal] = await once(child, "close");
    assert.equal([code, signal], [0, null]);
    assert.match(output, "loading");
  } finally {
    rmSync(folder, { recursive: true });
  }
});

// Guards against a log whose reader has ended and takes the node with it.
test("a node whose output nobody reads any more goes on serving", async () => {
  await runWithProcess(async (node) => {
    node.closeOutputs();
    for (let at = 0; at < 20; at += 1) {
      assert.is((await node.book()).status, 200);
    }
    node.signal("SIGTERM");
    assert.equal(await node.waitForEnd(), { code: 0, signal: null });
  });
});

/** Holds all ports of a node; the result frees them. */
async function holdPorts({ place }: GatewayProcess): Promise<() => void> {
  const held = [place.callers, place.readiness, place.control].map((text) => {
    const { host, port } = requireAddress(text);
    return createServer().listen(port, host);
  });
  await Promise.all(held.map((server) => once(server, "listening")));
  const socket = createSocket("udp4");
  socket.bind(place.peerPort, place.ip);
  await once(socket, "listening");
  return () => {
    for (const server of held) server.close();
    socket.close();
  };
}

// Guards against a node that ends as the one that it replaces still holds its ports.
test("a node waits for ports that are still held, and says so", async () => {
  await runWithProcess(async (node) => {
    const free = await holdPorts(node);
    node.writeSettings();
    node.start(bundled);
    await node.waitForOutput("an address is still held");
    await sleep(1_000);
    free();
    await node.waitUntilServing();
  }, { isStarted: false });
});

test("a node that is stopped before it is open ends with code 0", async () => {
  await runWithProcess(async (node) => {
    const free = await holdPorts(node);
    node.writeSettings();
    node.start(bundled);
    await node.waitForOutput("an address is still held");
    node.signal("SIGTERM");
    assert.equal(await node.waitForEnd(), { code: 0, signal: null });
    free();
  }, { isStarted: false });
});

// Guards against a start that reads the settings as they are being written.
test("settings that are missing or being written at the start are read again", async () => {
  await runWithProcess(async (node) => {
    node.start(bundled);
    await sleep(400);
    node.writeSettings(node.settingsText.slice(0, 100));
    await sleep(400);
    node.writeSettings();
    await node.waitUntilServing();
  }, { isStarted: false });
});

test("settings that stay invalid end the start with code 2", async () => {
  await runWithProcess(async (node) => {
    node.writeSettings("{");
    node.start(bundled);
    assert.equal(await node.waitForEnd(), { code: 2, signal: null });
    assert.match(node.output, "not a JSON object");
  }, { isStarted: false });
});

// What it does then is a decision, and not the default of Node.js.
for (
  const [name, fault] of [
    ["an exception", "setTimeout(() => { throw new Error('odd') }, 1_500)"],
    [
      "a rejection",
      "setTimeout(() => void Promise.reject(new Error('odd')), 1_500)",
    ],
  ] as const
) {
  test(`after ${name} that nothing catches a node answers what it has taken`, async () => {
    await runWithProcess(async (node) => {
      node.writeSettings();
      const program = "@almondcrank/gateway/gateway_program.ts";
      node.start([
        "--import",
        "tsx",
        "--input-type",
        "module",
        "--eval",
        `import { runGatewayProgram } from "${program}";
        void runGatewayProgram();
        process.on("SIGUSR2", () => { ${fault} });`,
      ]);
      await node.waitUntilServing();
      node.booking.workMs = 2_000;
      node.signal("SIGUSR2");
      await sleep(1_000);
      const bookings = Array.from({ length: 5 }, () => node.book());
      const answers = await Promise.all(bookings);
      assert.equal(answers.map(({ status }) => status), Array(5).fill(200));
      assert.equal(await node.waitForEnd(), { code: 1, signal: null });
      assert.match(node.output, "an error was not caught");
      assert.match(node.output, "odd");
    }, { isStarted: false });
  });
}

test.run();

import * as assert from "uvu/assert";
import { test } from "uvu";
import { createServer as createTcpServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { HttpPlainEndpoint } from "./http_plain_endpoint.ts";
import type { PlainCall } from "./plain_service.ts";

const never = new AbortController().signal;

const bookingCall: PlainCall = {
  method: "POST",
  path: "/slots",
  contentType: "application/json",
  body: Buffer.from('{"bay":3}'),
  idempotencyKey: "k-1",
  priority: 2,
  remainingMs: 5_000,
};

/** Runs `body` against a TCP server that passes received data to `handleData`. */
async function runWith(
  handleData: (socket: Socket, received: string) => void,
  body: (address: string) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createTcpServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (data) => handleData(socket, data.toString()));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  try {
    await body(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  }
}

function createEndpoint(address: string): HttpPlainEndpoint {
  const clock = SystemClock.create();
  return HttpPlainEndpoint.create({ name: "booking-1", address, clock });
}

async function readFailure(address: string): Promise<[string, string]> {
  const endpoint = createEndpoint(address);
  const result = await endpoint.call(bookingCall, never);
  endpoint.dispose();
  const error = result.swap().unsafeCoerce();
  return [error.kind, error.run];
}

test("a call carries body, key, priority and remaining time", async () => {
  let seen = "";
  await runWith((socket, received) => {
    seen += received;
    if (seen.includes("bay")) {
      socket.end("HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\nok");
    }
  }, async (address) => {
    const endpoint = createEndpoint(address);
    const answer = (await endpoint.call(bookingCall, never)).unsafeCoerce();
    endpoint.dispose();
    assert.is(answer.status, 201);
    assert.is(Buffer.from(answer.body).toString(), "ok");
  });
  assert.match(seen, /^POST \/slots HTTP\/1.1/);
  assert.match(seen, /idempotency-key: k-1/);
  assert.match(seen, /x-priority: 2/);
  assert.match(seen, /x-remaining-ms: 5000/);
});

test("a call whose connection is refused did not run", async () => {
  let freeAddress = "";
  await runWith(() => {}, (address) => {
    freeAddress = address;
    return Promise.resolve();
  });
  assert.equal(await readFailure(freeAddress), ["unreachable", "not_run"]);
});

test("a call whose connection ends after the request may have run", async () => {
  await runWith((socket) => socket.destroy(), async (address) => {
    assert.equal(await readFailure(address), ["connection_lost", "unknown"]);
  });
});

test("a call whose answer ends within its body may have run", async () => {
  await runWith((socket) => {
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart");
  }, async (address) => {
    assert.equal(await readFailure(address), ["connection_lost", "unknown"]);
  });
});

test("an answer that only the end of its connection delimits may be a part", async () => {
  for (const end of ["end", "resetAndDestroy"] as const) {
    await runWith((socket) => {
      const head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
      socket.write(`${head}part`, () => socket[end]());
    }, async (address) => {
      assert.equal(await readFailure(address), ["connection_lost", "unknown"]);
    });
  }
});

test("an answer that has no body needs no length", async () => {
  const statuses = [["HEAD", 200], ["GET", 204], ["GET", 304]] as const;
  for (const [method, status] of statuses) {
    await runWith((socket) => {
      socket.end(`HTTP/1.1 ${status} Fine\r\nconnection: close\r\n\r\n`);
    }, async (address) => {
      const endpoint = createEndpoint(address);
      const call = { ...bookingCall, method, body: Buffer.alloc(0) };
      const answer = await endpoint.call(call, never);
      endpoint.dispose();
      assert.is(answer.map((whole) => whole.status).extract(), status);
    });
  }
});

test("a declined call did not run, an ordinary 503 is an answer", async () => {
  let declineHeader = "x-run: not_run\r\n";
  await runWith((socket) => {
    socket.end(
      `HTTP/1.1 503 Service Unavailable\r\n${declineHeader}content-length: 0\r\n\r\n`,
    );
  }, async (address) => {
    assert.equal(await readFailure(address), ["declined", "not_run"]);
    declineHeader = "";
    const endpoint = createEndpoint(address);
    const answer = await endpoint.call(bookingCall, never);
    endpoint.dispose();
    assert.is(answer.unsafeCoerce().status, 503);
  });
});

test("a call that times out may have run", async () => {
  const clock = ManualClock.create();
  let arrived = (): void => {};
  const arrival = new Promise<void>((resolve) => arrived = resolve);
  await runWith(() => arrived(), async (address) => {
    const endpoint = HttpPlainEndpoint.create({ name: "b", address, clock });
    const pending = endpoint.call(bookingCall, never);
    await arrival;
    await clock.advance(5_000);
    const error = (await pending).swap().unsafeCoerce();
    endpoint.dispose();
    assert.is(error.kind, "timeout");
    assert.is(error.run, "unknown");
  });
});

test("a process paused past the deadline sends nothing when it resumes", async () => {
  const clock = ManualClock.create();
  // The time jumps without firing timers, as in a process that was paused.
  const paused = {
    now: () => clock.now() + jumpMs,
    wallTime: () => clock.wallTime(),
    sleep: (ms: number, signal?: AbortSignal) => clock.sleep(ms, signal),
  };
  let jumpMs = 0;
  let received = 0;
  await runWith(() => received++, async (address) => {
    const endpoint = HttpPlainEndpoint.create({
      name: "b",
      address,
      clock: paused,
    });
    const pending = endpoint.call(bookingCall, never);
    jumpMs = 6_000;
    const error = (await pending).swap().unsafeCoerce();
    endpoint.dispose();
    assert.is(error.run, "not_run");
  });
  assert.is(received, 0);
});

test("an aborted call that was sent may have run", async () => {
  const abort = new AbortController();
  await runWith(() => abort.abort(), async (address) => {
    const endpoint = createEndpoint(address);
    const error = (await endpoint.call(bookingCall, abort.signal)).swap()
      .unsafeCoerce();
    endpoint.dispose();
    assert.is(error.run, "unknown");
  });
});

test("a call whose caller's end is read after it is not sent, also on an open connection", async () => {
  let received = 0;
  await runWith((socket) => {
    received += 1;
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }, async (address) => {
    const endpoint = createEndpoint(address);
    await endpoint.call(bookingCall, never);
    const caller = new AbortController();
    const call = endpoint.call(bookingCall, caller.signal);
    setImmediate(() => caller.abort());
    const error = (await call).swap().unsafeCoerce();
    await endpoint.call(bookingCall, never);
    endpoint.dispose();
    assert.is(error.run, "not_run");
    assert.is(received, 2);
  });
});

test.run();

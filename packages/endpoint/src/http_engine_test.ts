import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import type { ServerResponse } from "node:http";
import { HttpEngine } from "./http_engine.ts";
import type { GenerateRequest } from "./engine.ts";

const request: GenerateRequest = {
  id: "a1",
  model: "m",
  prompt: "one two",
  tokensSoFar: [],
  maxTokens: 8,
  priority: 0,
  remainingMs: 5_000,
};
const end = {
  kind: "end",
  reason: "stop",
  usage: {
    promptTokens: 2,
    cachedTokens: 0,
    computedTokens: 2,
    outputTokens: 1,
  },
};

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

async function openServer(handle: Handler): Promise<Server> {
  const server = createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

function createEngine(server: Server, clock = ManualClock.create()) {
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  return HttpEngine.create({ endpoint: { name: "e", address }, clock });
}

async function collect(engine: HttpEngine): Promise<string[]> {
  const seen: string[] = [];
  for await (
    const item of engine.generate(request, new AbortController().signal)
  ) {
    item.caseOf({
      Left: (error) => seen.push(`${error.kind}/${error.run}`),
      Right: (event) =>
        seen.push(event.kind === "token" ? event.text : event.reason),
    });
  }
  return seen;
}

async function run(handle: Handler): Promise<string[]> {
  const server = await openServer(handle);
  const engine = createEngine(server);
  const seen = await collect(engine);
  engine.dispose();
  server.closeAllConnections();
  server.close();
  return seen;
}

test("events are read when chunks split lines and characters", async () => {
  const text = JSON.stringify({ kind: "token", index: 0, text: " é" }) + "\n" +
    JSON.stringify(end) + "\n";
  const bytes = Buffer.from(text);
  const seen = await run(async (_, response) => {
    for (const byte of bytes) {
      response.write(Buffer.of(byte));
      await new Promise((resolve) => setImmediate(resolve));
    }
    response.end();
  });
  assert.equal(seen, [" é", "stop"]);
});

test("a stream without an end event fails as a lost connection", async () => {
  const token = JSON.stringify({ kind: "token", index: 0, text: "a" });
  const whole = await run((_, response) => response.end(token + "\n"));
  assert.equal(whole, ["a", "connection_lost/unknown"]);
  const cut = await run((_, response) => {
    response.write(token + "\n", () => response.destroy());
  });
  assert.equal(cut, ["a", "connection_lost/unknown"]);
});

test("a failure says whether the engine may have run the request", async () => {
  const declined = await run((_, response) => {
    response.writeHead(503).end(JSON.stringify({ reason: "full" }));
  });
  assert.equal(declined, ["declined/not_run"]);
  const killed = await run((_, response) => response.destroy());
  assert.equal(killed, ["connection_lost/unknown"]);
  const malformed = await run((_, response) => response.end("{}\n"));
  assert.equal(malformed, ["bad_answer/unknown"]);
  const server = await openServer(() => {});
  const engine = createEngine(server);
  await new Promise((resolve) => server.close(resolve));
  assert.equal(await collect(engine), ["unreachable/not_run"]);
  engine.dispose();
});

test("an aborted generation is cancelled on the engine", async () => {
  const paths: string[] = [];
  let cancelled = (): void => {};
  const cancel = new Promise<void>((resolve) => cancelled = resolve);
  const server = await openServer((incoming, response) => {
    paths.push(incoming.url ?? "");
    if (incoming.url === "/generate") {
      response.write(JSON.stringify({ kind: "token", index: 0, text: "a" }));
      response.write("\n");
      return;
    }
    response.end("{}");
    cancelled();
  });
  const engine = createEngine(server);
  const abort = new AbortController();
  for await (const item of engine.generate(request, abort.signal)) {
    assert.ok(item.isRight());
    abort.abort();
  }
  await cancel;
  assert.equal(paths, ["/generate", "/cancel"]);
  engine.dispose();
  server.closeAllConnections();
  server.close();
});

test("a call without answer times out", async () => {
  const clock = ManualClock.create();
  let requested = (): void => {};
  const reached = new Promise<void>((resolve) => requested = resolve);
  const server = await openServer(() => requested());
  const engine = createEngine(server, clock);
  const load = engine.readLoad();
  await reached;
  await clock.advance(2_000);
  assert.is((await load).swap().extract()?.toString().includes("2000"), true);
  engine.dispose();
  server.closeAllConnections();
  server.close();
});

test("an order with a stale fencing token fails with the newer one", async () => {
  const server = await openServer((_, response) => {
    response.writeHead(412).end(JSON.stringify({ known: 9 }));
  });
  const engine = createEngine(server);
  const answer = await engine.sendOrder({
    fencing: 3,
    holder: "n1",
    role: "serve",
    models: [],
  }, () => true);
  const error = answer.swap().extract() as { detail: unknown };
  assert.equal(error.detail, {
    kind: "stale_fencing",
    endpoint: "e",
    sent: 3,
    known: 9,
  });
  engine.dispose();
  server.closeAllConnections();
  server.close();
});

test("a generation whose caller's end is read after it is not sent", async () => {
  let received = 0;
  const server = await openServer((_, response) => {
    received += 1;
    response.end();
  });
  const engine = createEngine(server);
  const caller = new AbortController();
  const events = engine.generate(request, caller.signal);
  const first = events.next();
  setImmediate(() => caller.abort());
  assert.is((await first).done, true);
  engine.dispose();
  server.close();
  assert.is(received, 0);
});

test.run();

/**
 * Measures the rate of relayed token events on one core, compared with a pipe.
 *
 * Usage: node --import tsx packages/bench/src/relay_rate.ts [EVENTS_PER_SECOND]
 *
 * Three processes run: a source of token streams, a sink of answers (both started
 * from this file), and between them the measured relay: engine client, stream
 * output and a reader that writes server-sent events. The pipe copies the same
 * bytes from source to sink without parsing them.
 */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { Pool } from "undici";
import { Right } from "purify-ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import {
  emptyConfiguration,
  type Endpoint,
  type ModelService,
} from "@almondcrank/common/configuration.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { ClientPool } from "@almondcrank/endpoint/client_pool.ts";
import { HttpEngine } from "@almondcrank/endpoint/http_engine.ts";
import { LoadTable } from "@almondcrank/routing/choice/load_table.ts";
import type { ModelStream } from "@almondcrank/routing/routers/model_router.ts";
import { NodeModelRouter } from "@almondcrank/routing/routers/node_model_router.ts";
import { benchService } from "./policy_bench.ts";

const streams = 672;
const tokensPerStream = 400;
const tickMs = 32;
/** All streams begin at once, so the target allows late first tokens. */
const relayService: ModelService = {
  ...benchService,
  target: { firstTokenMs: 30_000, betweenTokensMs: tickMs },
};
const role = process.argv[2] ?? "";

function formatToken(index: number): string {
  return `{"kind":"token","index":${index},"text":" word${index % 10}"}\n`;
}

async function listen(server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

/** Serves streams that send one token every `betweenMs` milliseconds. */
async function runSource(betweenMs: number): Promise<void> {
  const server = createServer((request, response) => {
    request.resume();
    if (request.url !== "/generate") return response.end("{}");
    let index = 0;
    // Streams start at different times, so that their tokens don't coincide.
    const begin = Math.random() * betweenMs;
    setTimeout(() => {
      const timer = setInterval(() => {
        if (index < tokensPerStream) {
          response.write(formatToken(index++));
          return;
        }
        clearInterval(timer);
        const usage = {
          promptTokens: 1,
          cachedTokens: 0,
          computedTokens: 1,
          outputTokens: index,
        };
        response.end(
          JSON.stringify({ kind: "end", reason: "length", usage }) + "\n",
        );
      }, betweenMs);
    }, begin);
  });
  process.send?.(await listen(server));
}

/** Reads and discards all answers of the relay; reports their total bytes. */
async function runSink(port: number): Promise<void> {
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: null });
  const counts = await Promise.all(
    Array.from({ length: streams }, async () => {
      const { body } = await pool.request({
        path: "/",
        method: "POST",
        body: "{}",
      });
      let bytes = 0;
      for await (const chunk of body) bytes += (chunk as Buffer).length;
      return bytes;
    }),
  );
  process.send?.(counts.reduce((sum, bytes) => sum + bytes, 0));
  await pool.close();
}

function startChild(...args: string[]): ChildProcess {
  return fork(process.argv[1] ?? "", args, {
    execArgv: ["--import", "tsx"],
  });
}

async function readMessage(child: ChildProcess): Promise<number> {
  const [message] = await once(child, "message");
  return message as number;
}

type Relay = (response: ServerResponse) => Promise<void>;

/** Creates a relay that copies the source's bytes unchanged. */
function createPipe(source: number): Relay {
  const pool = new Pool(`http://127.0.0.1:${source}`, { connections: null });
  return async (response) => {
    const { body } = await pool.request({
      path: "/generate",
      method: "POST",
      body: "{}",
    });
    body.pipe(response);
    await once(response, "finish");
  };
}

/** Creates a relay with the product's request path. */
async function createRelay(source: number): Promise<Relay> {
  const clock = SystemClock.create();
  const endpoint: Endpoint = {
    name: "e0",
    service: benchService.name,
    address: `127.0.0.1:${source}`,
    host: "h0",
    zone: "z",
    machineClass: "a",
    market: "on_demand",
    checksFencing: true,
  };
  const endpoints = [endpoint];
  const team = { name: "t", keyHash: "", priority: 0, share: 1 };
  const configuration = {
    ...emptyConfiguration,
    teams: [team],
    services: [relayService],
    endpoints,
  };
  const assumed = {
    slots: 4_096,
    prefillTokensPerSecond: 1e6,
    betweenTokensMs: 32,
  };
  const loads = LoadTable.create({ clock, assumed });
  loads.apply(endpoints);
  const engines = ClientPool.create((endpoint) =>
    HttpEngine.create({ endpoint, clock, maxConnections: 2_048 })
  );
  const router = NodeModelRouter.create({
    nodeName: "n1",
    incarnation: "1",
    configuration: { current: () => configuration },
    engines: (found) => engines.find(found),
    loads,
    limiter: { admit: () => Right({ release: () => {} }) },
    retries: { recordSend: () => {}, takeRetry: () => false },
    peers: {
      list: () => [],
      readEvents: () => Promise.reject(new Error("no peers")),
      cancel: () => Promise.resolve(),
      handOver: () => Promise.reject(new Error("no peers")),
    },
    clock,
    random: Random.create(1),
    hasher: await openHasher(),
    metrics: Metrics.create(),
    log: createSilentLog(),
  });
  return async (response) => {
    const opened = await router.open({
      team,
      service: relayService,
      prompt: "relay",
      maxTokens: tokensPerStream,
      deadline: clock.now() + 60_000,
    });
    await writeEvents(opened.unsafeCoerce(), response);
  };
}

async function writeEvents(
  stream: ModelStream,
  response: ServerResponse,
): Promise<void> {
  for await (const event of stream.read(0, new AbortController().signal)) {
    if (event.kind === "token") {
      const text = JSON.stringify(event.text);
      response.write(
        `id: ${stream.id}:${event.index}\ndata: {"choices":[{"index":0,` +
          `"delta":{"content":${text}}}]}\n\n`,
      );
    } else if (event.kind === "failed") {
      throw event.refusal;
    }
  }
  response.end();
}

/** Runs one relay; prints its rate and CPU time per event, returns the latter. */
async function measure(
  name: string,
  source: number,
  relay: Relay,
): Promise<number> {
  const server = createServer((request, response) => {
    request.resume();
    void relay(response);
  });
  const port = await listen(server);
  const before = process.cpuUsage();
  const started = performance.now();
  const sink = startChild("sink", String(port), String(source));
  await readMessage(sink);
  const seconds = (performance.now() - started) / 1_000;
  const { user, system } = process.cpuUsage(before);
  server.close();
  const events = streams * tokensPerStream;
  const micros = (user + system) / events;
  process.stdout.write(
    `${name.padEnd(6)} ${events} events in ${seconds.toFixed(1)} s, ` +
      `${(events / seconds).toFixed(0)} events/s, ` +
      `${micros.toFixed(1)} us of processor time per event, ` +
      `${(1e6 / micros).toFixed(0)} events/s on one core\n`,
  );
  return micros;
}

if (role === "source") await runSource(Number(process.argv[3]));
else if (role === "sink") await runSink(Number(process.argv[3]));
else {
  const betweenMs = Number(role || tickMs);
  const source = startChild("source", String(betweenMs));
  const port = await readMessage(source);
  const relay = await createRelay(port);
  const pipe = createPipe(port);
  for (let round = 0; round < 2; round++) {
    const pipeMicros = await measure("pipe", port, pipe);
    const relayMicros = await measure("relay", port, relay);
    process.stdout.write(
      `relay to pipe ${(relayMicros / pipeMicros).toFixed(2)}\n`,
    );
  }
  source.kill();
  process.exit(0);
}

/**
 * Stand-in of a replica, as PROTOCOL.md describes it: runs streams and plain
 * requests, registers itself in the store, drains, moves runs. It works on one
 * request a channel and drops a request when its channel closes.
 */

import { createServer } from "node:http";
import { composeEntry, kvBytes, linkMbps } from "./manifest.mjs";

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Copied runs by handle, which the replicas of one script know of each other. */
const copies = new Map();
let handles = 0;

export class Replica {
  /** Every run: id, path, how it ended. */
  runs = [];
  /** Chooses how the answer to a run is spoiled; undefined for none. */
  chooseFault = () => undefined;
  /** Whether this replica's answer to a stream ends with its channel. */
  isUnframed = () => false;
  workMs = 20;
  events = 50;
  eventMs = 40;
  /** Time until the first event. */
  firstMs = 20;
  #copyFreeAt = 0;
  #active = new Map();

  static async open(run, store, options) {
    const replica = new Replica();
    Object.assign(replica, { run, store, born: Date.now() }, options);
    replica.server = createServer({ keepAliveTimeout: 30_000 }, (...call) => {
      replica.#handle(...call).catch(() => call[1].destroy());
    });
    replica.server.on("clientError", (error, socket) => socket.destroy());
    await new Promise((resolve) =>
      replica.server.listen(0, run.platformHost, resolve)
    );
    const { port } = replica.server.address();
    replica.address = `${run.platformHost}:${port}`;
    replica.register();
    run.onEnd(() => replica.close());
    return replica;
  }

  register(fields = {}) {
    this.isLeaving = fields.state === "draining";
    this.store.put("servers", this.id, composeEntry(this, fields));
    if (fields.state !== undefined) {
      this.run.record(`the store has accepted: ${this.id} is ${fields.state}`);
    }
  }

  /** Leaves: its entry goes, its channels are reset. */
  exit() {
    this.run.record(`${this.id} exits, ${this.#active.size} runs in progress`);
    this.store.remove("servers", this.id);
    for (const { socket } of this.#active.values()) socket.resetAndDestroy();
    this.close();
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString("utf8");
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "X-Replica-Id": this.id });
      return response.end();
    }
    if (request.url === "/kv-move") return this.#move(JSON.parse(body), response);
    if (request.url.startsWith("/kv-handle/")) return response.end();
    if (request.url === "/healthz") {
      response.writeHead(200, { "X-Replica-Id": this.id });
      return response.end();
    }
    await this.#work(request, response);
  }

  async #work(request, response) {
    const { headers, socket } = request;
    const id = headers["x-request-id"];
    const copied = copies.get(String(headers["kv-from"]).split("/").at(-1));
    if (headers["kv-from"] !== undefined && copied === undefined) {
      response.writeHead(503, { "X-Request-Id": id, "X-Not-Executed": "1" });
      return response.end();
    }
    const task = {
      id,
      replica: this.id,
      path: request.url,
      tokens: Number(String(headers["x-token-count"]).split(",")[0]) || 0,
      zone: this.zone ?? "muc-a",
      socket,
      at: this.run.now(),
      end: undefined,
      isStopped: false,
      events: 0,
    };
    this.runs.push(task);
    this.#active.set(id, task);
    this.run.record(`run ${id} at ${this.id}: ${request.method} ${request.url}`);
    const leave = () => {
      task.end ??= "dropped, its channel closed";
      if (this.#active.get(id) === task) this.#active.delete(id);
    };
    socket.once("close", leave);
    const isStream = request.url.startsWith("/lohu930/") ||
      request.url.startsWith("/pufi791/");
    if (isStream) await this.#stream({ request, response, task });
    else await this.#call({ request, response, task });
    task.end ??= "done";
    socket.off("close", leave);
    if (this.#active.get(id) === task) this.#active.delete(id);
    this.run.record(`run ${id} at ${this.id} ended: ${task.end}`);
  }

  #listHead(id) {
    return {
      "X-Request-Id": id,
      "X-Server-Seal": `seal-${this.id}-${id}`,
      "X-Weight-Versions": "1",
    };
  }

  async #call({ request, response, task }) {
    const fault = this.chooseFault(task);
    await sleep(this.workMs);
    if (task.end !== undefined) return;
    if (fault !== undefined) {
      task.end = `its answer was spoiled: ${fault.name}`;
      return request.socket.write(
        fault.compose(task, this.#listHead(task.id)),
      );
    }
    const text = `answer to ${task.id}`;
    response.writeHead(200, {
      ...this.#listHead(task.id),
      "Content-Length": String(text.length),
      ...(this.isLeaving ? { Connection: "close" } : {}),
    });
    response.end(text);
  }

  async #stream({ request, response, task }) {
    const { socket } = task;
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    const fault = this.chooseFault(task);
    const isUnframed = this.isUnframed(task);
    await sleep(this.firstMs);
    if (task.end !== undefined) return;
    if (fault !== undefined) {
      task.end = `its answer was spoiled: ${fault.name}`;
      return socket.write(fault.compose(task, this.#listHead(task.id)));
    }
    const head = { ...this.#listHead(task.id), "Content-Type": "text/event-stream" };
    if (isUnframed) {
      const lines = Object.entries({ ...head, Connection: "close" })
        .map(([name, value]) => `${name}: ${value}\r\n`).join("");
      socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\n`);
    } else response.writeHead(200, head);
    const out = isUnframed ? socket : response;
    for (let number = first; number <= this.events; number += 1) {
      if (task.isStopped) {
        task.end = `stopped after event ${task.events} by a move`;
        // An answer without a length has no other end than that of its channel.
        if (isUnframed) socket.end();
        else socket.destroy();
        return;
      }
      out.write(`id: ${number}\ndata: piece ${number} of ${task.id}\n\n`);
      task.events = number;
      await sleep(this.eventMs);
      if (task.end !== undefined) return;
    }
    task.end = "done";
    out.end();
  }

  /**
   * Stops a run and copies its memory to another replica, queued behind other
   * moves; answers when the copy is complete.
   */
  async #move({ id, to }, response) {
    const task = this.#active.get(id);
    if (task === undefined || task.isStopped) {
      response.writeHead(task === undefined ? 404 : 409);
      return response.end();
    }
    task.isStopped = true;
    const now = performance.now();
    const zones = this.zoneOf(to) === (this.zone ?? "muc-a") ? 1 : 2;
    const copyMs = task.tokens * kvBytes * 8 / (linkMbps * 1_000) * zones;
    this.#copyFreeAt = Math.max(now, this.#copyFreeAt) + copyMs;
    const waitMs = this.#copyFreeAt - now;
    this.run.record(
      `move of ${id} from ${this.id}: stopped, ` +
        `copied after ${waitMs.toFixed(0)} ms`,
    );
    await sleep(waitMs);
    handles += 1;
    const handle = `h${handles}`;
    copies.set(handle, { id, events: task.events });
    const text = JSON.stringify({ "kv-handle": handle, created: task.events });
    response.writeHead(200, {
      "Content-Type": "application/json",
      "Content-Length": String(text.length),
    });
    response.end(text);
  }

  /** Zone of the replica at an address. */
  zoneOf() {
    return this.zone ?? "muc-a";
  }
}

/**
 * Stand-ins of the platform for the review's scripts: the metadata store and the
 * platform's API for duties, as PROTOCOL.md describes them. They keep everything
 * in memory and listen on a loopback address.
 */

import { createServer } from "node:http";

const answerMs = 4;
const maxWaitMs = 30_000;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

function sendJson(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": String(Buffer.byteLength(text)),
  });
  response.end(text);
}

/** The metadata store: objects by kind and name, one revision counter, watches. */
export class Store {
  #kinds = new Map();
  #history = [];
  #revision = 1;
  #waiting = new Set();
  /** Largest number of objects in one answer; the pages say about 500. */
  pageItems = 500;
  /** Called with each list answer, before the next call is read. */
  onPage = () => {};

  static async open(host) {
    const store = new Store();
    store.server = createServer((request, response) => {
      store.#handle(request, response).catch(() => response.destroy());
    });
    store.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => store.server.listen(0, host, resolve));
    store.address = `${host}:${store.server.address().port}`;
    return store;
  }

  /** Writes an object as an operator, a replica or another writer does. */
  put(kind, name, spec) {
    const known = this.#find(kind).get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    this.#revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.#revision,
        created: known?.metadata.created ?? this.#revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: known?.status ?? null,
    };
    this.#find(kind).set(name, object);
    this.#addEvent({ kind, revision: this.#revision, deleted: false, object });
    return object;
  }

  remove(kind, name) {
    const object = this.#find(kind).get(name);
    if (object === undefined) return;
    this.#find(kind).delete(name);
    this.#revision += 1;
    this.#addEvent({ kind, revision: this.#revision, deleted: true, object });
  }

  /** Cuts the watches that wait, which the pages allow at any time. */
  cutWatches() {
    for (const { response, wake } of this.#waiting) {
      response.destroy();
      wake();
    }
  }

  close() {
    this.cutWatches();
    this.server.close();
    this.server.closeAllConnections();
  }

  #find(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #addEvent(event) {
    this.#history.push(event);
    for (const { wake } of this.#waiting) wake();
  }

  #listEvents(kind, since) {
    return this.#history
      .filter((event) => event.kind === kind && event.revision > since);
  }

  async #handle(request, response) {
    const body = await readBody(request);
    await sleep(answerMs);
    const url = new URL(request.url, "http://store");
    const [, root, kind, name, part] = url.pathname.split("/")
      .map(decodeURIComponent);
    if (root !== "objects" || kind === undefined) {
      return sendJson(response, 404, {});
    }
    if (request.method !== "GET") {
      return this.#write({ request, response, kind, name, part, url, body });
    }
    if (name !== undefined) {
      const object = this.#find(kind).get(name);
      return sendJson(response, object ? 200 : 404, object ?? {});
    }
    const since = url.searchParams.get("watch");
    if (since !== null) {
      return await this.#answerWatch(url, kind, Number(since), response);
    }
    const after = url.searchParams.get("after") ?? "";
    const all = [...this.#find(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const hasMore = all.length > this.pageItems;
    sendJson(response, 200, {
      items: all.slice(0, this.pageItems),
      "more-pages": hasMore,
      "store-revision": this.#revision,
    });
    this.onPage({ kind, after, hasMore, revision: this.#revision });
  }

  async #answerWatch(url, kind, since, response) {
    const waitMs = Math.min(
      maxWaitMs,
      Number(url.searchParams.get("wait-ms") ?? 0),
    );
    const endsAt = performance.now() + waitMs;
    while (this.#listEvents(kind, since).length === 0) {
      const leftMs = endsAt - performance.now();
      if (leftMs <= 0 || response.destroyed) break;
      await new Promise((resolve) => {
        const waiter = { response, wake: () => finish() };
        const finish = () => {
          clearTimeout(timer);
          this.#waiting.delete(waiter);
          resolve();
        };
        const timer = setTimeout(finish, leftMs);
        this.#waiting.add(waiter);
      });
    }
    if (response.destroyed) return;
    const events = this.#listEvents(kind, since)
      .map(({ deleted, object }) => ({ deleted, object }));
    sendJson(response, 200, { events, "store-revision": this.#revision });
  }

  #write({ request, response, kind, name: named, part, url, body }) {
    const input = body === "" ? {} : JSON.parse(body);
    const name = named ?? input.metadata?.name;
    const known = this.#find(kind).get(name);
    const expected = input.metadata?.revision ??
      url.searchParams.get("revision");
    if (request.method === "POST") {
      if (known !== undefined) return sendJson(response, 409, known);
      return sendJson(response, 200, this.put(kind, name, input.spec));
    }
    if (known === undefined) return sendJson(response, 404, {});
    const isStale = expected !== undefined && expected !== null &&
      Number(expected) !== known.metadata.revision;
    if (isStale) return sendJson(response, 409, known);
    if (request.method === "DELETE") {
      this.remove(kind, name);
      return sendJson(response, 200, known);
    }
    if (part === "status") return sendJson(response, 200, known);
    sendJson(response, 200, this.put(kind, name, input.spec));
  }
}

/** The platform's API: accepts the calls of duties and keeps them. */
export class Cloud {
  calls = [];

  static async open(host) {
    const cloud = new Cloud();
    cloud.server = createServer(async (request, response) => {
      const text = await readBody(request);
      await sleep(answerMs);
      cloud.calls.push({
        at: Date.now(),
        path: request.url,
        holder: request.headers["x-duty-holder"],
        fence: Number(request.headers["x-fencing-token"]),
        body: JSON.parse(text),
      });
      sendJson(response, 200, {});
    });
    await new Promise((resolve) => cloud.server.listen(0, host, resolve));
    cloud.address = `${host}:${cloud.server.address().port}`;
    return cloud;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

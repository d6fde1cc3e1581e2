/**
 * Stand-in for the platform's metadata store: an HTTP API over objects in
 * memory.
 *
 * Objects have kinds, names and revisions from one counter. Writes may depend
 * on a revision, and watches wait for changes. Tests inject faults.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Fault injected into calls. */
export type StoreFault =
  | "none"
  /** Calls are never answered. */
  | "silent"
  /** Calls are answered 503 and have no effect. */
  | "busy"
  /** Connections are reset. */
  | "reset"
  /** Answers are no JSON. */
  | "rubbish"
  /** Answers are JSON of another shape. */
  | "odd_shape"
  /** Writes take effect and are not answered. */
  | "lose_writes";

interface StoredEntry {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly created: number;
    readonly finalizers: readonly string[];
    readonly deleting: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

interface ChangeEvent {
  readonly kind: string;
  readonly revision: number;
  readonly deleted: boolean;
  readonly object: StoredEntry;
}

/** Copy of a store's objects, to restore them later. */
export interface StoreCopy {
  readonly revision: number;
  readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredEntry>>;
}

const maxPageItems = 500;
const maxWaitMs = 30_000;

/** Running stand-in for the metadata store. */
export class StoreStandin {
  readonly #server: Server;
  readonly #kinds = new Map<string, Map<string, StoredEntry>>();
  readonly #waiters = new Set<() => void>();
  #history: ChangeEvent[] = [];
  #historyStartRevision = 1;
  #revision = 1;
  #era = 1;
  /** Fault of calls from now on. */
  fault: StoreFault = "none";
  /** Whether the fault affects calls from an IP address. */
  isAffected: (ip: string) => boolean = () => true;
  /** Number of calls received, including those a fault affected. */
  calls = 0;
  /** The same by method, or `WATCH` for a watch, and kind of object. */
  readonly callsByKind = new Map<string, number>();

  private constructor() {
    this.#server = createServer((request, response) =>
      void this.#handle(request, response)
    );
  }

  static async open(port = 0): Promise<StoreStandin> {
    const standin = new StoreStandin();
    await new Promise<void>((resolve) =>
      standin.#server.listen(port, "127.0.0.1", resolve)
    );
    return standin;
  }

  /** Refuses connections; the result takes them again at the same address. */
  refuse(): () => void {
    const { port } = this.#server.address() as AddressInfo;
    this.close();
    return () => void this.#server.listen(port, "127.0.0.1");
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Writes an object as an operator or replica does; returns its revision. */
  put(kind: string, name: string, spec: unknown): number {
    const existing = this.#requireObjects(kind).get(name);
    return this.#store(kind, name, spec, existing).metadata.revision;
  }

  /** Removes an object. */
  remove(kind: string, name: string): void {
    const existing = this.#requireObjects(kind).get(name);
    if (existing === undefined) return;
    this.#requireObjects(kind).delete(name);
    this.#revision += 1;
    this.#addEvent({
      kind,
      revision: this.#revision,
      deleted: true,
      object: existing,
    });
  }

  /** Reads the spec of an object; undefined when there is none. */
  read(kind: string, name: string): unknown {
    return this.#requireObjects(kind).get(name)?.spec;
  }

  /** Reads the status that the system wrote; undefined when there is none. */
  readStatus(kind: string, name: string): unknown {
    return this.#requireObjects(kind).get(name)?.status ?? undefined;
  }

  /** Discards the history and wakes watches; older ones expire. */
  compact(): void {
    this.#history = [];
    this.#historyStartRevision = this.#revision + 1;
    this.#wakeAll();
  }

  /** Copies all objects, as `restore` takes them. */
  copy(): StoreCopy {
    const kinds = new Map(
      [...this.#kinds].map(([kind, objects]) => [kind, new Map(objects)]),
    );
    return { revision: this.#revision, kinds };
  }

  /** Goes back to a copy, in a new era; later writes and the history are gone. */
  restore({ revision, kinds }: StoreCopy): void {
    this.#era += 1;
    this.#revision = revision;
    this.#kinds.clear();
    for (const [kind, objects] of kinds) {
      this.#kinds.set(kind, new Map(objects));
    }
    this.compact();
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.#wakeAll();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#countCall(request.method ?? "", request.url ?? "/");
    const body = await readBody(request);
    const ip = request.socket.remoteAddress ?? "";
    const fault = this.isAffected(ip) ? this.fault : "none";
    response.setHeader("Store-Era", this.#era);
    if (fault === "silent") return;
    if (fault === "reset") return void request.socket.resetAndDestroy();
    if (fault === "busy") return sendJson(response, 503, {});
    if (fault === "rubbish") return void response.end("<html>{");
    if (fault === "odd_shape") {
      return sendJson(response, 200, { items: [null, 3, {}], events: 7 });
    }
    const url = new URL(request.url ?? "/", "http://store");
    const [, root, kind, name, part] = url.pathname.split("/")
      .map(decodeURIComponent);
    if (root !== "objects" || kind === undefined) {
      return sendJson(response, 404, {});
    }
    const isWrite = request.method !== "GET";
    if (!isWrite) return await this.#answerRead(url, kind, name, response);
    const answer = this.#write({
      method: request.method ?? "",
      kind,
      name,
      part,
      url,
      body,
    });
    if (fault === "lose_writes") return void request.socket.destroy();
    sendJson(response, answer.status, answer.body);
  }

  #countCall(method: string, path: string): void {
    this.calls += 1;
    const url = new URL(path, "http://store");
    const isWatch = url.searchParams.has("watch");
    const kind = url.pathname.split("/")[2] ?? "";
    const name = `${isWatch ? "WATCH" : method} ${kind}`;
    this.callsByKind.set(name, (this.callsByKind.get(name) ?? 0) + 1);
  }

  async #answerRead(
    url: URL,
    kind: string,
    name: string | undefined,
    response: ServerResponse,
  ): Promise<void> {
    if (name !== undefined) {
      const object = this.#requireObjects(kind).get(name);
      return sendJson(response, object === undefined ? 404 : 200, object ?? {});
    }
    const since = url.searchParams.get("watch");
    if (since === null) return this.#answerList(url, kind, response);
    const waitMs = Number(url.searchParams.get("wait-ms") ?? 0);
    await this.#waitForEvent(kind, Number(since), waitMs);
    response.setHeader("Store-Era", this.#era);
    // The store may have fallen silent while the call waited.
    if (this.fault === "silent") return;
    const isGone = Number(since) + 1 < this.#historyStartRevision ||
      Number(since) > this.#revision;
    if (isGone) return sendJson(response, 410, {});
    const events = this.#listEvents(kind, Number(since))
      .map(({ deleted, object }) => ({ deleted, object }));
    sendJson(response, 200, { events, "store-revision": this.#revision });
  }

  #answerList(url: URL, kind: string, response: ServerResponse): void {
    const after = url.searchParams.get("after") ?? "";
    const all = [...this.#requireObjects(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    sendJson(response, 200, {
      items: all.slice(0, maxPageItems),
      "more-pages": all.length > maxPageItems,
      "store-revision": this.#revision,
    });
  }

  #write(call: {
    readonly method: string;
    readonly kind: string;
    readonly name: string | undefined;
    readonly part: string | undefined;
    readonly url: URL;
    readonly body: string;
  }): { readonly status: number; readonly body: unknown } {
    const { method, kind, body } = call;
    const input = body === "" ? {} : JSON.parse(body);
    const name: string = call.name ?? input.metadata?.name;
    const existing = this.#requireObjects(kind).get(name);
    const expectedRevision = input.metadata?.revision ??
      call.url.searchParams.get("revision");
    if (method === "POST" && existing !== undefined) {
      return { status: 409, body: existing };
    }
    if (method !== "POST" && existing === undefined) {
      return { status: 404, body: {} };
    }
    const isStale = expectedRevision !== undefined &&
      expectedRevision !== null &&
      Number(expectedRevision) !== existing?.metadata.revision;
    if (method !== "POST" && isStale) return { status: 409, body: existing };
    if (method === "DELETE") {
      this.remove(kind, name);
      return { status: 200, body: existing };
    }
    if (call.part === "status" && existing !== undefined) {
      return { status: 200, body: this.#storeStatus(kind, existing, input) };
    }
    return { status: 200, body: this.#store(kind, name, input.spec, existing) };
  }

  /** Replaces the status; one that stays the same is no change. */
  #storeStatus(
    kind: string,
    existing: StoredEntry,
    { status }: { readonly status?: unknown },
  ): StoredEntry {
    const isUnchanged =
      JSON.stringify(existing.status) === JSON.stringify(status);
    if (isUnchanged) return existing;
    this.#revision += 1;
    const { metadata, spec } = existing;
    const object = {
      metadata: { ...metadata, revision: this.#revision },
      spec,
      status,
    };
    this.#requireObjects(kind).set(metadata.name, object);
    this.#addEvent({ kind, revision: this.#revision, deleted: false, object });
    return object;
  }

  #store(
    kind: string,
    name: string,
    spec: unknown,
    existing: StoredEntry | undefined,
  ): StoredEntry {
    const isUnchanged = existing !== undefined &&
      JSON.stringify(existing.spec) === JSON.stringify(spec);
    if (isUnchanged) return existing;
    this.#revision += 1;
    const object: StoredEntry = {
      metadata: {
        name,
        revision: this.#revision,
        created: existing?.metadata.created ?? this.#revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: existing?.status ?? null,
    };
    this.#requireObjects(kind).set(name, object);
    this.#addEvent({ kind, revision: this.#revision, deleted: false, object });
    return object;
  }

  #requireObjects(kind: string): Map<string, StoredEntry> {
    let objects = this.#kinds.get(kind);
    if (objects === undefined) {
      objects = new Map();
      this.#kinds.set(kind, objects);
    }
    return objects;
  }

  #addEvent(event: ChangeEvent): void {
    this.#history.push(event);
    this.#wakeAll();
  }

  #listEvents(kind: string, since: number): readonly ChangeEvent[] {
    return this.#history.filter((event) =>
      event.kind === kind && event.revision > since
    );
  }

  async #waitForEvent(
    kind: string,
    since: number,
    waitMs: number,
  ): Promise<void> {
    const endsAt = performance.now() + Math.min(waitMs, maxWaitMs);
    while (this.#listEvents(kind, since).length === 0) {
      const leftMs = endsAt - performance.now();
      const isGone = since + 1 < this.#historyStartRevision ||
        since > this.#revision;
      if (leftMs <= 0 || isGone) return;
      await this.#waitForChange(leftMs);
    }
  }

  #waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      this.#waiters.add(finish);
    });
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}

/** Reads a request's whole body as text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

/** Sends a JSON answer, unless the connection has closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.destroyed) return;
  response.writeHead(status, { "Content-Type": "application/json" });
  response.end(JSON.stringify(body));
}

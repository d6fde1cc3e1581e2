/**
 * Stand-in of the platform's metadata store, over HTTP and in memory.
 *
 * Objects have kinds, names and revisions from one counter; writes may be
 * conditional; watches wait for changes. Faults are set by the test.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** How the store treats calls. */
export type StoreFault =
  | "none"
  /** Calls are never answered. */
  | "silent"
  /** Calls are answered 503 and not done. */
  | "busy"
  /** Connections are reset. */
  | "reset"
  /** Writes are done and not answered. */
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

const pageItems = 500;
const longestWaitMs = 30_000;

/** One store. */
export class StoreStandin {
  readonly #server: Server;
  readonly #kinds = new Map<string, Map<string, StoredEntry>>();
  readonly #waiting = new Set<() => void>();
  #history: ChangeEvent[] = [];
  #historyFrom = 1;
  #revision = 1;
  /** How calls are treated from now on. */
  fault: StoreFault = "none";
  /** Decides which callers meet the fault, by a caller's IP address. */
  isAffected: (ip: string) => boolean = () => true;
  /** Calls received, faults included. */
  calls = 0;
  /** The same by method, kind of object and whether it was a watch. */
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

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Writes an object as the operator or a replica would. */
  put(kind: string, name: string, spec: unknown): number {
    const present = this.#objects(kind).get(name);
    return this.#store(kind, name, spec, present).metadata.revision;
  }

  /** Removes an object. */
  remove(kind: string, name: string): void {
    const present = this.#objects(kind).get(name);
    if (present === undefined) return;
    this.#objects(kind).delete(name);
    this.#revision += 1;
    this.#addEvent({
      kind,
      revision: this.#revision,
      deleted: true,
      object: present,
    });
  }

  /** The spec of an object, `undefined` when there is none. */
  read(kind: string, name: string): unknown {
    return this.#objects(kind).get(name)?.spec;
  }

  /** Drops the history and cuts the watches that wait. */
  compact(): void {
    this.#history = [];
    this.#historyFrom = this.#revision + 1;
    this.#wakeAll();
  }

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
    if (fault === "silent") return;
    if (fault === "reset") return void request.socket.resetAndDestroy();
    if (fault === "busy") return sendJson(response, 503, {});
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
      const object = this.#objects(kind).get(name);
      return sendJson(response, object === undefined ? 404 : 200, object ?? {});
    }
    const since = url.searchParams.get("watch");
    if (since === null) return this.#answerList(url, kind, response);
    const waitMs = Number(url.searchParams.get("wait-ms") ?? 0);
    await this.#waitForEvent(kind, Number(since), waitMs);
    // A call that waits meets a fault that began meanwhile.
    if (this.fault === "silent") return;
    if (Number(since) + 1 < this.#historyFrom) {
      return sendJson(response, 410, {});
    }
    const events = this.#listEvents(kind, Number(since))
      .map(({ deleted, object }) => ({ deleted, object }));
    sendJson(response, 200, { events, "store-revision": this.#revision });
  }

  #answerList(url: URL, kind: string, response: ServerResponse): void {
    const after = url.searchParams.get("after") ?? "";
    const all = [...this.#objects(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    sendJson(response, 200, {
      items: all.slice(0, pageItems),
      "more-pages": all.length > pageItems,
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
    const sent = body === "" ? {} : JSON.parse(body);
    const name: string = call.name ?? sent.metadata?.name;
    const present = this.#objects(kind).get(name);
    const expected = sent.metadata?.revision ??
      call.url.searchParams.get("revision");
    if (method === "POST" && present !== undefined) {
      return { status: 409, body: present };
    }
    if (method !== "POST" && present === undefined) {
      return { status: 404, body: {} };
    }
    const isStale = expected !== undefined && expected !== null &&
      Number(expected) !== present?.metadata.revision;
    if (method !== "POST" && isStale) return { status: 409, body: present };
    if (method === "DELETE") {
      this.remove(kind, name);
      return { status: 200, body: present };
    }
    return { status: 200, body: this.#store(kind, name, sent.spec, present) };
  }

  #store(
    kind: string,
    name: string,
    spec: unknown,
    present: StoredEntry | undefined,
  ): StoredEntry {
    const isSame = present !== undefined &&
      JSON.stringify(present.spec) === JSON.stringify(spec);
    if (isSame) return present;
    this.#revision += 1;
    const object: StoredEntry = {
      metadata: {
        name,
        revision: this.#revision,
        created: present?.metadata.created ?? this.#revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: null,
    };
    this.#objects(kind).set(name, object);
    this.#addEvent({ kind, revision: this.#revision, deleted: false, object });
    return object;
  }

  #objects(kind: string): Map<string, StoredEntry> {
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
    const endsAt = performance.now() + Math.min(waitMs, longestWaitMs);
    while (this.#listEvents(kind, since).length === 0) {
      const leftMs = endsAt - performance.now();
      if (leftMs <= 0 || since + 1 < this.#historyFrom) return;
      await this.#waitForChange(leftMs);
    }
  }

  #waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.#waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      this.#waiting.add(finish);
    });
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiting]) wake();
  }
}

/** Reads a request's whole body as text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

/** Answers with JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.destroyed) return;
  response.writeHead(status, { "Content-Type": "application/json" });
  response.end(JSON.stringify(body));
}

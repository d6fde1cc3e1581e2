/**
 * Keeps a node in touch with its peers: sends datagrams, takes theirs in, and
 * exchanges copies of the store's objects over HTTP.
 */

import { createServer, type Server, type ServerResponse } from "node:http";
import { z } from "zod";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import {
  type FeedKind,
  feedKinds,
  type FeedSnapshot,
  type FeedState,
} from "../feed/feed_state.ts";
import { sendControlCall } from "../relay/control_call.ts";
import type { MemberTable } from "./member_table.ts";
import type { PeerSocket } from "./peer_socket.ts";
import { encodePeerReport } from "./peer_messages.ts";
import type { PeerExchange } from "./peer_exchange.ts";

const tickMs = 200;
/** Peers that get this node's report in one tick; the others get turns. */
const reportsPerTick = 12;
/** Ticks after which a node that proves the copies tells all peers. */
const statusEveryTicks = 2;
/** Ticks after which reports name the other nodes again. */
const membersEveryTicks = 25;
const minChangePauseMs = 30;
const pullTimeoutMs = 1_000;
const snapshotPath = "/peer/feed/";

const snapshotSchema = z.object({
  asOf: z.number(),
  digest: z.number(),
  objects: z.array(z.object({
    key: z.string(),
    version: z.number(),
    value: z.unknown(),
  })),
});

/** What a cluster needs. */
export interface ClusterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly link: PeerSocket;
  readonly members: MemberTable;
  readonly work: PeerExchange;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  /** Whether this node reads the store for the others at present. */
  readonly isReader: () => boolean;
  /** Port of the control listener, the same on all nodes. */
  readonly controlPort: number;
  /** Further pages of the control listener, by path. */
  readonly pages: Readonly<Record<string, () => string>>;
}

/** Peers of one node. */
export class Cluster implements Disposable {
  readonly #options: ClusterOptions;
  readonly #server: Server;
  readonly #stopped = new AbortController();
  readonly #pulling = new Set<FeedKind>();
  readonly #subscriptions: Disposable[] = [];
  #turn = 0;
  #tick = 0;
  #sentAt = -Infinity;
  #isSendDue = false;

  private constructor(options: ClusterOptions) {
    this.#options = options;
    this.#server = createServer((request, response) =>
      this.#answer(request.url ?? "/", response)
    );
  }

  /** Starts sending; listens where an address is given. */
  static async open(
    options: ClusterOptions,
    address: string | undefined,
  ): Promise<Cluster> {
    const cluster = new Cluster(options);
    if (address !== undefined) await cluster.#listen(address);
    cluster.#start();
    return cluster;
  }

  /** Sends soon instead of at the next interval. */
  scheduleSend(): void {
    if (this.#isSendDue) return;
    this.#isSendDue = true;
    const waitMs = this.#sentAt + minChangePauseMs - this.#options.clock.now();
    setTimeout(() => this.#sendAll(), Math.max(0, waitMs)).unref();
  }

  /** Asks a peer for its copy, one call a feed at a time. */
  async pullFeed(kind: FeedKind, ip: string): Promise<void> {
    if (this.#pulling.has(kind)) return;
    this.#pulling.add(kind);
    try {
      const { controlPort, feeds } = this.#options;
      const answer = await sendControlCall(
        { method: "GET", path: snapshotPath + kind, body: "" },
        { address: `${ip}:${controlPort}`, timeoutMs: pullTimeoutMs },
      );
      if (answer?.status !== 200) return;
      const snapshot = parseSnapshot(answer.text);
      if (snapshot !== undefined) feeds[kind].applySnapshot(snapshot);
    } finally {
      this.#pulling.delete(kind);
    }
  }

  dispose(): void {
    this.#stopped.abort();
    for (const subscription of this.#subscriptions) subscription.dispose();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #start(): void {
    const { link, feeds } = this.#options;
    this.#subscriptions.push(
      link.onReceived((message) => {
        if (this.#options.work.apply(message)) this.scheduleSend();
      }),
    );
    for (const kind of feedKinds) {
      this.#subscriptions.push(
        feeds[kind].onChanged(() => this.scheduleSend()),
      );
    }
    void this.#run();
  }

  async #run(): Promise<void> {
    const { clock, members, work } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const addresses = members.listAddresses(clock.now());
      const rounds = Math.max(1, addresses.length / reportsPerTick);
      members.setRoundMs(rounds * tickMs);
      work.refresh(Math.ceil(rounds));
      this.#sendTick(addresses);
      await clock.sleep(tickMs, signal);
    }
  }

  /**
   * Sends the report to the next few peers in turn, and the feeds' status to all
   * others while this node proves the copies for them.
   */
  #sendTick(addresses: readonly string[]): void {
    const { isReader } = this.#options;
    const count = Math.min(addresses.length, reportsPerTick);
    const inTurn = new Set<string>();
    for (let at = 0; at < count; at += 1) {
      const ip = addresses[(this.#turn + at) % addresses.length];
      if (ip !== undefined) inTurn.add(ip);
    }
    this.#turn = addresses.length === 0
      ? 0
      : (this.#turn + count) % addresses.length;
    this.#tick += 1;
    this.#send([...inTurn], { withReport: true });
    const isStatusTick = this.#tick % statusEveryTicks === 0;
    if (!isStatusTick || !isReader()) return;
    const others = addresses.filter((ip) => !inTurn.has(ip));
    this.#send(others, { withReport: false });
  }

  /** Tells all peers of a change. */
  #sendAll(): void {
    if (this.#stopped.signal.aborted) return;
    const { clock, members } = this.#options;
    this.#sentAt = clock.now();
    this.#isSendDue = false;
    const addresses = members.listAddresses(this.#sentAt);
    const withReport = addresses.length <= reportsPerTick;
    this.#send(addresses, { withReport });
  }

  #send(
    addresses: readonly string[],
    { withReport }: { readonly withReport: boolean },
  ): void {
    if (addresses.length === 0) return;
    const { clock, members, link, work } = this.#options;
    const withMembers = this.#tick % membersEveryTicks < 2;
    const report = withReport
      ? encodePeerReport(work.composeReport({ withMembers }))
      : undefined;
    const byIp = new Map(
      members.listKnown(clock.now()).map((member) => [member.ip, member]),
    );
    for (const ip of addresses) {
      link.send(work.composeHeader(byIp.get(ip)), report, ip);
    }
  }

  #listen(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, () => {
        this.#server.off("error", reject);
        this.#server.on("error", (error) => {
          this.#options.log.warn("the control listener failed.", {
            reason: error.message,
          });
        });
        resolve();
      });
    });
  }

  #answer(url: string, response: ServerResponse): void {
    const kind = feedKinds.find((kind) => url === snapshotPath + kind);
    if (kind !== undefined) {
      const state = this.#options.feeds[kind];
      const objects = state.listObjects();
      const snapshot: FeedSnapshot = { ...state.version, objects };
      response.setHeader("Content-Type", "application/json");
      response.end(JSON.stringify(snapshot));
      return;
    }
    const page = this.#options.pages[url];
    if (page === undefined) {
      response.writeHead(404);
      response.end();
      return;
    }
    response.setHeader("Content-Type", "text/plain; charset=utf-8");
    response.end(page());
  }
}

function parseSnapshot(text: string): FeedSnapshot | undefined {
  try {
    return snapshotSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

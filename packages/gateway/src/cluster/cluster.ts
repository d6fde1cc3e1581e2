/**
 * Communication of a node with its peers: sends and receives datagrams, and
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
/** Peers that receive this node's report in one tick, in rotation. */
const reportsPerTick = 12;
/** Interval, in ticks, at which the active reader sends its status to all. */
const statusEveryTicks = 2;
/** Interval, in ticks, at which reports list the other nodes. */
const membersEveryTicks = 25;
const minSendIntervalMs = 30;
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

/** Dependencies of a cluster. */
export interface ClusterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: PeerSocket;
  readonly members: MemberTable;
  readonly exchange: PeerExchange;
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  /** Whether this node currently reads the store for the others. */
  readonly isActiveReader: () => boolean;
  /** Port of the control listener, the same on all nodes. */
  readonly controlPort: number;
  /** Further text pages of the control listener, by path. */
  readonly pages: Readonly<Record<string, () => string>>;
}

/** Peer communication of one node. */
export class Cluster implements Disposable {
  readonly #options: ClusterOptions;
  readonly #server: Server;
  readonly #stopped = new AbortController();
  readonly #pulling = new Set<FeedKind>();
  readonly #subscriptions: Disposable[] = [];
  #nextPeer = 0;
  #tickCount = 0;
  #lastSentAt = -Infinity;
  #isSendScheduled = false;

  private constructor(options: ClusterOptions) {
    this.#options = options;
    this.#server = createServer((request, response) =>
      this.#answer(request.url ?? "/", response)
    );
  }

  /**
   * Starts sending, and listens on the control address if one is given; rejects
   * when that cannot be bound.
   */
  static async open(
    options: ClusterOptions,
    address: string | undefined,
  ): Promise<Cluster> {
    const cluster = new Cluster(options);
    if (address !== undefined) await cluster.#listen(address);
    cluster.#start();
    return cluster;
  }

  /** Sends to all peers before the next tick, at most once per 30 ms. */
  scheduleSend(): void {
    if (this.#isSendScheduled) return;
    this.#isSendScheduled = true;
    const waitMs = this.#lastSentAt + minSendIntervalMs -
      this.#options.clock.now();
    setTimeout(() => this.#sendAll(), Math.max(0, waitMs)).unref();
  }

  /** Pulls the copy of a peer; only one call per feed runs at a time. */
  async pullFeed(kind: FeedKind, ip: string): Promise<void> {
    if (this.#pulling.has(kind)) return;
    this.#pulling.add(kind);
    try {
      const { clock, controlPort, feeds } = this.#options;
      const answer = await sendControlCall(
        { method: "GET", path: snapshotPath + kind, body: "" },
        { address: `${ip}:${controlPort}`, timeoutMs: pullTimeoutMs },
      );
      if (answer?.statusCode !== 200) return;
      const snapshot = parseSnapshot(answer.text);
      if (snapshot === undefined) return;
      feeds[kind].applySnapshot(snapshot, clock.now());
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
    const { socket, feeds } = this.#options;
    this.#subscriptions.push(
      socket.onReceived((message) => {
        if (this.#options.exchange.apply(message)) this.scheduleSend();
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
    const { clock, members, exchange } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const addresses = members.listAddresses(clock.now());
      const rounds = Math.max(1, addresses.length / reportsPerTick);
      members.setRoundMs(rounds * tickMs);
      exchange.refresh(Math.ceil(rounds));
      this.#sendTick(addresses);
      await clock.sleep(tickMs, signal);
    }
  }

  /**
   * Sends the report to the next peers in rotation, and the feeds' status to all
   * others while this node is the active reader.
   */
  #sendTick(addresses: readonly string[]): void {
    const { isActiveReader } = this.#options;
    const count = Math.min(addresses.length, reportsPerTick);
    const reportIps = new Set<string>();
    for (let index = 0; index < count; index += 1) {
      const ip = addresses[(this.#nextPeer + index) % addresses.length];
      if (ip !== undefined) reportIps.add(ip);
    }
    this.#nextPeer = addresses.length === 0
      ? 0
      : (this.#nextPeer + count) % addresses.length;
    this.#tickCount += 1;
    this.#send([...reportIps], { withReport: true });
    const isStatusTick = this.#tickCount % statusEveryTicks === 0;
    if (!isStatusTick || !isActiveReader()) return;
    const others = addresses.filter((ip) => !reportIps.has(ip));
    this.#send(others, { withReport: false });
  }

  /** Sends to all peers after a change. */
  #sendAll(): void {
    if (this.#stopped.signal.aborted) return;
    const { clock, members } = this.#options;
    this.#lastSentAt = clock.now();
    this.#isSendScheduled = false;
    const addresses = members.listAddresses(this.#lastSentAt);
    const withReport = addresses.length <= reportsPerTick;
    this.#send(addresses, { withReport });
  }

  #send(
    addresses: readonly string[],
    { withReport }: { readonly withReport: boolean },
  ): void {
    if (addresses.length === 0) return;
    const { clock, members, socket, exchange } = this.#options;
    const withMembers = this.#tickCount % membersEveryTicks < 2;
    const report = withReport
      ? encodePeerReport(exchange.composeReport({ withMembers }))
      : undefined;
    const byIp = new Map(
      members.listKnown(clock.now()).map((member) => [member.ip, member]),
    );
    for (const ip of addresses) {
      socket.send(exchange.composeHeader(byIp.get(ip)), report, ip);
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

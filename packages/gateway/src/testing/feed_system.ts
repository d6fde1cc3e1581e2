/**
 * Nodes that share the reads of a store: each has a reader, copies pass over links
 * that take a while, and a node sends only a few copies at the same time.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import type { FeedKind } from "../feed/feed_state.ts";
import { FeedReader } from "../feed/feed_reader.ts";
import { StoreView } from "../feed/store_view.ts";
import { FeedPulls } from "../cluster/feed_pulls.ts";
import { FeedSnapshots } from "../cluster/feed_snapshots.ts";
import { PagedStore } from "./paged_store.ts";
import { type TestNode, TestSystem } from "./test_system.ts";

/** Time that a confirmation takes over relays, as nodes assume it. */
const statusDelayMs = 900;
const stepMs = 20;

/** What copies take. */
export interface FeedSystemOptions {
  readonly nodes: number;
  readonly zones: number;
  readonly linkBytesPerMs: number;
  /** Time from a node's question for a copy until it has it. */
  readonly pullMs: number;
  /** Time after which a node gives up a question for a copy. */
  readonly pullTimeoutMs: number;
}

/** Nodes with a store. */
export class FeedSystem {
  readonly system: TestSystem;
  readonly store: PagedStore;
  readonly #options: FeedSystemOptions;
  readonly #readers: FeedReader[] = [];
  readonly #snapshots = new Map<string, FeedSnapshots>();
  readonly #pulls = new Map<string, FeedPulls>();
  /** Whether a node answers no question for a copy. */
  isSilent: (node: TestNode) => boolean = () => false;

  private constructor(system: TestSystem, options: FeedSystemOptions) {
    this.system = system;
    this.#options = options;
    this.store = PagedStore.create(system.clock);
  }

  /** Opens nodes that all know `entries` registered replicas. */
  static async open(
    options: FeedSystemOptions,
    entries: number,
  ): Promise<FeedSystem> {
    const system = await TestSystem.openKnown(options.nodes, options.zones, {
      bytesPerMs: options.linkBytesPerMs,
      queueBytes: options.linkBytesPerMs * 100,
    });
    const feeds = new FeedSystem(system, options);
    for (let index = 0; index < entries; index += 1) {
      feeds.putReplica(index, "ready");
    }
    for (const node of system.nodes) feeds.#attach(node);
    system.onPull = (node, kind, ip) =>
      void feeds.#pulls.get(node.node)?.pull(kind, ip);
    await system.clock.advance(8_000);
    return feeds;
  }

  putReplica(index: number, state: "ready" | "draining"): void {
    const id = formatId(index);
    this.store.put(
      `${replicasKind}/${id}`,
      composeReplicaEntry({
        service: "s",
        address: "10.1.0.1:80",
        zone: "a",
        slots: 4,
        state,
        startedAtMs: 1,
      }),
    );
  }

  removeReplica(index: number): void {
    this.store.withdraw(`${replicasKind}/${formatId(index)}`);
  }

  /**
   * Measures the time until each node stops choosing a replica, in the order of the
   * nodes; Infinity where one still does after `longestMs`.
   */
  async measureLeaving(
    index: number,
    longestMs: number,
  ): Promise<readonly number[]> {
    const { clock, nodes } = this.system;
    const startedAt = clock.now();
    const times = new Map<TestNode, number>();
    while (clock.now() - startedAt < longestMs && times.size < nodes.length) {
      await clock.advance(stepMs);
      for (const node of nodes) {
        const state = node.table.find(`${formatId(index)}/1`);
        const isLeaving = state?.leavesAt !== undefined;
        if (isLeaving && !times.has(node)) {
          times.set(node, clock.now() - startedAt);
        }
      }
    }
    return nodes.map((node) => times.get(node) ?? Infinity);
  }

  close(): void {
    for (const reader of this.#readers) reader.dispose();
    this.system.close();
  }

  #attach(node: TestNode): void {
    const { clock, random } = this.system;
    const { feeds } = node;
    StoreView.create({
      clock,
      suspensionClock: clock,
      log: createSilentLog(),
      readBounds: () => {
        throw new Error("not used");
      },
      feeds,
      table: node.table,
    });
    this.#snapshots.set(node.node, FeedSnapshots.create(feeds));
    this.#pulls.set(
      node.node,
      FeedPulls.create({
        clock,
        feeds,
        askPeer: (kind, ip) => this.#askPeer(kind, ip),
      }),
    );
    const reader = FeedReader.create({
      kind: "replicas",
      prefix: replicasKind,
      state: feeds.replicas,
      store: this.store,
      clock,
      random,
      log: createSilentLog(),
      readRank: (isFailing) => node.members.readRank(clock.now(), isFailing),
      isFirstToRead: node === this.system.nodes[0],
      readStatusDelayMs: () => statusDelayMs,
    });
    node.isReading = () => reader.isActiveReader;
    this.#readers.push(reader);
  }

  async #askPeer(kind: FeedKind, ip: string): Promise<Buffer | undefined> {
    const { clock, nodes } = this.system;
    const { pullMs, pullTimeoutMs } = this.#options;
    const peer = nodes.find((node) => node.ip === ip);
    const snapshots = this.#snapshots.get(peer?.node ?? "");
    if (peer === undefined || snapshots === undefined) return undefined;
    if (this.isSilent(peer)) {
      await clock.sleep(pullTimeoutMs);
      return undefined;
    }
    await clock.sleep(pullMs / 4);
    if (!snapshots.takeTransfer(kind)) return undefined;
    const bytes = await snapshots.encode(kind);
    await clock.sleep(pullMs / 2);
    snapshots.endTransfer(kind);
    await clock.sleep(pullMs / 4);
    return bytes;
  }
}

function formatId(index: number): string {
  return `i-${String(index).padStart(4, "0")}`;
}

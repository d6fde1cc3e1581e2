/**
 * Brings the configuration in force to every node.
 *
 * Delegates of each data centre wait on the platform's store; everyone else is
 * told the new revision by a peer and pulls what it lacks from that peer. The
 * revision stands in every exchange too, so a lost announcement costs one
 * exchange period. A revision once in force is never followed by a lower one.
 */

import type { Either } from "purify-ts";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import {
  type Configuration,
  type ConfigurationSource,
  emptyConfiguration,
} from "@almondcrank/common/configuration.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import type { ClusterMembership } from "./cluster_membership.ts";
import type { RevisionHint } from "./message_handler.ts";
import {
  computeDelta,
  type ConfigurationDelta,
  countDeltaItems,
} from "./configuration_delta.ts";
import { applyAnswer, ConfigurationHistory } from "./configuration_history.ts";
import type { ConfigurationAnswer } from "./configuration_messages.ts";
import type { ConfigurationRequest } from "./messages.ts";
import type { PeerTransport } from "./peer_transport.ts";

const storeWaitMs = 20_000;
const storeRetryMs = 1_000;
const delegateCheckMs = 500;
const readyRetryMs = 250;
/** Data centres whose peers a fresh node asks while the store is out. */
const readyZones = 3;
const minReadyZones = 2;
const membersAskedPerZone = 3;
/** Beyond so many changed items, peers pull what they lack. */
const maxPushedItems = 32;

/** The platform's store as this package needs it. */
export interface ConfigurationStore {
  read(): Promise<Either<PlatformError, Configuration>>;
  /** Waits for a revision beyond `since`; undefined when the wait ended first. */
  wait(
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, Configuration | undefined>>;
}

/** Options of the spread. */
export interface ConfigurationDistributorOptions {
  readonly membership: ClusterMembership;
  readonly transport: PeerTransport;
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Where a configuration came from, a label of counters. */
export type ConfigurationOrigin = "apply" | "store" | "peer";

/** The configuration in force at this node. */
export class ConfigurationDistributor
  implements ConfigurationSource, Disposable {
  readonly #options: ConfigurationDistributorOptions;
  readonly #disposables = DisposableStore.create();
  readonly #stopped = new AbortController();
  readonly #history = ConfigurationHistory.create();
  readonly #changed = Emitter.create<Configuration>();
  #configuration = emptyConfiguration;
  #isPulling = false;
  #hint: RevisionHint | undefined;

  private constructor(options: ConfigurationDistributorOptions) {
    this.#options = options;
    this.#disposables.register(
      options.membership.onNewerRevision((hint) => this.#handleHint(hint)),
    );
    this.#disposables.register(this.#changed);
  }

  static create(
    options: ConfigurationDistributorOptions,
  ): ConfigurationDistributor {
    return new ConfigurationDistributor(options);
  }

  /** Fires with each configuration that comes into force. */
  get onChange(): Event<Configuration> {
    return this.#changed.event;
  }

  current(): Configuration {
    return this.#configuration;
  }

  /** Starts to wait on the store whenever this node is a delegate. */
  start(): void {
    void this.#runWatch();
  }

  /**
   * Puts a configuration in force that an operator's apply just wrote, and
   * tells all nodes, so that it spreads even if the platform is cut now.
   *
   * @param configuration As read back from the store at its revision.
   */
  async accept(configuration: Configuration): Promise<void> {
    const since = this.#configuration.revision;
    if (!this.#apply(configuration, "apply")) return;
    await this.#announce("all", since);
  }

  /**
   * Resolves once this node has a configuration to serve with: from the store,
   * or, while that is out, the highest revision of peers in several data
   * centres.
   */
  async waitReady(): Promise<void> {
    const { clock, store: head, metrics, log } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const read = await head.read();
      if (read.isRight()) {
        read.ifRight((configuration) => this.#apply(configuration, "store"));
        const revision = this.#configuration.revision;
        metrics.setGauge("configuration_ready", 1, { source: "store" });
        log.info("ready with the store's configuration.", { revision });
        return;
      }
      const zones = await this.#askPeers();
      if (this.#isEnough(zones)) {
        const revision = this.#configuration.revision;
        metrics.setGauge("configuration_ready", 1, { source: "peers" });
        log.warn("the store is out; ready with the peers' configuration.", {
          revision,
          zones: zones.join(","),
        });
        return;
      }
      await clock.sleep(readyRetryMs, signal);
    }
  }

  /** Answers a peer that is behind. */
  handleConfigurationRequest(
    { since }: ConfigurationRequest,
  ): ConfigurationAnswer {
    const answer = this.#history.createAnswer(since, this.#configuration);
    this.#options.metrics
      .count("configuration_answers_total", { kind: answer.kind });
    return answer;
  }

  dispose(): void {
    this.#stopped.abort();
    this.#disposables.dispose();
  }

  async #runWatch(): Promise<void> {
    const { clock, store: head, membership, metrics, random } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      if (!membership.isDelegate()) {
        await clock.sleep(delegateCheckMs, signal);
        continue;
      }
      const since = this.#configuration.revision;
      const result = await head.wait(since, storeWaitMs);
      if (signal.aborted) return;
      if (result.isLeft()) {
        metrics.count("configuration_watch_failures_total");
        await clock.sleep(storeRetryMs * (0.5 + random.next()), signal);
        continue;
      }
      const next = result.toMaybe().extract();
      const last = this.#configuration.revision;
      if (next === undefined || !this.#apply(next, "store")) continue;
      void this.#announce("zone", last);
    }
  }

  #handleHint(hint: RevisionHint): void {
    if (hint.revision <= this.#configuration.revision) return;
    const isNewer = this.#hint === undefined ||
      hint.revision >= this.#hint.revision;
    if (isNewer) this.#hint = hint;
    if (!this.#isPulling) void this.#runPulls();
  }

  async #runPulls(): Promise<void> {
    this.#isPulling = true;
    try {
      for (let hint = this.#hint; hint; hint = this.#hint) {
        this.#hint = undefined;
        if (hint.revision <= this.#configuration.revision) continue;
        await this.#pullHint(hint);
        if (this.#stopped.signal.aborted) return;
      }
    } finally {
      this.#isPulling = false;
    }
  }

  async #pullHint(hint: RevisionHint): Promise<void> {
    const { membership } = this.#options;
    const since = this.#configuration.revision;
    if (this.#applyPushed(hint.deltas) || await this.#pull(hint.address)) {
      const isRemote = hint.zone !== membership.self.zone;
      if (hint.relay || (isRemote && membership.isDelegate())) {
        void this.#announce("zone", since);
      }
      return;
    }
    const other = membership.list().find(({ identity, revision, state }) =>
      state === "alive" && identity.node !== hint.node &&
      revision > this.#configuration.revision
    );
    if (other !== undefined) await this.#pull(other.identity.peerAddress);
  }

  /** Sends the changes along where they are few. */
  async #announce(reach: "all" | "zone", since: number): Promise<void> {
    const answer = this.#history.createAnswer(since, this.#configuration);
    const deltas = answer.kind === "delta" ? answer.deltas : [];
    let items = 0;
    for (const delta of deltas) items += countDeltaItems(delta);
    const isFew = items > 0 && items <= maxPushedItems;
    await this.#options.membership
      .announceRevision(reach, isFew ? deltas : undefined);
  }

  #applyPushed(deltas: readonly ConfigurationDelta[]): boolean {
    return deltas.length > 0 && this.#applyAnswer({ kind: "delta", deltas });
  }

  /** Pulls what a peer has beyond this node; whether that changed anything. */
  async #pull(address: Address): Promise<boolean> {
    const answer = await this.#ask(address);
    return answer !== undefined && this.#applyAnswer(answer);
  }

  async #ask(address: Address): Promise<ConfigurationAnswer | undefined> {
    const { transport, metrics } = this.#options;
    const since = this.#configuration.revision;
    const result = await transport.readConfiguration(address, { since });
    result.ifLeft(({ kind }) => {
      metrics.count("configuration_pull_failures_total", { reason: kind });
    });
    return result.toMaybe().extract();
  }

  #applyAnswer(answer: ConfigurationAnswer): boolean {
    const next = applyAnswer(this.#configuration, answer);
    return next !== undefined && this.#apply(next, "peer");
  }

  /** Asks peers of several data centres; returns those that answered. */
  async #askPeers(): Promise<readonly string[]> {
    const zones = this.#listPeerZones().slice(0, readyZones);
    const answered = await Promise.all(
      zones.map(async (zone) => await this.#askZone(zone) ? zone : undefined),
    );
    return answered.filter((zone) => zone !== undefined);
  }

  async #askZone(zone: string): Promise<boolean> {
    const members = this.#options.membership.list()
      .filter(({ identity }) => identity.zone === zone)
      .sort((a, b) => b.revision - a.revision)
      .slice(0, membersAskedPerZone);
    for (const { identity } of members) {
      const answer = await this.#ask(identity.peerAddress);
      if (answer === undefined) continue;
      this.#applyAnswer(answer);
      return true;
    }
    return false;
  }

  #isEnough(answered: readonly string[]): boolean {
    const known = this.#listPeerZones().length;
    return this.#configuration.revision > 0 &&
      answered.length >= Math.min(minReadyZones, known);
  }

  /** Data centres of peers in random order. */
  #listPeerZones(): readonly string[] {
    const zones = this.#options.membership.list()
      .filter(({ state }) => state !== "suspected")
      .map(({ identity }) => identity.zone);
    return [...new Set(zones)]
      .map((zone) => ({ zone, order: this.#options.random.next() }))
      .sort((a, b) => a.order - b.order)
      .map(({ zone }) => zone);
  }

  #apply(next: Configuration, origin: ConfigurationOrigin): boolean {
    const { membership, metrics, log } = this.#options;
    const last = this.#configuration;
    if (this.#stopped.signal.aborted) return false;
    if (next.revision <= last.revision) {
      metrics.count("configuration_stale_total", { origin });
      return false;
    }
    this.#history.add(computeDelta(last, next));
    this.#configuration = next;
    const { revision } = next;
    membership.setRevision(revision);
    metrics.setGauge("configuration_revision", revision);
    metrics.count("configuration_changes_total", { origin });
    log.info("a new configuration is in force.", { revision, origin });
    this.#changed.fire(next);
    return true;
  }
}

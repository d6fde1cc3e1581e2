/**
 * A network in memory, for tests: nodes with the real membership code, a clock
 * driven by hand, and faults between and in them.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import {
  type Configuration,
  emptyConfiguration,
} from "@almondcrank/common/configuration.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import { ClusterMembership } from "../cluster_membership.ts";
import {
  ConfigurationDistributor,
  type ConfigurationStore,
} from "../configuration_distributor.ts";
import { createIncarnation } from "../incarnation.ts";
import type { MemberState, NodeIdentity } from "../membership.ts";
import { PeerError } from "../peer_error.ts";
import type { PeerHandlers, PeerTransport } from "../peer_transport.ts";

const callTimeoutMs = 700;
const maxDelayMs = 20;

/** A clock that stands still for one node while the node is frozen. */
class FreezableClock implements Clock {
  readonly #clock: Clock;
  readonly #waitThaw: () => Promise<void>;

  constructor(clock: Clock, waitThaw: () => Promise<void>) {
    this.#clock = clock;
    this.#waitThaw = waitThaw;
  }

  now(): number {
    return this.#clock.now();
  }

  wallTime(): number {
    return this.#clock.wallTime();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(ms, signal);
    await this.#waitThaw();
  }
}

/** The platform's store of one test. */
export class TestStore {
  readonly #clock: Clock;
  #configuration: Configuration = emptyConfiguration;
  #isOut = false;
  #wakers: (() => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get revision(): number {
    return this.#configuration.revision;
  }

  /** Accepts a new revision that carries one endpoint of its number. */
  write(): Configuration {
    const revision = this.#configuration.revision + 1;
    this.#configuration = createConfiguration(revision);
    this.#wake();
    return this.#configuration;
  }

  setUnavailable(isOut: boolean): void {
    this.#isOut = isOut;
    this.#wake();
  }

  /**
   * @param isCut Whether the asking node cannot reach the store.
   * @param waitThaw Holds answers while the asking node is frozen.
   */
  createClient(
    isCut: () => boolean,
    waitThaw: () => Promise<void>,
  ): ConfigurationStore {
    const read = (): Either<PlatformError, Configuration> =>
      this.#isOut || isCut()
        ? Left(PlatformError.create({
          kind: "unavailable",
          service: "object_api",
          reason: "out",
        }))
        : Right(this.#configuration);
    return {
      read: async () => {
        const answer = read();
        await waitThaw();
        return answer;
      },
      wait: async (since, waitMs) => {
        if (this.#configuration.revision <= since) await this.#wait(waitMs);
        const answer = read();
        await waitThaw();
        return answer.map((next) => next.revision > since ? next : undefined);
      },
    };
  }

  async #wait(ms: number): Promise<void> {
    const woken = new AbortController();
    this.#wakers.push(() => woken.abort());
    await this.#clock.sleep(ms, woken.signal);
  }

  #wake(): void {
    const wakers = this.#wakers;
    this.#wakers = [];
    for (const wake of wakers) wake();
  }
}

/** Configuration whose content tells its revision. */
export function createConfiguration(revision: number): Configuration {
  return {
    ...emptyConfiguration,
    revision,
    teams: [{ name: `t${revision}`, keyHash: "", priority: 0, share: 1 }],
  };
}

/** One running process. */
export interface TestNode {
  readonly identity: NodeIdentity;
  readonly membership: ClusterMembership;
  readonly distributor: ConfigurationDistributor;
  readonly metrics: Metrics;
  /** Revisions in the order in which they came into force. */
  readonly revisions: number[];
}

/** Options of a network. */
export interface TestNetworkOptions {
  readonly hasher: Hasher;
  readonly seed: number;
  /** Share of messages lost. */
  readonly lossRate?: number;
}

/** Where a node stands. */
export interface TestLocation {
  readonly zone: string;
  readonly region?: string;
}

/** Nodes and the links between them. */
export class TestNetwork {
  readonly clock = ManualClock.create();
  readonly store: TestStore;
  lossRate: number;
  readonly #hasher: Hasher;
  readonly #random: Random;
  readonly #nodes = new Map<string, TestNode>();
  readonly #cuts = new Set<string>();
  readonly #frozen = new Map<
    string,
    { thaw: Promise<void>; end: () => void }
  >();

  constructor({ hasher, seed, lossRate: loss = 0 }: TestNetworkOptions) {
    this.#hasher = hasher;
    this.#random = Random.create(seed);
    this.lossRate = loss;
    this.store = new TestStore(this.clock);
  }

  /** Starts a process of a node; a running one of that name is killed. */
  start(node: string, place: TestLocation, seeds: readonly string[]): TestNode {
    this.kill(node);
    const { zone, region = "r" } = place;
    const random = Random.create(this.#random.nextInt(1_000_000_000));
    const clock = new FreezableClock(
      this.clock,
      () => this.#waitThaw(node, incarnation),
    );
    const incarnation = createIncarnation(this.clock, random);
    const identity = { node, incarnation, zone, region, peerAddress: node };
    const metrics = Metrics.create();
    const log = createSilentLog();
    const transport = this.#createTransport(node, incarnation);
    const membership = ClusterMembership.create({
      self: identity,
      seeds,
      transport,
      hasher: this.#hasher,
      clock,
      random,
      log,
      metrics,
    });
    const head = this.store.createClient(
      () => this.#isCut(node, "store"),
      () => this.#waitThaw(node, incarnation),
    );
    const spread = ConfigurationDistributor.create({
      membership,
      transport,
      store: head,
      clock,
      random,
      log,
      metrics,
    });
    const started = { identity, membership, spread, metrics, revisions: [] };
    this.#watchRevisions(started);
    this.#nodes.set(node, started);
    membership.start();
    spread.start();
    return started;
  }

  kill(node: string): void {
    const running = this.#nodes.get(node);
    this.#nodes.delete(node);
    this.thaw(node);
    running?.distributor.dispose();
    running?.membership.dispose();
  }

  freeze(node: string): void {
    if (this.#frozen.has(node)) return;
    let end = (): void => {};
    const thaw = new Promise<void>((resolve) => end = resolve);
    this.#frozen.set(node, { thaw, end });
  }

  thaw(node: string): void {
    this.#frozen.get(node)?.end();
    this.#frozen.delete(node);
  }

  /** Drops what `from` sends to `to`; `store` stands for the platform. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  heal(): void {
    this.#cuts.clear();
  }

  find(node: string): TestNode {
    const found = this.#nodes.get(node);
    if (found === undefined) throw new Error(`node ${node} is not running`);
    return found;
  }

  list(): readonly TestNode[] {
    return [...this.#nodes.values()];
  }

  has(node: string): boolean {
    return this.#nodes.has(node);
  }

  isFrozen(node: string): boolean {
    return this.#frozen.has(node);
  }

  /** State of `of` as `by` sees it. */
  readState(by: string, of: string): MemberState | undefined {
    return this.find(by).membership.find(of)?.state;
  }

  dispose(): void {
    for (const node of [...this.#nodes.keys()]) this.kill(node);
  }

  #watchRevisions(node: TestNode): void {
    node.distributor.onChange(({ revision, teams }) => {
      if (teams[0]?.name !== `t${revision}`) {
        throw new Error(`content of revision ${revision} is wrong`);
      }
      node.revisions.push(revision);
    });
  }

  #isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  async #waitThaw(node: string, incarnation: string): Promise<void> {
    for (;;) {
      const frozen = this.#frozen.get(node);
      const isSame =
        this.#nodes.get(node)?.identity.incarnation === incarnation;
      if (frozen === undefined || !isSame) return;
      await frozen.thaw;
    }
  }

  #createTransport(from: string, incarnation: string): PeerTransport {
    const call = <T>(
      to: string,
      run: (handlers: PeerHandlers) => T,
    ): Promise<Either<PeerError, T>> =>
      this.#call({ from, incarnation, to }, run);
    return {
      exchange: (to, request) =>
        call(to, (handlers) => handlers.handleExchange(copy(request))),
      announce: (to, news) =>
        call(to, (handlers) => handlers.handleAnnouncement(copy(news))),
      readConfiguration: (to, request) =>
        call(to, (handlers) => handlers.handleConfigurationRequest(request)),
    };
  }

  async #call<T>(
    link: {
      readonly from: string;
      readonly incarnation: string;
      readonly to: string;
    },
    run: (handlers: PeerHandlers) => T,
  ): Promise<Either<PeerError, T>> {
    const { from, to, incarnation } = link;
    const sentAt = this.clock.now();
    const result = await this.#carry(link, run);
    const elapsed = this.clock.now() - sentAt;
    if (result === undefined) {
      await this.clock.sleep(Math.max(0, callTimeoutMs - elapsed));
    }
    await this.#waitThaw(from, incarnation);
    return result ?? Left(PeerError.create({
      kind: "timeout",
      peer: to,
      timeoutMs: callTimeoutMs,
    }));
  }

  /** Carries a call there and back; undefined when either way is lost. */
  async #carry<T>(
    { from, to }: { readonly from: string; readonly to: string },
    run: (handlers: PeerHandlers) => T,
  ): Promise<Either<PeerError, T> | undefined> {
    if (this.#isLost(from, to)) return undefined;
    await this.clock.sleep(this.#random.nextInt(maxDelayMs));
    const target = this.#nodes.get(to);
    if (target === undefined) {
      const reason = "refused";
      return Left(PeerError.create({ kind: "unreachable", peer: to, reason }));
    }
    // A frozen process answers when it wakes, which is too late for the caller.
    const isLate = this.isFrozen(to);
    await this.#waitThaw(to, target.identity.incarnation);
    const value = copy(run({
      handleExchange: (request) => target.membership.handleExchange(request),
      handleAnnouncement: (news) => target.membership.handleAnnouncement(news),
      handleConfigurationRequest: (request) =>
        target.distributor.handleConfigurationRequest(request),
    }));
    await this.clock.sleep(this.#random.nextInt(maxDelayMs));
    return isLate || this.#isLost(to, from) ? undefined : Right(value);
  }

  #isLost(from: string, to: string): boolean {
    return this.#isCut(from, to) || this.#random.next() < this.lossRate;
  }
}

/** What a message is after its way over the wire. */
function copy<T>(value: T): T {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}

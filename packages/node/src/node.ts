/**
 * One node: its parts, and the order in which they start and end.
 *
 * Peers first, since a node that starts during an outage takes its configuration
 * from them; then the request paths and control work; the callers' listener is
 * open from the start and refuses until a configuration is in force.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Address } from "@almondcrank/common/address.ts";
import type { Configuration } from "@almondcrank/common/configuration.ts";
import { DisposableStore } from "@almondcrank/common/disposables.ts";
import { LateValue } from "@almondcrank/common/late_value.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import { FleetControl } from "@almondcrank/fleet/fleet_control.ts";
import { HostListWatch } from "@almondcrank/fleet/host_list_watch.ts";
import type { ReleaseError } from "@almondcrank/fleet/release_error.ts";
import {
  type AppliedRelease,
  type ReleaseRequest,
  ReleaseWriter,
} from "@almondcrank/fleet/release_writer.ts";
import { ConfigurationReader } from "@almondcrank/infrastructure/configuration_reader.ts";
import type { Readiness } from "./callers_routes.ts";
import { Cluster } from "./cluster.ts";
import { HttpListeners } from "./http_listeners.ts";
import { type NodeServices, openNodeServices } from "./node_services.ts";
import { readNodeStatus } from "./node_status.ts";
import {
  createPlatformClients,
  type PlatformClients,
} from "./platform_clients.ts";
import { RequestCounter } from "./request_counter.ts";
import { DataPlane } from "./data_plane.ts";
import type { NodeSettings } from "./settings.ts";

/** What a node is made from. */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly log: Log;
}

/** Addresses a node listens on. */
export interface NodeAddresses {
  readonly callers: Address;
  readonly peers: Address;
  readonly operators: Address;
}

/** A running node. */
export class Node {
  readonly #services: NodeServices;
  readonly #disposables: DisposableStore;
  readonly #platform: PlatformClients;
  readonly #cluster: Cluster;
  readonly #paths: DataPlane;
  readonly #requests: RequestCounter;
  readonly #writer: ReleaseWriter;
  #control: FleetControl | undefined;
  #fronts: HttpListeners | undefined;
  #isReady = false;
  #draining: Promise<void> | undefined;

  private constructor(
    services: NodeServices,
    parts: {
      readonly disposables: DisposableStore;
      readonly platform: PlatformClients;
      readonly cluster: Cluster;
    },
  ) {
    const { platform, cluster } = parts;
    this.#services = services;
    this.#disposables = parts.disposables;
    this.#platform = platform;
    this.#cluster = cluster;
    this.#requests = RequestCounter.create(services.clock);
    this.#writer = ReleaseWriter.create({ ...services, store: platform.store });
    this.#paths = this.#disposables.register(
      DataPlane.create({ ...services, cluster, store: platform.store }),
    );
  }

  /** Starts a node; resolves once it listens, before it is ready. */
  static async open(options: NodeOptions): Promise<Node> {
    const services = await openNodeServices(options.settings, options.log);
    const disposables = DisposableStore.create();
    const platform = createPlatformClients(services, disposables);
    const late = LateValue.create<Node>("the node");
    const cluster = disposables.register(
      await Cluster.open({
        ...services,
        store: platform.store,
        handlers: {
          exchange: () => late.read().#paths.models.exchange,
          calls: () => late.read().#paths.calls,
          onDrain: () => void late.read().drain(),
        },
      }),
    );
    const node = new Node(services, { disposables, platform, cluster });
    late.set(node);
    try {
      await node.#start();
    } catch (thrown) {
      node.dispose();
      throw thrown;
    }
    return node;
  }

  /** Bound addresses. */
  get addresses(): NodeAddresses {
    if (this.#fronts === undefined) throw new Error("the node is starting");
    return {
      callers: this.#fronts.callers.address,
      peers: this.#cluster.server.address,
      operators: this.#fronts.operators.address,
    };
  }

  /** Revision of the configuration in force. */
  get revision(): number {
    return this.#cluster.current().revision;
  }

  /** Stops taking requests, finishes or hands over the rest, and ends. */
  drain(): Promise<void> {
    this.#draining ??= this.#runDrain();
    return this.#draining;
  }

  /** Ends at once, cutting what is in progress. */
  dispose(): void {
    this.#disposables.dispose();
  }

  async #start(): Promise<void> {
    this.#cluster.start();
    this.#paths.start();
    this.#startControl();
    this.#startHostList();
    this.#fronts = this.#disposables.register(
      await HttpListeners.open({
        ...this.#services,
        cluster: this.#cluster,
        dataPlane: this.#paths,
        requests: this.#requests,
        readiness: () => this.#readReadiness(),
        readStatus: () =>
          readNodeStatus({
            cluster: this.#cluster,
            dataPlane: this.#paths,
            readiness: this.#readReadiness().kind,
            requests: this.#requests.active,
            shards: this.#control?.listHeldShards() ?? [],
          }),
        apply: (order) => this.#apply(order),
        drain: (name) => this.#drainByName(name),
      }),
    );
    void this.#cluster.configuration.waitReady().then(() => {
      this.#isReady = true;
    });
  }

  #startControl(): void {
    const { cloud, store, weightStore } = this.#platform;
    if (cloud === undefined) return;
    const { membership, configuration: spread } = this.#cluster;
    const control = this.#disposables.register(FleetControl.create({
      ...this.#services,
      store,
      cloud,
      weightStore,
      membership,
      configuration: spread,
      engines: (endpoint) => this.#paths.endpoints.findEngine(endpoint),
      loads: () => this.#paths.loadCollector.latest,
      capacity: this.#readCapacityPolicy(),
    }));
    this.#control = control;
    this.#disposables.register(
      control.notices.onLeaving((leaving) => membership.markLeaving([leaving])),
    );
    this.#disposables.register(
      membership.onLeaving((leaving) =>
        control.notices.recordPeerNotice(leaving)
      ),
    );
  }

  #startHostList(): void {
    const { hosts } = this.#platform;
    if (hosts === undefined) return;
    const { membership, configuration: spread } = this.#cluster;
    this.#disposables.register(HostListWatch.create({
      ...this.#services,
      hosts,
      configuration: spread,
      isReader: () => membership.isDelegate(),
      isLeaving: (endpoint) => membership.isLeaving(endpoint),
      markLeaving: (leaving) => membership.markLeaving(leaving),
    }));
  }

  #readCapacityPolicy(): Parameters<
    typeof FleetControl.create
  >[0]["capacity"] {
    const { capacity } = this.#services.settings;
    if (capacity === undefined) return undefined;
    const classCapacity = new Map(Object.entries(capacity.classCapacity));
    return { ...capacity, classCapacity };
  }

  /** Applies a note and spreads it, so that it survives the platform's end. */
  async #apply(
    order: ReleaseRequest,
  ): Promise<Either<ReleaseError, AppliedRelease>> {
    const applied = await this.#writer.apply(order);
    await applied.caseOf({
      Left: () => Promise.resolve(),
      Right: (release) => this.#spreadRelease(release),
    });
    return applied;
  }

  /**
   * Puts a release in force here and tells the peers.
   *
   * The store is read once more for endpoints rented meanwhile; when it is out
   * by now, the written note and the rented endpoints known here have to do.
   */
  async #spreadRelease(release: AppliedRelease): Promise<void> {
    const { configuration: spread } = this.#cluster;
    const read = await ConfigurationReader.create(this.#platform.store).read();
    const next = read.toMaybe().extract() ??
      composeConfiguration(release, spread.current());
    if (next !== undefined) await spread.accept(next);
  }

  #readReadiness(): Readiness {
    if (this.#draining !== undefined) return { kind: "draining" };
    if (this.#isReady) return { kind: "ready" };
    return { kind: "starting", reason: "no configuration yet" };
  }

  async #drainByName(name: string): Promise<Either<string, void>> {
    const { membership, requestClients: requests } = this.#cluster;
    if (name === membership.self.node) {
      void this.drain();
      return Right(undefined);
    }
    const member = membership.find(name);
    if (member === undefined) {
      return Left(`no node "${name}" is known; list them with status`);
    }
    const answer = await requests.call(member.identity.peerAddress, {
      send: ({ client, signal }) => client.drain.mutate(undefined, { signal }),
    });
    return answer.mapLeft((error) => error.message).map(() => undefined);
  }

  async #runDrain(): Promise<void> {
    const { settings, log } = this.#services;
    const { drainMs } = settings;
    log.info("node is draining.", { drainMs });
    await this.#cluster.membership.leave();
    this.#paths.calls.drain();
    await this.#control?.stop();
    await this.#paths.models.drain(drainMs);
    await this.#paths.calls.close();
    const idle = await this.#requests.waitIdle(drainMs);
    if (!idle) log.warn("requests were cut at the end of the drain.");
    await this.#fronts?.callers.close();
    log.info("node has drained.");
    this.dispose();
  }
}

/** The configuration that a release made, with the endpoints rented so far. */
function composeConfiguration(
  { configuration, revision }: AppliedRelease,
  last: Configuration,
): Configuration | undefined {
  if (configuration === undefined) return undefined;
  const rented = last.endpoints.filter(({ isRented }) => isRented === true);
  const endpoints = [...configuration.endpoints, ...rented];
  return { ...configuration, endpoints, revision };
}

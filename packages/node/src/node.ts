/**
 * One node: its components and the order in which they start and stop.
 *
 * The links to peers start first, since a node that starts during an outage of
 * the platform takes its configuration from them. The data plane, the fleet
 * control and the listeners follow. The callers' listener opens without waiting
 * for a configuration and refuses requests until one is in force.
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
import { drainCallers } from "./caller_drain.ts";
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

/** Time for the last answers to leave at the end of a drain. */
const lastAnswersMs = 50;

/** Options of `Node.open`. */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly log: Log;
}

/** Bound addresses of a node's listeners. */
export interface NodeAddresses {
  readonly callers: Address;
  readonly peers: Address;
  readonly operators: Address;
}

/** A node of the system; `open` starts it. */
export class Node {
  readonly #services: NodeServices;
  readonly #disposables: DisposableStore;
  readonly #platform: PlatformClients;
  readonly #cluster: Cluster;
  readonly #dataPlane: DataPlane;
  readonly #requests: RequestCounter;
  readonly #writer: ReleaseWriter;
  #control: FleetControl | undefined;
  #listeners: HttpListeners | undefined;
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
    this.#dataPlane = this.#disposables.register(
      DataPlane.create({ ...services, cluster, store: platform.store }),
    );
  }

  /**
   * Starts a node; resolves once it listens, which may be before it is ready.
   *
   * Rejects when an address cannot be bound.
   */
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
          exchange: () => late.read().#dataPlane.models.exchange,
          calls: () => late.read().#dataPlane.calls,
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

  /** Bound addresses; throws until all listeners are open. */
  get addresses(): NodeAddresses {
    if (this.#listeners === undefined) throw new Error("node is not open");
    return {
      callers: this.#listeners.callers.address,
      peers: this.#cluster.server.address,
      operators: this.#listeners.operators.address,
    };
  }

  /** Revision of the configuration in force. */
  get revision(): number {
    return this.#cluster.current().revision;
  }

  /**
   * Refuses new requests, finishes or hands over those in progress, and stops.
   *
   * `drainMs` of the settings bounds the time for streams and, after it, the
   * time for the remaining requests and for callers to read their answers.
   * Repeated calls share one drain.
   */
  drain(): Promise<void> {
    this.#draining ??= this.#runDrain();
    return this.#draining;
  }

  /** Stops at once and aborts requests in progress. */
  dispose(): void {
    this.#disposables.dispose();
  }

  async #start(): Promise<void> {
    this.#cluster.start();
    this.#dataPlane.start();
    this.#startControl();
    this.#startHostList();
    this.#listeners = this.#disposables.register(
      await HttpListeners.open({
        ...this.#services,
        cluster: this.#cluster,
        dataPlane: this.#dataPlane,
        requests: this.#requests,
        readiness: () => this.#readReadiness(),
        readStatus: () =>
          readNodeStatus({
            cluster: this.#cluster,
            dataPlane: this.#dataPlane,
            readiness: this.#readReadiness().kind,
            requests: this.#requests.active,
            shards: this.#control?.listHeldShards() ?? [],
          }),
        apply: (request) => this.#apply(request),
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
    const { membership, configuration } = this.#cluster;
    const control = this.#disposables.register(FleetControl.create({
      ...this.#services,
      store,
      cloud,
      weightStore,
      membership,
      configuration,
      engines: (endpoint) => this.#dataPlane.endpoints.findEngine(endpoint),
      loads: () => this.#dataPlane.loadCollector.latest,
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
    const { membership, configuration } = this.#cluster;
    this.#disposables.register(HostListWatch.create({
      ...this.#services,
      hosts,
      configuration,
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

  /**
   * Applies a release note and publishes it to the peers, so that nodes can
   * still obtain it when the object store becomes unavailable.
   */
  async #apply(
    request: ReleaseRequest,
  ): Promise<Either<ReleaseError, AppliedRelease>> {
    const applied = await this.#writer.apply(request);
    await applied.caseOf({
      Left: () => Promise.resolve(),
      Right: (release) => this.#publishRelease(release),
    });
    return applied;
  }

  /**
   * Puts a release in force at this node and announces it to the peers.
   *
   * The configuration is read back from the store, which also gives endpoints
   * rented in the meantime. When the store is unavailable, the configuration is
   * composed from the release and the rented endpoints known here.
   */
  async #publishRelease(release: AppliedRelease): Promise<void> {
    const { configuration } = this.#cluster;
    const read = await ConfigurationReader.create(this.#platform.store).read();
    const next = read.toMaybe().extract() ??
      composeConfiguration(release, configuration.current());
    if (next !== undefined) await configuration.accept(next);
  }

  #readReadiness(): Readiness {
    if (this.#draining !== undefined) return { kind: "draining" };
    if (this.#isReady) return { kind: "ready" };
    return { kind: "starting", reason: "no configuration yet" };
  }

  async #drainByName(name: string): Promise<Either<string, void>> {
    const { membership, requestClients } = this.#cluster;
    if (name === membership.self.node) {
      void this.drain();
      return Right(undefined);
    }
    const member = membership.find(name);
    if (member === undefined) {
      return Left(`no node "${name}" is known; list them with status`);
    }
    const answer = await requestClients.call(member.identity.peerAddress, {
      send: ({ client, signal }) => client.drain.mutate(undefined, { signal }),
    });
    return answer.mapLeft((error) => error.message).map(() => undefined);
  }

  async #runDrain(): Promise<void> {
    const { settings, clock, log } = this.#services;
    const { drainMs } = settings;
    log.info("node is draining.", { drainMs });
    await this.#cluster.membership.leave();
    this.#dataPlane.calls.drain();
    await this.#control?.stop();
    await this.#dataPlane.models.drain(drainMs);
    await this.#dataPlane.calls.close();
    await drainCallers({
      clock,
      log,
      requests: this.#requests,
      drainMs,
      close: () => this.#listeners?.callers.close() ?? Promise.resolve(),
    });
    this.#listeners?.callers.failRunning();
    await clock.sleep(lastAnswersMs);
    log.info("node has drained.");
    this.dispose();
  }
}

/**
 * Adds the rented endpoints of the last known configuration to a release;
 * undefined when the release carries no configuration.
 */
function composeConfiguration(
  { configuration, revision }: AppliedRelease,
  last: Configuration,
): Configuration | undefined {
  if (configuration === undefined) return undefined;
  const rented = last.endpoints.filter(({ isRented }) => isRented === true);
  const endpoints = [...configuration.endpoints, ...rented];
  return { ...configuration, endpoints, revision };
}

/**
 * Test setup on loopback: gateway nodes in the test's process, and stand-ins of
 * the replicas and of the platform.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { connect } from "node:net";
import { Right } from "purify-ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { Gateway } from "@almondcrank/gateway/gateway.ts";
import { LiveSettings } from "@almondcrank/gateway/live_settings.ts";
import {
  type RouteAnswer,
  type RouteRequest,
  sendRouteRequest,
} from "@almondcrank/load/route_client.ts";
import type {
  Bounds,
  ExposureBounds,
  GatewaySettings,
} from "@almondcrank/model/gateway_settings.ts";
import { CloudStandin } from "@almondcrank/standin/platform/cloud_standin.ts";
import {
  createExampleConfiguration,
  type ExampleConfigurationOptions,
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import {
  createNodePlace,
  findSharedPorts,
  type SharedPorts,
} from "@almondcrank/standin/platform/node_settings.ts";
import {
  ReplicaStandin,
  type ReplicaStandinOptions,
} from "@almondcrank/standin/platform/replica_standin.ts";
import { StoreStandin } from "@almondcrank/standin/platform/store_standin.ts";

import { ReplicaLinks } from "./replica_links.ts";

/** Bounds of the nodes of each setup. */
export const testBounds: Bounds = {
  configurationMs: 2_000,
  revocationMs: 3_000,
  failsClosed: true,
  drainMs: 1_000,
  graceMs: 5_000,
  retryRatio: 0.2,
  retryExtra: 50,
  retryWindowMs: 10_000,
  quotaWindowMs: 8_000,
  quotaTolerance: 0,
  quotaOverage: 0,
  leaseMs: 1_500,
  usageWindowMs: 1_000,
  usageDueMs: 4_000,
};

/** A caller's request; `GatewaySetup.call` has defaults for most fields. */
export interface CallerRequest
  extends Partial<Omit<RouteRequest, "address" | "host" | "path">> {
  readonly path: string;
  /** Index of the node that receives the request, 0 by default. */
  readonly node?: number;
}

/** Options of a setup. */
export interface GatewaySetupOptions {
  readonly exposure?: ExposureBounds | undefined;
  /** Whether each node has links to the replicas that the test can cut. */
  readonly hasLinks?: boolean;
}

/** Options of a replica, and the version that it registers. */
export interface AddedReplicaOptions extends Omit<ReplicaStandinOptions, "id"> {
  readonly softwareVersion?: string;
}

/** What a node sent on one connection, and how the connection closed. */
export interface RawEnd {
  readonly text: string;
  readonly isReset: boolean;
}

let nextId = 1;

/** A running system; `close` ends all its parts. */
export class GatewaySetup {
  readonly store: StoreStandin;
  readonly cloud: CloudStandin;
  readonly nodes: Gateway[] = [];
  readonly replicas = new Map<string, ReplicaStandin>();
  /** Links of each node to all replicas; none unless the setup has them. */
  readonly links: ReplicaLinks[] = [];
  readonly #settings: GatewaySettings[] = [];
  readonly #softwareVersions = new Map<string, string>();
  #version = 0;
  #exposure: ExposureBounds | undefined;
  #hasLinks = false;

  private constructor(store: StoreStandin, cloud: CloudStandin) {
    this.store = store;
    this.cloud = cloud;
  }

  /**
   * Starts a system with two replicas of each service; resolves once all nodes
   * answer requests.
   */
  static async open(
    nodes = 1,
    { exposure, hasLinks = false }: GatewaySetupOptions = {},
  ): Promise<GatewaySetup> {
    const setup = new GatewaySetup(
      await StoreStandin.open(),
      await CloudStandin.open(),
    );
    setup.#exposure = exposure;
    setup.#hasLinks = hasLinks;
    await setup.addReplica("model-1", "models");
    await setup.addReplica("model-2", "models");
    await setup.addReplica("booking-1", "booking");
    await setup.addReplica("booking-2", "booking");
    setup.configure({});
    const ports = await findSharedPorts();
    for (let at = 0; at < nodes; at += 1) {
      await setup.#openNode(at, ports);
    }
    await setup.waitUntil(() => setup.#answersAll("/lookup/x"));
    // Nodes check keys once they know that their configuration is the latest.
    await setup.waitUntil(() => setup.#answersAll("/book/x"));
    return setup;
  }

  /** Whether all nodes answer a request for a path. */
  async #answersAll(path: string): Promise<boolean> {
    const answers = await Promise.all(
      this.nodes.map((_, node) => this.call({ path, node })),
    );
    return answers.every(({ status }) => status === 200);
  }

  /** Starts and registers a replica. */
  async addReplica(
    id: string,
    service: string,
    { softwareVersion = "v1", ...options }: AddedReplicaOptions = {},
  ): Promise<ReplicaStandin> {
    const replica = await ReplicaStandin.open({ id, ...options });
    this.#softwareVersions.set(id, softwareVersion);
    this.replicas.set(id, replica);
    for (const links of this.links) await links.add(replica.address);
    this.registerReplica(id, service, "ready");
    return replica;
  }

  /** Writes a replica's registration to the store. */
  registerReplica(
    id: string,
    service: string,
    state: string,
    more: Readonly<Record<string, unknown>> = {},
  ): void {
    this.store.put(replicasKind, id, {
      ...composeReplicaEntry({
        service,
        address: this.findReplica(id).address,
        softwareVersion: this.#softwareVersions.get(id),
        state,
      }),
      ...more,
    });
  }

  /** Returns a replica; throws if none has this id. */
  findReplica(id: string): ReplicaStandin {
    const replica = this.replicas.get(id);
    if (replica === undefined) throw new Error(`there is no replica ${id}`);
    return replica;
  }

  /** Writes the next version of the configuration to the store. */
  configure(change: ExampleConfigurationOptions): void {
    this.#version += 1;
    const configuration = createExampleConfiguration(this.#version, change);
    this.store.put("config", "main", configuration);
  }

  /**
   * Sends a caller's request, on a connection of its own unless it has an
   * agent.
   */
  call({ node = 0, ...input }: CallerRequest): Promise<RouteAnswer> {
    return sendRouteRequest({
      key: tenantKey,
      deadlineMs: 3_000,
      id: `request-${nextId++}`,
      ...input,
      host: exampleHostname,
      address: this.#settings[node]?.callers ?? "",
    });
  }

  /**
   * Stops a node without draining and starts it again with the same addresses.
   */
  async restart(node: number): Promise<void> {
    this.nodes[node]?.dispose();
    const settings = this.#settings[node];
    if (settings === undefined) throw new Error(`there is no node ${node}`);
    this.nodes[node] = await startNode(
      { ...settings, isFirstStart: false },
      this.links[node],
    );
  }

  /** Returns the address at which a node listens for callers. */
  findCallersAddress(node: number): string {
    return this.#settings[node]?.callers ?? "";
  }

  /** Returns the control address of a node. */
  findControlAddress(node: number): string {
    return this.#settings[node]?.control ?? "";
  }

  /** Sends text to the first node and reads until the connection closes. */
  async sendRaw(text: string): Promise<string> {
    return (await this.readRawEnd(text)).text;
  }

  /** Like `sendRaw`, but also tells how the connection closed. */
  readRawEnd(text: string): Promise<RawEnd> {
    const [host, port] = (this.#settings[0]?.callers ?? "").split(":");
    return new Promise((resolve) => {
      const socket = connect(Number(port), host ?? "");
      let answer = "";
      socket.setEncoding("utf8");
      socket.on("data", (chunk: string) => answer += chunk);
      socket.on("error", () => resolve({ text: answer, isReset: true }));
      socket.on("close", () => resolve({ text: answer, isReset: false }));
      socket.write(text);
    });
  }

  /** Waits until a condition holds; throws after 10 s. */
  async waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + 10_000;
    while (!await condition()) {
      if (performance.now() > deadline) throw new Error("the wait is over");
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Stops all nodes, replicas and stand-ins. */
  async close(): Promise<void> {
    this.store.fault = "none";
    for (const node of this.nodes) node.dispose();
    for (const replica of this.replicas.values()) replica.close();
    for (const links of this.links) links.close();
    this.store.close();
    this.cloud.close();
    await Promise.resolve();
  }

  async #openNode(at: number, ports: SharedPorts): Promise<void> {
    const place = await createNodePlace(at, ports, {
      storeAddress: this.store.address,
      cloudAddress: this.cloud.address,
    });
    const settings: GatewaySettings = {
      nodeName: place.name,
      ip: place.ip,
      zone: "muc-a",
      zones: ["muc-a"],
      callers: place.callers,
      readiness: place.readiness,
      control: place.control,
      peerPort: place.peerPort,
      seedIps: [this.#settings[0]?.ip ?? place.ip],
      isFirstStart: true,
      memoryMb: 350,
      maxDescriptors: 1_024,
      connections: {
        max: undefined,
        maxWaiting: undefined,
        maxEnding: undefined,
      },
      linkBytesPerMs: undefined,
      storeAddress: this.store.address,
      cloudAddress: this.cloud.address,
      duties: ["usage", "scaling"],
      bounds: testBounds,
      exposure: this.#exposure,
    };
    this.#settings.push(settings);
    const links = this.#hasLinks ? await this.#openLinks() : undefined;
    this.nodes.push(await startNode(settings, links));
  }

  async #openLinks(): Promise<ReplicaLinks> {
    const links = ReplicaLinks.create();
    for (const { address } of this.replicas.values()) await links.add(address);
    this.links.push(links);
    return links;
  }
}

function startNode(
  settings: GatewaySettings,
  links: ReplicaLinks | undefined,
): Promise<Gateway> {
  const log = createSilentLog();
  const live = LiveSettings.create({
    log,
    readText: () => "",
    decode: () => Right(settings),
  }).unsafeCoerce();
  return Gateway.open({
    settings: live,
    log,
    openConnection: links === undefined
      ? undefined
      : (target) => links.openConnection(target),
  });
}

/**
 * The system of a soak: gateway nodes as processes, stand-ins of the platform and
 * of replicas, and proxies that inject network faults on the links to them.
 */

import { composeReplicaEntry } from "@almondcrank/platform/replica_entry.ts";
import { replicasKind } from "@almondcrank/platform/platform_store.ts";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import { tenantHeader } from "@almondcrank/platform/headers.ts";
import { CloudStandin } from "@almondcrank/standin/platform/cloud_standin.ts";
import {
  createExampleConfiguration,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import { NodeProcess } from "@almondcrank/standin/platform/node_process.ts";
import {
  createNodePlace,
  findSharedPorts,
} from "@almondcrank/standin/platform/node_settings.ts";
import { ReplicaStandin } from "@almondcrank/standin/platform/replica_standin.ts";
import { StoreStandin } from "@almondcrank/standin/platform/store_standin.ts";
import { LinkProxy } from "@almondcrank/standin/link_proxy.ts";
import type { PromptArrival, RunRecord, UsageRecord } from "./records.ts";

/** Key that a fault of the soak may withdraw. */
export const secondKey = "key-of-counters";
/** Number of events in a complete stream. */
export const streamEvents = 30;
/** Time between two events of a stream. */
const eventMs = 8;
/** Time between the halves of a body, so that its replica can end there. */
const bodyPauseMs = 40;
/** One in so many replicas moves its runs slowly, as copies wait for each other. */
const replicasPerSlowMove = 3;
const slowMoveMs = 1_200;
const replicasPerService = 3;
/** Bounds with few retries, which other faults use up as on busy nodes. */
const scarceRetries = { "retry-budget-ratio": 0.02, "budget-extra": 3 };
/** Time from one request with a part that crashes replicas to the next. */
const crashingPauseMs = 150;
/** Replicas' addresses lie apart from those that outgoing connections take. */
const replicaListenAddress = "127.253.0.1:0";
const services = ["models", "booking"] as const;
/** Software versions of the replicas by turns, and the text of their events. */
const softwareVersions = [
  { version: "v1", tokenText: "token" },
  { version: "v2", tokenText: "word" },
] as const;
/** Texts of which each stream holds only one. */
export const tokenTexts: readonly string[] = softwareVersions.map((
  { tokenText },
) => tokenText);

/** A replica and the link to it. */
export interface SoakReplica {
  readonly standin: ReplicaStandin;
  readonly link: LinkProxy;
  readonly service: string;
  /** Address at which nodes reach the replica. */
  readonly address: string;
  readonly software: Software;
  /** Start of the replica, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
  isRegistered: boolean;
}

/** What a replica starts as; with a new id by default. */
interface ReplicaPlace {
  readonly service: string;
  readonly software: Software;
  /** Address to listen on. */
  readonly address: string;
  readonly id?: string;
}

/** Version of a replica's software, and the text of its events. */
type Software = (typeof softwareVersions)[number];

/** A node and its link to the store. */
export interface SoakNode {
  readonly process: NodeProcess;
  readonly storeLink: LinkProxy;
}

/** Number of nodes and the program that they run. */
export interface SoakSystemOptions {
  readonly nodes: number;
  /** Arguments of Node.js: program and its arguments. */
  readonly command: readonly string[];
  /** The same for every second node; `command` by default. */
  readonly besideCommand?: readonly string[];
  /** Share of the replicas' answers without a length; 0 by default. */
  readonly unframedShare?: number;
  /** Whether nodes have few retries. */
  readonly hasScarceRetries: boolean;
}

/** A running system; `close` ends everything that it started. */
export class SoakSystem {
  readonly store: StoreStandin;
  readonly cloud: CloudStandin;
  readonly cloudLink: LinkProxy;
  readonly nodes: SoakNode[] = [];
  readonly replicas: SoakReplica[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "almondcrank-soak-"));
  readonly #logs: string[] = [];
  readonly #crashed = Emitter.create<SoakReplica>();
  /** Fires when a prompt part has crashed a replica. */
  readonly onCrash: Event<SoakReplica> = (listener) =>
    this.#crashed.event(listener);
  #crashingPart: string | undefined;
  #nextCrashingAt = 0;
  #version = 0;
  #keys: readonly string[] = [tenantKey, secondKey];
  #nextReplica = 1;
  readonly #unframedShare: number;
  #sequenceNumber = 1;

  private constructor(
    store: StoreStandin,
    cloud: CloudStandin,
    cloudLink: LinkProxy,
    { unframedShare = 0 }: SoakSystemOptions,
  ) {
    this.#unframedShare = unframedShare;
    this.store = store;
    this.cloud = cloud;
    this.cloudLink = cloudLink;
  }

  /** Starts everything; resolves once the nodes listen. */
  static async open(options: SoakSystemOptions): Promise<SoakSystem> {
    const cloud = await CloudStandin.open();
    const system = new SoakSystem(
      await StoreStandin.open(),
      cloud,
      await LinkProxy.open(cloud.address),
      options,
    );
    try {
      await system.#openAll(options);
    } catch (thrown) {
      // If one node does not start, the others must not keep running.
      await system.close({ keepLogs: false });
      throw thrown;
    }
    return system;
  }

  /** Folder with the settings files and, after `close`, the nodes' logs. */
  get folder(): string {
    return this.#folder;
  }

  /**
   * Takes the part of prompts that crashes replicas for a request, if there is
   * one and the last such request was some time ago.
   */
  takeCrashingPart(): string | undefined {
    const now = performance.now();
    if (now < this.#nextCrashingAt) return undefined;
    this.#nextCrashingAt = now + crashingPauseMs;
    return this.#crashingPart;
  }

  /** Sets the part of prompts that crashes replicas. */
  setCrashingPart(part: string | undefined): void {
    this.#crashingPart = part;
    for (const { standin } of this.replicas) this.#applyCrashingPart(standin);
  }

  /** Starts and registers a replica. */
  async addReplica(service: string): Promise<SoakReplica> {
    const software =
      softwareVersions[this.#nextReplica % softwareVersions.length] ??
        softwareVersions[0];
    const address = replicaListenAddress;
    return await this.#openReplica({ service, software, address });
  }

  /** Starts a replica of the same version as another one, elsewhere. */
  async addSuccessor(ended: SoakReplica): Promise<SoakReplica> {
    const { service, software } = ended;
    const address = replicaListenAddress;
    return await this.#openReplica({ service, software, address });
  }

  /** Starts a replica with a new id at the address of one that has crashed. */
  async replaceReplica(crashed: SoakReplica): Promise<SoakReplica> {
    const { service, software, address } = crashed;
    return await this.#openReplica({ service, software, address });
  }

  /** Starts a replica that has ended again, with its id and at its address. */
  async restartReplica(ended: SoakReplica): Promise<SoakReplica> {
    const { service, software, address, standin: { id } } = ended;
    return await this.#openReplica({ service, software, address, id });
  }

  async #openReplica(
    { service, software, address, id }: ReplicaPlace,
  ): Promise<SoakReplica> {
    const startedAtMs = Date.now();
    const standin = await ReplicaStandin.open({
      bornMs: startedAtMs,
      id: id ?? `${service}-${this.#nextReplica}`,
      events: streamEvents,
      eventMs,
    });
    this.#nextReplica += 1;
    standin.tokenText = software.tokenText;
    standin.unframedShare = this.#unframedShare;
    if (this.#unframedShare > 0) {
      standin.bodyPauseMs = bodyPauseMs;
      const isSlow = this.#nextReplica % replicasPerSlowMove === 0;
      standin.moveMs = isSlow ? slowMoveMs : 0;
    }
    const link = await LinkProxy.open(standin.address, address);
    const replica: SoakReplica = {
      standin,
      link,
      address: link.address,
      service,
      software,
      startedAtMs,
      isRegistered: true,
    };
    this.#applyCrashingPart(standin);
    standin.onCrash(() => this.#handleCrash(replica));
    this.replicas.push(replica);
    this.register(replica, "ready");
    return replica;
  }

  #applyCrashingPart(standin: ReplicaStandin): void {
    const part = this.#crashingPart;
    standin.crashingParts = new Set(part === undefined ? [] : [part]);
  }

  #handleCrash(replica: SoakReplica): void {
    replica.isRegistered = false;
    replica.link.setFault({ kind: "reset" });
    replica.link.close();
    this.#crashed.fire(replica);
  }

  /** Writes a replica's registration to the store. */
  register(replica: SoakReplica, state: "ready" | "draining"): void {
    this.#sequenceNumber += 1;
    this.store.put(
      replicasKind,
      replica.standin.id,
      composeReplicaEntry({
        service: replica.service,
        address: replica.address,
        softwareVersion: replica.software.version,
        state,
        sequenceNumber: this.#sequenceNumber,
        startedAtMs: replica.startedAtMs,
      }),
    );
  }

  /** Removes a replica's registration from the store. */
  unregister(replica: SoakReplica): void {
    replica.isRegistered = false;
    this.store.remove(replicasKind, replica.standin.id);
  }

  /** Writes the next version of the configuration to the store. */
  configure({ timeoutMs = 3_000 }: { readonly timeoutMs?: number }): void {
    this.#version += 1;
    const change = { keys: this.#keys, timeoutMs };
    const configuration = createExampleConfiguration(this.#version, change);
    this.store.put("config", "main", configuration);
  }

  /** Withdraws the second key. */
  withdrawKey(): void {
    this.#keys = [tenantKey];
    this.configure({});
  }

  /** Lists the replicas that are registered. */
  listRegisteredReplicas(): readonly SoakReplica[] {
    return this.replicas.filter(({ isRegistered }) => isRegistered);
  }

  /** Lists the requests that all replicas have run. */
  listRuns(): readonly RunRecord[] {
    return this.replicas.flatMap(({ standin, service }) =>
      standin.runs.map((run): RunRecord => ({
        replica: standin.id,
        service,
        id: run.id,
        path: run.path,
        body: run.body,
        tenant: run.headers[tenantHeader]?.toString(),
        hasKey: run.headers.authorization !== undefined,
        isMoved: run.isMoved,
        startedAt: run.startedAt,
        endedAt: run.endedAt,
      }))
    );
  }

  /** Lists the arrivals of requests with a prompt at all replicas. */
  listPromptArrivals(): readonly PromptArrival[] {
    return this.replicas.flatMap(({ standin }) =>
      standin.arrivals
        .filter(({ parts }) => parts !== "")
        .map(({ id, at, parts }): PromptArrival => ({
          id,
          replica: standin.id,
          at,
          promptParts: parts,
        }))
    );
  }

  /** Lists the usage reports that the platform has received. */
  listUsage(): readonly UsageRecord[] {
    return this.cloud.listCalls("/usage").map((
      { body, holder, fencingToken },
    ) => ({
      window: Number(body["window-id"]),
      counts: JSON.stringify(body["counts"]),
      holder,
      fencingToken,
    }));
  }

  /**
   * Ends everything; writes the nodes' logs if `keepLogs`, else removes the
   * folder.
   */
  async close({ keepLogs }: { readonly keepLogs: boolean }): Promise<void> {
    await Promise.all(this.nodes.map(({ process }) => process.kill()));
    for (const { storeLink } of this.nodes) storeLink.close();
    for (const { standin, link } of this.replicas) {
      standin.close();
      link.close();
    }
    this.cloudLink.close();
    this.cloud.close();
    this.store.close();
    if (!keepLogs) return rmSync(this.#folder, { recursive: true });
    this.nodes.forEach(({ process }, at) =>
      writeFileSync(
        join(this.#folder, `${process.place.name}.log`),
        this.#logs[at] ?? "",
      )
    );
  }

  async #openAll(options: SoakSystemOptions): Promise<void> {
    for (const service of services) {
      for (let count = 0; count < replicasPerService; count += 1) {
        await this.addReplica(service);
      }
    }
    this.configure({});
    await this.#openNodes(options);
  }

  async #openNodes(
    { nodes, command, besideCommand, hasScarceRetries }: SoakSystemOptions,
  ): Promise<void> {
    const ports = await findSharedPorts();
    for (let at = 0; at < nodes; at += 1) {
      const storeLink = await LinkProxy.open(this.store.address);
      const place = await createNodePlace(at, ports, {
        storeAddress: storeLink.address,
        cloudAddress: this.cloudLink.address,
      });
      this.#logs.push("");
      const process = NodeProcess.create({
        place,
        command: at % 2 === 0 ? command : besideCommand ?? command,
        folder: this.#folder,
        bounds: hasScarceRetries ? scarceRetries : {},
        onOutput: (text) => this.#logs[at] += text,
      });
      this.nodes.push({ process, storeLink });
    }
    const starts = this.nodes.map(({ process }) => process.start());
    // Wait for all, so that a failure does not close nodes that still start.
    await Promise.allSettled(starts);
    await Promise.all(starts);
  }
}

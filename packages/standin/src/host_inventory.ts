/**
 * The current hosts of the stand-ins, each with the endpoint that it runs.
 *
 * The cloud API adds and removes hosts. The host list reads an older state, so
 * the inventory keeps a history of listings with their times.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Instance } from "@almondcrank/infrastructure/cloud_api.ts";
import type { ListedHost } from "@almondcrank/infrastructure/host_list.ts";
import type { Part } from "./part_server.ts";

const keptHistoryMs = 600_000;
const keptRemovedHosts = 10_000;

/** A host and its endpoint, if it runs one. */
interface HostEntry {
  readonly instance: Instance;
  readonly part: Part | undefined;
}

interface TimedListing {
  readonly at: number;
  readonly hosts: readonly ListedHost[];
}

/** Current hosts, and the history that the host list reads. */
export class HostInventory implements Disposable {
  readonly #clock: Clock;
  readonly #hosts = new Map<string, HostEntry>();
  readonly #removed = new Map<string, ListedHost>();
  readonly #willChange = Emitter.create<void>();
  #history: TimedListing[];

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#history = [{ at: -Infinity, hosts: [] }];
  }

  static create(clock: Clock): HostInventory {
    return new HostInventory(clock);
  }

  /** Fires before hosts change. */
  readonly onWillChange: Event<void> = (listener) =>
    this.#willChange.event(listener);

  /** Current hosts, including starting and leaving ones. */
  get instances(): readonly Instance[] {
    return [...this.#hosts.values()].map((entry) => entry.instance);
  }

  /** Endpoints of the current hosts. */
  get parts(): readonly Part[] {
    return [...this.#hosts.values()].flatMap(({ part }) => part ?? []);
  }

  find(host: string): Instance | undefined {
    return this.#hosts.get(host)?.instance;
  }

  /** Adds or replaces a host; without `part`, it keeps its endpoint. */
  set(instance: Instance, part?: Part): void {
    this.#willChange.fire();
    const known = this.#hosts.get(instance.host);
    this.#hosts.set(instance.host, { instance, part: part ?? known?.part });
    this.#recordListing();
  }

  /** Sets the endpoint of a started host; disposes it if the host is gone. */
  setRunning(host: string, part: Part): void {
    const instance = this.find(host);
    if (instance === undefined) {
      part.dispose();
      return;
    }
    const state = instance.state === "starting" ? "running" : instance.state;
    this.set({ ...instance, state, address: part.address }, part);
  }

  /** Removes a host and disposes its endpoint; false for an unknown host. */
  remove(host: string): boolean {
    const entry = this.#hosts.get(host);
    if (entry === undefined) return false;
    this.#willChange.fire();
    this.#hosts.delete(host);
    this.#removed.set(host, createListedHost(entry.instance));
    if (this.#removed.size > keptRemovedHosts) {
      const oldest = this.#removed.keys().next();
      if (!oldest.done) this.#removed.delete(oldest.value);
    }
    entry.part?.dispose();
    this.#recordListing();
    return true;
  }

  /** Lists hosts as they were `lagMs` ago, without starting ones. */
  list(lagMs: number): readonly ListedHost[] {
    const newest = this.#clock.now() - lagMs;
    return this.#history.findLast(({ at }) => at <= newest)?.hosts ?? [];
  }

  /** Finds a current or a removed host. */
  findListed(host: string): ListedHost | undefined {
    const instance = this.find(host);
    return instance === undefined
      ? this.#removed.get(host)
      : createListedHost(instance);
  }

  dispose(): void {
    for (const { part } of this.#hosts.values()) part?.dispose();
    this.#hosts.clear();
    this.#willChange.dispose();
  }

  #recordListing(): void {
    const at = this.#clock.now();
    const hosts = this.instances
      .filter((instance) => instance.state !== "starting")
      .map(createListedHost);
    this.#history.push({ at, hosts });
    const oldest = this.#history.findLastIndex((listing) =>
      listing.at <= at - keptHistoryMs
    );
    if (oldest > 0) this.#history.splice(0, oldest);
  }
}

function createListedHost(instance: Instance): ListedHost {
  const { host, zone, machineClass, market, state } = instance;
  return {
    host,
    zone,
    machineClass,
    market,
    state: state === "leaving" ? "leaving" : "live",
  };
}

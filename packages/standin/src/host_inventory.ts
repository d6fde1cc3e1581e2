/**
 * Hosts that exist at the moment, with the endpoint that each carries.
 *
 * The cloud API rents and ends hosts here; the host list reads an older state,
 * so changes are kept with their times.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import type { Instance } from "@almondcrank/infrastructure/cloud_api.ts";
import type { ListedHost } from "@almondcrank/infrastructure/host_list.ts";
import type { Part } from "./part_server.ts";

const keptHistoryMs = 600_000;
const keptGoneHosts = 10_000;

/** A host and its endpoint. */
interface Hosted {
  readonly instance: Instance;
  readonly part: Part | undefined;
}

interface TimedListing {
  readonly at: number;
  readonly hosts: readonly ListedHost[];
}

/** All hosts of the stand-ins. */
export class HostInventory implements Disposable {
  readonly #clock: Clock;
  readonly #hosts = new Map<string, Hosted>();
  readonly #gone = new Map<string, ListedHost>();
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

  get instances(): readonly Instance[] {
    return [...this.#hosts.values()].map((hosted) => hosted.instance);
  }

  get parts(): readonly Part[] {
    return [...this.#hosts.values()].flatMap(({ part }) => part ?? []);
  }

  find(host: string): Instance | undefined {
    return this.#hosts.get(host)?.instance;
  }

  /** Adds a host, or replaces what is known of it. */
  set(instance: Instance, part?: Part): void {
    this.#willChange.fire();
    const known = this.#hosts.get(instance.host);
    this.#hosts.set(instance.host, { instance, part: part ?? known?.part });
    this.#recordListing();
  }

  /** Sets the endpoint that came up on a host. */
  setRunning(host: string, part: Part): void {
    const instance = this.find(host);
    if (instance === undefined) {
      part.dispose();
      return;
    }
    const state = instance.state === "starting" ? "running" : instance.state;
    this.set({ ...instance, state, address: part.address }, part);
  }

  /** Ends a host: its endpoint vanishes at once. */
  remove(host: string): boolean {
    const hosted = this.#hosts.get(host);
    if (hosted === undefined) return false;
    this.#willChange.fire();
    this.#hosts.delete(host);
    this.#gone.set(host, createListedHost(hosted.instance));
    if (this.#gone.size > keptGoneHosts) {
      const oldest = this.#gone.keys().next();
      if (!oldest.done) this.#gone.delete(oldest.value);
    }
    hosted.part?.dispose();
    this.#recordListing();
    return true;
  }

  /** Lists hosts as they were `lagMs` ago; starting ones are left out. */
  list(lagMs: number): readonly ListedHost[] {
    const newest = this.#clock.now() - lagMs;
    return this.#history.findLast(({ at }) => at <= newest)?.hosts ?? [];
  }

  /** Finds a host that is there or was. */
  findListed(host: string): ListedHost | undefined {
    const instance = this.find(host);
    return instance === undefined
      ? this.#gone.get(host)
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

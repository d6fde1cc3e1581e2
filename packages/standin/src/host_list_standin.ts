/**
 * Stand-in for the platform's host list, on the wire of `host_list.ts`.
 *
 * It shows the cloud's hosts as they were some time ago, and hosts named in its
 * settings. Claims make it say something else of single hosts.
 */

import { z } from "zod";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  HostListing,
  ListedHost,
} from "@almondcrank/infrastructure/host_list.ts";
import type { CommonFaults } from "./fault_settings.ts";
import { FaultInjector } from "./fault_injector.ts";
import type { HostInventory } from "./host_inventory.ts";
import {
  type ControlCall,
  createAnswer,
  handleControlCall,
  type Part,
  type PartAnswer,
  PartServer,
} from "./part_server.ts";

const listedHost = z.strictObject({
  host: z.string(),
  zone: z.string(),
  machineClass: z.string(),
  market: z.enum(["reclaimable", "on_demand"]),
  state: z.enum(["live", "leaving"]).default("live"),
});

export const hostListSettings = z.strictObject({
  /** Age of the listing. */
  lagMs: z.number().min(0).max(600_000).default(2_000),
  /** Hosts listed beside those of the cloud. */
  hosts: z.array(listedHost).default([]),
});
export type HostListSettings = z.infer<typeof hostListSettings>;

const listOrder = z.strictObject({
  lagMs: z.number().min(0).max(600_000).optional(),
  /** What to say of hosts, whatever is true; null ends a claim. */
  claims: z.record(z.string(), z.enum(["live", "leaving", "gone"]).nullable())
    .optional(),
});

type Claim = "live" | "leaving" | "gone";

/** Options of the host list stand-in. */
export interface HostListOptions extends z.input<typeof hostListSettings> {
  readonly name?: string;
  readonly address: Address;
  readonly clock: Clock;
  readonly inventory: HostInventory;
}

/** Running host list. */
export class HostListStandin implements Part {
  readonly name: string;
  readonly faults: FaultInjector<CommonFaults>;
  readonly #clock: Clock;
  readonly #inventory: HostInventory;
  readonly #hosts: readonly ListedHost[];
  readonly #claims = new Map<string, Claim>();
  #lagMs: number;
  #server!: PartServer;

  private constructor(options: HostListOptions, settings: HostListSettings) {
    this.name = options.name ?? "hostList";
    this.#clock = options.clock;
    this.#inventory = options.inventory;
    this.#hosts = settings.hosts;
    this.#lagMs = settings.lagMs;
    this.faults = FaultInjector.createCommon(options.clock);
  }

  static async open(options: HostListOptions): Promise<HostListStandin> {
    const { name: _name, address, clock, inventory: _inventory, ...settings } =
      options;
    const standin = new HostListStandin(
      options,
      hostListSettings.parse(settings),
    );
    standin.#server = await PartServer.open({
      address,
      clock,
      faults: standin.faults,
      routes: [{
        method: "GET",
        path: "/hosts",
        handle: () => createAnswer(200, standin.list()),
      }],
      controls: { "POST /control/list": (call) => standin.#setList(call) },
    });
    return standin;
  }

  get address(): Address {
    return this.#server.address;
  }

  /** Lists hosts with lag and claims. */
  list(): HostListing {
    const known = [...this.#hosts, ...this.#inventory.list(this.#lagMs)];
    const hosts = known.filter(({ host }) => !this.#claims.has(host));
    for (const [host, claim] of this.#claims) {
      const listed = known.find((other) => other.host === host) ??
        this.#inventory.findListed(host);
      if (listed === undefined || claim === "gone") continue;
      hosts.push({ ...listed, state: claim });
    }
    return { asOf: this.#clock.wallTime() - this.#lagMs, hosts };
  }

  callControl(call: ControlCall): PartAnswer {
    return this.#server.callControl(call);
  }

  dispose(): void {
    this.#server.dispose();
  }

  #setList(call: ControlCall): PartAnswer {
    return handleControlCall(listOrder, call, (order) => {
      this.#lagMs = order.lagMs ?? this.#lagMs;
      for (const [host, claim] of Object.entries(order.claims ?? {})) {
        if (claim === null) this.#claims.delete(host);
        else this.#claims.set(host, claim);
      }
      const claims = Object.fromEntries(this.#claims);
      return createAnswer(200, { lagMs: this.#lagMs, claims });
    });
  }
}

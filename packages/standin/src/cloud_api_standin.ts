/**
 * Stand-in for the cloud API, on the wire of `cloud_api.ts`.
 *
 * A granted host brings up an endpoint in this process; when the host is
 * reclaimed or given back, its listener closes and its connections are cut.
 */

import { z } from "zod";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type {
  Instance,
  InstanceRequest,
  NoticeBatch,
  Price,
  ReclaimNotice,
} from "@almondcrank/infrastructure/cloud_api.ts";
import type { CommonFaults } from "./fault_settings.ts";
import { FaultInjector } from "./fault_injector.ts";
import type { HostInventory } from "./host_inventory.ts";
import {
  type CloudCost,
  offerChange,
  Offers,
  offerSettings,
} from "./offers.ts";
import {
  type ControlCall,
  createAnswer,
  createControlError,
  handleControlCall,
  handleJsonBody,
  type Part,
  type PartAnswer,
  type PartCall,
  PartServer,
} from "./part_server.ts";

const maxWaitMs = 60_000;
const keptNotices = 10_000;

export const cloudApiSettings = z.strictObject({
  offers: z.array(offerSettings).default([]),
  /** Time from the grant until the endpoint answers. */
  startDelayMs: z.number().min(0).default(500),
});
export type CloudApiSettings = z.infer<typeof cloudApiSettings>;

const instanceBody = z.object({
  token: z.string().min(1),
  service: z.string(),
  zone: z.string(),
  machineClass: z.string(),
  market: z.enum(["reclaimable", "on_demand"]),
});

/** Order to reclaim one host, or the reclaimable hosts of a zone or of all. */
export const reclaimRequest = z.strictObject({
  host: z.string().optional(),
  zone: z.string().optional(),
  noticeMs: z.number().min(0).max(3_600_000),
  /** Without an announcement hosts vanish with no notice given. */
  announced: z.boolean().default(true),
  /** Sets the zone's reclaimable capacity to 0, so replacements are refused. */
  refuseReplacements: z.boolean().default(false),
});
export type ReclaimRequest = z.input<typeof reclaimRequest>;

/** Brings up the endpoint of a service; undefined for an unknown service. */
export type EndpointFactory = (
  service: string,
  host: string,
) => Promise<Part> | undefined;

/** Options of the cloud API stand-in. */
export interface CloudApiOptions extends z.input<typeof cloudApiSettings> {
  readonly name?: string;
  readonly address: Address;
  readonly clock: Clock;
  readonly random: Random;
  readonly inventory: HostInventory;
  readonly openEndpoint: EndpointFactory;
}

/** Running cloud API. */
export class CloudApiStandin implements Part {
  readonly name: string;
  readonly faults: FaultInjector<CommonFaults>;
  readonly #options: CloudApiOptions;
  readonly #settings: CloudApiSettings;
  readonly #offers: Offers;
  readonly #openedAt: number;
  /** Hosts by idempotency token. */
  readonly #tokens = new Map<string, string>();
  readonly #waiting = new Set<AbortController>();
  readonly #ended = new AbortController();
  #notices: ReclaimNotice[] = [];
  #sequence = 0;
  #nextHost = 1;
  #server!: PartServer;

  private constructor(options: CloudApiOptions, settings: CloudApiSettings) {
    this.name = options.name ?? "cloudApi";
    this.#options = options;
    this.#settings = settings;
    this.#openedAt = options.clock.now();
    this.#offers = Offers.create(settings.offers);
    this.faults = FaultInjector.createCommon(options.clock);
    options.inventory.onWillChange(() => this.#recordBill());
  }

  static async open(options: CloudApiOptions): Promise<CloudApiStandin> {
    const { offers, startDelayMs } = options;
    const standin = new CloudApiStandin(
      options,
      cloudApiSettings.parse({ offers, startDelayMs }),
    );
    standin.#server = await PartServer.open({
      address: options.address,
      clock: options.clock,
      faults: standin.faults,
      routes: [
        {
          method: "POST",
          path: "/instances",
          handle: ({ body }) =>
            handleJsonBody(
              instanceBody,
              body,
              (wanted) => standin.#handleRequest(wanted),
            ),
        },
        {
          method: "DELETE",
          path: "/instances/:host",
          handle: (e) => standin.#handleReturn(e),
        },
        {
          method: "GET",
          path: "/instances",
          handle: () =>
            createAnswer(200, { instances: options.inventory.instances }),
        },
        {
          method: "GET",
          path: "/notices",
          handle: (e) => standin.#waitNotices(e),
        },
        {
          method: "GET",
          path: "/prices",
          handle: () => createAnswer(200, { prices: standin.#listPrices() }),
        },
      ],
      controls: {
        "POST /control/reclaim": (call) => standin.#handleReclaim(call),
        "POST /control/offers": (call) => standin.#setOffers(call),
        "GET /control/offers": () =>
          createAnswer(200, { offers: standin.#offers.all }),
        "GET /control/cost": () => createAnswer(200, standin.readCost()),
      },
    });
    return standin;
  }

  get address(): Address {
    return this.#server.address;
  }

  /** Cost of all hosts since the start. */
  readCost(): CloudCost {
    this.#recordBill();
    return this.#offers.cost;
  }

  /** Reclaims hosts; returns the names of those concerned. */
  reclaim(input: ReclaimRequest): readonly string[] {
    const order = reclaimRequest.parse(input);
    if (order.refuseReplacements) {
      const { zone } = order;
      this.#recordBill();
      this.#offers.apply({ zone, market: "reclaimable", hosts: 0 });
    }
    const concerned = this.#options.inventory.instances.filter((instance) =>
      order.host === undefined
        ? instance.market === "reclaimable" &&
          (order.zone ?? instance.zone) === instance.zone
        : instance.host === order.host
    );
    for (const instance of concerned) this.#startNotice(instance, order);
    return concerned.map((instance) => instance.host);
  }

  callControl(call: ControlCall): PartAnswer {
    return this.#server.callControl(call);
  }

  dispose(): void {
    this.#ended.abort();
    for (const waiting of this.#waiting) waiting.abort();
    this.#server.dispose();
  }

  #handleRequest(wanted: InstanceRequest): PartAnswer {
    const known = this.#tokens.get(wanted.token);
    if (known === undefined) return this.#createInstance(wanted);
    const instance = this.#options.inventory.find(known);
    return instance === undefined
      ? createAnswer(409, { reason: "the instance of this token has ended" })
      : createAnswer(201, instance);
  }

  #createInstance(wanted: InstanceRequest): PartAnswer {
    const refusal = this.#findRefusal(wanted);
    if (refusal !== undefined) return createAnswer(409, { reason: refusal });
    const host = `${wanted.zone}-h${this.#nextHost++}`;
    const endpoint = this.#options.openEndpoint;
    const instance: Instance = {
      ...wanted,
      host,
      state: "starting",
      address: undefined,
    };
    this.#tokens.set(wanted.token, host);
    this.#options.inventory.set(instance);
    void this.#startHost(instance, endpoint);
    return createAnswer(201, instance);
  }

  #findRefusal(wanted: InstanceRequest): string | undefined {
    const offer = this.#offers.find(wanted);
    if (offer === undefined) return "not offered in this zone";
    const used =
      this.#options.inventory.instances.filter((instance) =>
        instance.zone === wanted.zone && instance.market === wanted.market &&
        instance.machineClass === wanted.machineClass
      ).length;
    if (used >= offer.hosts) return "no capacity";
    const isUnlucky = offer.refusedShare > 0 &&
      this.#options.random.next() < offer.refusedShare;
    return isUnlucky ? "no capacity at the moment" : undefined;
  }

  async #startHost(
    { host, service }: Instance,
    openEndpoint: EndpointFactory,
  ): Promise<void> {
    const { clock, inventory } = this.#options;
    await clock.sleep(this.#settings.startDelayMs, this.#ended.signal);
    if (this.#ended.signal.aborted || inventory.find(host) === undefined) {
      return;
    }
    const part = await openEndpoint(service, host);
    // A host of an unknown service never gets past starting.
    if (part !== undefined) inventory.setRunning(host, part);
  }

  #handleReturn({ parameters }: PartCall): PartAnswer {
    return this.#options.inventory.remove(parameters["host"] ?? "")
      ? createAnswer(200, {})
      : createAnswer(404, { reason: "no such host" });
  }

  #startNotice(
    instance: Instance,
    order: z.output<typeof reclaimRequest>,
  ): void {
    const { clock, inventory } = this.#options;
    const { host } = instance;
    if (order.announced) {
      inventory.set({ ...instance, state: "leaving" });
      const reclaimAt = clock.wallTime() + order.noticeMs;
      this.#notices.push({ sequence: ++this.#sequence, host, reclaimAt });
      if (this.#notices.length > keptNotices) this.#notices.shift();
      for (const waiting of this.#waiting) waiting.abort();
    }
    void clock.sleep(order.noticeMs, this.#ended.signal).then(() => {
      if (!this.#ended.signal.aborted) inventory.remove(host);
    });
  }

  async #waitNotices({ query, response }: PartCall): Promise<PartAnswer> {
    const since = Number(query.get("since") ?? 0);
    const waitMs = Math.min(Number(query.get("waitMs") ?? 0), maxWaitMs);
    if (!(since >= 0 && waitMs >= 0)) {
      return createAnswer(400, { reason: "since and waitMs must be numbers" });
    }
    if (this.#sequence <= since && waitMs > 0) {
      const waiting = new AbortController();
      this.#waiting.add(waiting);
      response.once("close", () => waiting.abort());
      await this.#options.clock.sleep(waitMs, waiting.signal);
      this.#waiting.delete(waiting);
    }
    const batch: NoticeBatch = {
      sequence: this.#sequence,
      notices: this.#notices.filter((notice) => notice.sequence > since),
    };
    return createAnswer(200, batch);
  }

  #handleReclaim(call: ControlCall): PartAnswer {
    return handleControlCall(reclaimRequest, call, (order) => {
      const hosts = this.reclaim(order);
      return order.host !== undefined && hosts.length === 0
        ? createControlError(`no host "${order.host}"`, 404)
        : createAnswer(200, { hosts });
    });
  }

  #setOffers(call: ControlCall): PartAnswer {
    return handleControlCall(offerChange, call, (order) => {
      this.#recordBill();
      const matched = this.#offers.apply(order);
      return matched === 0
        ? createControlError("no offer matches; see GET /control/offers", 404)
        : createAnswer(200, { matched });
    });
  }

  #listPrices(): readonly Price[] {
    return this.#offers.listPrices(this.#computeAge());
  }

  #recordBill(): void {
    this.#offers.chargeHosts(
      this.#options.inventory.instances,
      this.#computeAge(),
    );
  }

  #computeAge(): number {
    return this.#options.clock.now() - this.#openedAt;
  }
}

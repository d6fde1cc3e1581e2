/**
 * Stand-in for the cloud API, with the HTTP API that
 * `infrastructure/cloud_api.ts` describes.
 *
 * A granted host runs an endpoint in this process. When the host is reclaimed
 * or returned, the endpoint's listener closes and its connections are cut.
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

/** Schema of the cloud API's settings. */
export const cloudApiSettings = z.strictObject({
  offers: z.array(offerSettings).default([]),
  /** Time in milliseconds from the grant of a host until its endpoint opens. */
  startDelayMs: z.number().min(0).default(500),
});
/** Settings with all defaults filled in. */
export type CloudApiSettings = z.infer<typeof cloudApiSettings>;

const instanceBody = z.object({
  token: z.string().min(1),
  service: z.string(),
  zone: z.string(),
  machineClass: z.string(),
  market: z.enum(["reclaimable", "on_demand"]),
});

/** Schema of a reclaim: one host, or the reclaimable hosts of a zone or of all. */
export const reclaimRequest = z.strictObject({
  host: z.string().optional(),
  zone: z.string().optional(),
  noticeMs: z.number().min(0).max(3_600_000),
  /** If false, hosts vanish after `noticeMs` and no notice is sent. */
  announced: z.boolean().default(true),
  /**
   * Sets the reclaimable capacity of the zone, or of all zones, to 0, so that
   * replacements are refused.
   */
  refuseReplacements: z.boolean().default(false),
});
/** Request to reclaim hosts. */
export type ReclaimRequest = z.input<typeof reclaimRequest>;

/** Opens the endpoint of a service; undefined for an unknown service. */
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

/** Running stand-in for the cloud API. */
export class CloudApiStandin implements Part {
  readonly name: string;
  readonly faults: FaultInjector<CommonFaults>;
  readonly #options: CloudApiOptions;
  readonly #settings: CloudApiSettings;
  readonly #offers: Offers;
  readonly #openedAt: number;
  /** Hosts by idempotency token. */
  readonly #hostsByToken = new Map<string, string>();
  readonly #noticeWaiters = new Set<AbortController>();
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
    options.inventory.onWillChange(() => this.#chargeHosts());
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
          handle: (e) => standin.#waitForNotices(e),
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

  /** Computes the cost of all hosts since the start. */
  readCost(): CloudCost {
    this.#chargeHosts();
    return this.#offers.cost;
  }

  /** Reclaims hosts; returns their names. */
  reclaim(input: ReclaimRequest): readonly string[] {
    const request = reclaimRequest.parse(input);
    if (request.refuseReplacements) {
      const { zone } = request;
      this.#chargeHosts();
      this.#offers.apply({ zone, market: "reclaimable", hosts: 0 });
    }
    const affected = this.#options.inventory.instances.filter((instance) =>
      request.host === undefined
        ? instance.market === "reclaimable" &&
          (request.zone ?? instance.zone) === instance.zone
        : instance.host === request.host
    );
    for (const instance of affected) this.#startReclaim(instance, request);
    return affected.map((instance) => instance.host);
  }

  callControl(call: ControlCall): PartAnswer {
    return this.#server.callControl(call);
  }

  dispose(): void {
    this.#ended.abort();
    for (const waiter of this.#noticeWaiters) waiter.abort();
    this.#server.dispose();
  }

  #handleRequest(wanted: InstanceRequest): PartAnswer {
    const known = this.#hostsByToken.get(wanted.token);
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
    this.#hostsByToken.set(wanted.token, host);
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
    const isRandomlyRefused = offer.refusedShare > 0 &&
      this.#options.random.next() < offer.refusedShare;
    return isRandomlyRefused ? "no capacity at the moment" : undefined;
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
    // A host of an unknown service stays in state `starting`.
    if (part !== undefined) inventory.setRunning(host, part);
  }

  #handleReturn({ parameters }: PartCall): PartAnswer {
    return this.#options.inventory.remove(parameters["host"] ?? "")
      ? createAnswer(200, {})
      : createAnswer(404, { reason: "no such host" });
  }

  #startReclaim(
    instance: Instance,
    request: z.output<typeof reclaimRequest>,
  ): void {
    const { clock, inventory } = this.#options;
    const { host } = instance;
    if (request.announced) {
      inventory.set({ ...instance, state: "leaving" });
      const reclaimAt = clock.wallTime() + request.noticeMs;
      this.#notices.push({ sequence: ++this.#sequence, host, reclaimAt });
      if (this.#notices.length > keptNotices) this.#notices.shift();
      for (const waiter of this.#noticeWaiters) waiter.abort();
    }
    void clock.sleep(request.noticeMs, this.#ended.signal).then(() => {
      if (!this.#ended.signal.aborted) inventory.remove(host);
    });
  }

  async #waitForNotices({ query, response }: PartCall): Promise<PartAnswer> {
    const since = Number(query.get("since") ?? 0);
    const waitMs = Math.min(Number(query.get("waitMs") ?? 0), maxWaitMs);
    if (!(since >= 0 && waitMs >= 0)) {
      return createAnswer(400, { reason: "since and waitMs must be numbers" });
    }
    if (this.#sequence <= since && waitMs > 0) {
      const waiter = new AbortController();
      this.#noticeWaiters.add(waiter);
      response.once("close", () => waiter.abort());
      await this.#options.clock.sleep(waitMs, waiter.signal);
      this.#noticeWaiters.delete(waiter);
    }
    const batch: NoticeBatch = {
      sequence: this.#sequence,
      notices: this.#notices.filter((notice) => notice.sequence > since),
    };
    return createAnswer(200, batch);
  }

  #handleReclaim(call: ControlCall): PartAnswer {
    return handleControlCall(reclaimRequest, call, (request) => {
      const hosts = this.reclaim(request);
      return request.host !== undefined && hosts.length === 0
        ? createControlError(`no host "${request.host}"`, 404)
        : createAnswer(200, { hosts });
    });
  }

  #setOffers(call: ControlCall): PartAnswer {
    return handleControlCall(offerChange, call, (change) => {
      this.#chargeHosts();
      const matched = this.#offers.apply(change);
      return matched === 0
        ? createControlError("no offer matches; see GET /control/offers", 404)
        : createAnswer(200, { matched });
    });
  }

  #listPrices(): readonly Price[] {
    return this.#offers.listPrices(this.#computeElapsedMs());
  }

  #chargeHosts(): void {
    this.#offers.chargeHosts(
      this.#options.inventory.instances,
      this.#computeElapsedMs(),
    );
  }

  #computeElapsedMs(): number {
    return this.#options.clock.now() - this.#openedAt;
  }
}

/**
 * All stand-ins of one settings file, in one process.
 */

import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import {
  type HttpExchange,
  HttpServer,
} from "@almondcrank/common/http_server.ts";
import { Random } from "@almondcrank/common/random.ts";
import { CloudApiStandin } from "./cloud_api_standin.ts";
import { EngineStandin } from "./engine_standin.ts";
import { HostInventory } from "./host_inventory.ts";
import { HostListStandin } from "./host_list_standin.ts";
import { ObjectApiStandin } from "./object_api_standin.ts";
import {
  createControlError,
  type Part,
  readControlBody,
  sendAnswer,
} from "./part_server.ts";
import { PlainServiceStandin } from "./plain_standin.ts";
import {
  type PlacedSettings,
  type ServiceTemplate,
  type StandinSettings,
  standinSettings,
  type StandinSettingsInput,
} from "./standin_settings.ts";
import { WeightStoreStandin } from "./weight_store_standin.ts";

const freePort = "127.0.0.1:0";
/** Distance between the seeds of two random generators; a prime. */
const seedStep = 7_919;

/** Options of a set of stand-ins. */
export interface StandinSetOptions {
  readonly clock: Clock;
}

/** Running stand-ins, with the listener for control calls to them. */
export class StandinSet implements Disposable {
  readonly inventory: HostInventory;
  readonly #store = DisposableStore.create();
  readonly #clock: Clock;
  readonly #settings: StandinSettings;
  readonly #parts = new Map<string, Part>();
  #randomCount = 0;
  #objectApi: ObjectApiStandin | undefined;
  #hostList: HostListStandin | undefined;
  #cloudApi: CloudApiStandin | undefined;
  #weightStore: WeightStoreStandin | undefined;
  #control: HttpServer | undefined;

  private constructor(settings: StandinSettings, clock: Clock) {
    this.#clock = clock;
    this.#settings = settings;
    this.inventory = this.#store.register(HostInventory.create(clock));
  }

  /**
   * Starts every part; resolves when all listen.
   *
   * Rejects when settings are invalid, an address cannot be bound or two parts
   * have one name.
   */
  static async open(
    settings: StandinSettingsInput,
    options: StandinSetOptions,
  ): Promise<StandinSet> {
    const set = new StandinSet(
      standinSettings.parse(settings),
      options.clock,
    );
    try {
      await set.#openPlatform();
      await set.#openEndpoints();
      await set.#openControl();
    } catch (thrown) {
      set.dispose();
      throw thrown;
    }
    return set;
  }

  get objectApi(): ObjectApiStandin | undefined {
    return this.#objectApi;
  }

  get hostList(): HostListStandin | undefined {
    return this.#hostList;
  }

  get cloudApi(): CloudApiStandin | undefined {
    return this.#cloudApi;
  }

  get weightStore(): WeightStoreStandin | undefined {
    return this.#weightStore;
  }

  /** Address of the listener for control calls, if there is one. */
  get controlAddress(): Address | undefined {
    return this.#control?.address;
  }

  /** All running parts, including endpoints of rented hosts. */
  get parts(): readonly Part[] {
    const parts = new Set([...this.#parts.values(), ...this.inventory.parts]);
    return [...parts];
  }

  findPart(name: string): Part | undefined {
    return this.#parts.get(name) ??
      this.inventory.parts.find((part) => part.name === name);
  }

  dispose(): void {
    this.#store.dispose();
  }

  async #openPlatform(): Promise<void> {
    const { objectApi, hostList, cloudApi, weightStore } = this.#settings;
    const clock = this.#clock;
    const inventory = this.inventory;
    if (objectApi !== undefined) {
      this.#objectApi = this.#add(
        await ObjectApiStandin.open({ ...objectApi, clock }),
      );
    }
    if (hostList !== undefined) {
      this.#hostList = this.#add(
        await HostListStandin.open({ ...hostList, clock, inventory }),
      );
    }
    if (weightStore !== undefined) {
      this.#weightStore = this.#add(
        await WeightStoreStandin.open({ ...weightStore, clock }),
      );
    }
    if (cloudApi !== undefined) {
      this.#cloudApi = this.#add(
        await CloudApiStandin.open({
          ...cloudApi,
          clock,
          random: this.#createRandom(),
          inventory,
          openEndpoint: (service, host) =>
            this.#openRentedEndpoint(service, host),
        }),
      );
    }
  }

  async #openEndpoints(): Promise<void> {
    const { engines, plainServices } = this.#settings;
    for (const settings of engines) {
      const { place, behavior } = parsePlace(settings);
      const template: ServiceTemplate = { kind: "engine", ...behavior };
      this.#addHost(place, await this.#openEndpoint(template, place));
    }
    for (const settings of plainServices) {
      const { place, behavior } = parsePlace(settings);
      const template: ServiceTemplate = { kind: "plain", ...behavior };
      this.#addHost(place, await this.#openEndpoint(template, place));
    }
  }

  #openEndpoint(
    template: ServiceTemplate,
    place: { readonly name: string; readonly address: Address },
  ): Promise<EngineStandin | PlainServiceStandin> {
    const { name, address } = place;
    const clock = this.#clock;
    const random = this.#createRandom();
    switch (template.kind) {
      case "engine": {
        const { kind: _kind, ...behavior } = template;
        const weightStore = behavior.weightStore ?? this.#weightStore?.address;
        return EngineStandin.open({
          ...behavior,
          ...(weightStore === undefined ? {} : { weightStore }),
          name,
          address,
          clock,
          random,
        });
      }
      case "plain": {
        const { kind: _kind, ...behavior } = template;
        return PlainServiceStandin.open({
          ...behavior,
          name,
          address,
          clock,
          random,
        });
      }
    }
  }

  /** Opens the endpoint of a rented host and names it after the host. */
  #openRentedEndpoint(
    service: string,
    host: string,
  ): Promise<Part> | undefined {
    const template = this.#settings.cloudApi?.services[service];
    return template === undefined
      ? undefined
      : this.#openEndpoint(template, { name: host, address: freePort });
  }

  /** Adds an endpoint and, if it has a zone, its host to the cloud's hosts. */
  #addHost(place: PlacedSettings, part: Part): void {
    this.#add(part);
    const { zone, service, machineClass, market } = place;
    if (zone === undefined) return;
    this.inventory.set({
      host: place.host ?? place.name,
      token: `settings:${place.name}`,
      service,
      zone,
      machineClass,
      market,
      state: "running",
      address: part.address,
    }, part);
  }

  #add<T extends Part>(part: T): T {
    if (this.#parts.has(part.name)) {
      part.dispose();
      throw new Error(`two parts are named "${part.name}"; rename one`);
    }
    this.#parts.set(part.name, part);
    return this.#store.register(part);
  }

  #createRandom(): Random {
    this.#randomCount += 1;
    return Random.create(this.#settings.seed + this.#randomCount * seedStep);
  }

  async #openControl(): Promise<void> {
    const { control } = this.#settings;
    if (control === undefined) return;
    const handle = (exchange: HttpExchange): Promise<void> =>
      this.#handleControl(exchange);
    this.#control = this.#store.register(
      await HttpServer.open({
        address: control.address,
        routes: [
          { method: "GET", path: "/parts", handle },
          { method: "ALL", path: "/parts/:name/control", handle },
          { method: "ALL", path: "/parts/:name/control/*", handle },
        ],
      }),
    );
  }

  async #handleControl(exchange: HttpExchange): Promise<void> {
    const { request, response, parameters, query, path } = exchange;
    const name = parameters["name"];
    if (name === undefined) {
      const parts = this.parts
        .map((part) => ({ name: part.name, address: part.address }));
      sendAnswer(response, { kind: "json", status: 200, value: { parts } });
      return;
    }
    const part = this.findPart(name);
    if (part === undefined) {
      const message = `no part "${name}"; see GET /parts`;
      sendAnswer(response, createControlError(message, 404));
      return;
    }
    const call = {
      method: request.method ?? "GET",
      path: path.slice(path.indexOf("/control")),
      query,
    };
    sendAnswer(
      response,
      await readControlBody(
        exchange,
        (body) => part.callControl({ ...call, body }),
      ),
    );
  }
}

/** Separates the placement of an endpoint from its behavior. */
function parsePlace<T extends PlacedSettings>(
  settings: T,
): {
  readonly place: PlacedSettings;
  readonly behavior: Omit<T, keyof PlacedSettings>;
} {
  const {
    name,
    address,
    service,
    host,
    zone,
    machineClass,
    market,
    ...behavior
  } = settings;
  const place = { name, address, service, host, zone, machineClass, market };
  return { place, behavior };
}

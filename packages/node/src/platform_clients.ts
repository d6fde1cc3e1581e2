/**
 * Clients of the platform's services at the addresses in the settings.
 */

import { Right } from "purify-ts";
import type { DisposableStore } from "@almondcrank/common/disposables.ts";
import type { CloudApi } from "@almondcrank/infrastructure/cloud_api.ts";
import { HttpCloudApi } from "@almondcrank/infrastructure/http_cloud_api.ts";
import type { HostList } from "@almondcrank/infrastructure/host_list.ts";
import { HttpHostList } from "@almondcrank/infrastructure/http_host_list.ts";
import { HttpObjectStore } from "@almondcrank/infrastructure/http_object_store.ts";
import { HttpWeightStore } from "@almondcrank/infrastructure/http_weight_store.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import type { WeightStore } from "@almondcrank/infrastructure/weight_store.ts";
import type { NodeServices } from "./node_services.ts";

/**
 * Clients; `cloud` and `hosts` are undefined when the settings lack their
 * address. Without `cloud` the node rents no hosts and receives no reclaim
 * notices.
 */
export interface PlatformClients {
  readonly store: ObjectStore;
  readonly cloud: CloudApi | undefined;
  readonly weightStore: WeightStore;
  readonly hosts: HostList | undefined;
}

/** Creates the clients and registers them with `disposables`. */
export function createPlatformClients(
  services: NodeServices,
  disposables: DisposableStore,
): PlatformClients {
  const { objectApi, cloudApi, weightStore, hostList } =
    services.settings.platform;
  const { clock, random, metrics, log } = services;
  const common = { clock, random, metrics, log };
  return {
    store: disposables.register(
      HttpObjectStore.create({ ...common, address: objectApi }),
    ),
    cloud: cloudApi === undefined ? undefined : disposables.register(
      HttpCloudApi.create({ ...common, address: cloudApi }),
    ),
    hosts: hostList === undefined ? undefined : disposables.register(
      HttpHostList.create({ ...common, address: hostList }),
    ),
    weightStore: weightStore === undefined
      ? unlimitedWeightStore
      : disposables.register(
        HttpWeightStore.create({ ...common, address: weightStore }),
      ),
  };
}

/**
 * Stands in for a weight store that is not configured: weights load at any
 * rate.
 */
const unlimitedWeightStore: WeightStore = {
  readRate: () =>
    Promise.resolve(Right({ bytesPerSecond: Infinity, activeLoads: 0 })),
};

/**
 * The replicas of each service, indexed for fast choice.
 *
 * Prompts are mapped to replicas by consistent hashing: a replica that is added or
 * removed moves only its own share of the prompts, and all nodes with the same
 * configuration agree. The ring is rebuilt only when the service's endpoints change.
 */

import type {
  Configuration,
  ConfigurationSource,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";

/** Virtual nodes of each replica on the ring. */
const pointsPerReplica = 32;
/** Factor that leaves room for the replica's index below the hash: 2^20. */
const indexRange = 0x10_0000;

/** Sorted points of the ring: hash times 2^20 plus the replica's index. */
type Ring = Float64Array;

/** Replicas of one service with their hash ring. */
export class ServiceReplicas {
  readonly endpoints: readonly Endpoint[];
  readonly #points: Ring;

  private constructor(endpoints: readonly Endpoint[], points: Ring) {
    this.endpoints = endpoints;
    this.#points = points;
  }

  /** @param previous Replicas whose ring is reused if the names are the same. */
  static create(
    endpoints: readonly Endpoint[],
    hasher: Hasher,
    previous?: ServiceReplicas,
  ): ServiceReplicas {
    const points =
      previous !== undefined && hasSameNames(previous.endpoints, endpoints)
        ? previous.#points
        : computeRing(endpoints, hasher);
    return new ServiceReplicas(endpoints, points);
  }

  /** Finds the first `count` distinct replicas on the ring after `key`. */
  findHomes(key: number, count: number): Endpoint[] {
    const homes: Endpoint[] = [];
    const points = this.#points;
    let pointIndex = this.#findPoint(computeRingHash(key) * indexRange);
    for (let step = 0; step < points.length; step++, pointIndex++) {
      if (homes.length >= count) break;
      const point = points[pointIndex % points.length] ?? 0;
      const endpoint = this.endpoints[point % indexRange];
      if (endpoint !== undefined && !homes.includes(endpoint)) {
        homes.push(endpoint);
      }
    }
    return homes;
  }

  #findPoint(value: number): number {
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#points[middle] ?? 0) < value) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function computeRing(endpoints: readonly Endpoint[], hasher: Hasher): Ring {
  const points = new Float64Array(endpoints.length * pointsPerReplica);
  for (const [index, { name }] of endpoints.entries()) {
    for (let point = 0; point < pointsPerReplica; point++) {
      const hash = hasher.hash32(name, point + 1);
      points[index * pointsPerReplica + point] = hash * indexRange + index;
    }
  }
  return points.sort();
}

/** Spreads a block hash over the ring, by the 32-bit finalizer of MurmurHash3. */
function computeRingHash(key: number): number {
  let bits = Math.imul(key ^ (key >>> 16), 0x85eb_ca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2_ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}

const noEndpoints: readonly Endpoint[] = [];

/** Replicas of all services in the configuration in force. */
export class ReplicaDirectory {
  readonly #source: ConfigurationSource;
  readonly #hasher: Hasher;
  readonly #services = new Map<string, ServiceReplicas>();
  #byService = new Map<string, Endpoint[]>();
  #byName = new Map<string, Endpoint>();
  #indexed: Configuration | undefined;

  private constructor(source: ConfigurationSource, hasher: Hasher) {
    this.#source = source;
    this.#hasher = hasher;
  }

  static create(
    source: ConfigurationSource,
    hasher: Hasher,
  ): ReplicaDirectory {
    return new ReplicaDirectory(source, hasher);
  }

  /** Finds the replicas of a service; the same object until they change. */
  find(service: string): ServiceReplicas {
    this.#refresh();
    const endpoints = this.#byService.get(service) ?? noEndpoints;
    const known = this.#services.get(service);
    if (known?.endpoints === endpoints) return known;
    const replicas = ServiceReplicas.create(endpoints, this.#hasher, known);
    this.#services.set(service, replicas);
    return replicas;
  }

  /** Finds an endpoint by its name. */
  findEndpoint(name: string): Endpoint | undefined {
    this.#refresh();
    return this.#byName.get(name);
  }

  #refresh(): void {
    const configuration = this.#source.current();
    if (configuration === this.#indexed) return;
    this.#indexed = configuration;
    this.#byService = new Map();
    this.#byName = new Map();
    for (const endpoint of configuration.endpoints) {
      this.#byName.set(endpoint.name, endpoint);
      const list = this.#byService.get(endpoint.service);
      if (list === undefined) this.#byService.set(endpoint.service, [endpoint]);
      else list.push(endpoint);
    }
  }
}

function hasSameNames(
  a: readonly Endpoint[],
  b: readonly Endpoint[],
): boolean {
  return a.length === b.length &&
    a.every((endpoint, index) => endpoint.name === b[index]?.name);
}

/**
 * The replicas of each service, prepared for fast choice.
 *
 * Prompts are mapped to replicas by a hash ring: a replica that comes or goes
 * moves only its own share, and all nodes with the same configuration agree.
 * The ring is rebuilt only when the service's endpoints change.
 */

import type {
  Configuration,
  ConfigurationSource,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";

const pointsPerReplica = 32;
const indexRange = 0x10_0000;

/** Points of replicas on the ring: hash times 2^20 plus the replica's index. */
type Ring = Float64Array;

/** Replicas of one service. */
export class ServiceReplicas {
  readonly endpoints: readonly Endpoint[];
  readonly #points: Ring;

  private constructor(endpoints: readonly Endpoint[], points: Ring) {
    this.endpoints = endpoints;
    this.#points = points;
  }

  /** @param previous Replicas whose ring is kept if the names are the same. */
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
    let at = this.#findPoint(computeBits(key) * indexRange);
    for (let step = 0; step < points.length; step++, at++) {
      if (homes.length >= count) break;
      const point = points[at % points.length] ?? 0;
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

/** Spreads a block hash over the ring (a 32-bit finalizer). */
function computeBits(key: number): number {
  let bits = Math.imul(key ^ (key >>> 16), 0x85eb_ca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2_ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}

const noEndpoints: readonly Endpoint[] = [];

/** Replicas of all services at the configuration in force. */
export class ReplicaDirectory {
  readonly #source: ConfigurationSource;
  readonly #hasher: Hasher;
  readonly #services = new Map<string, ServiceReplicas>();
  #byService = new Map<string, Endpoint[]>();
  #byName = new Map<string, Endpoint>();
  #seen: Configuration | undefined;

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

  /** Replicas of a service. */
  find(service: string): ServiceReplicas {
    this.#refresh();
    const endpoints = this.#byService.get(service) ?? noEndpoints;
    const known = this.#services.get(service);
    if (known?.endpoints === endpoints) return known;
    const replicas = ServiceReplicas.create(endpoints, this.#hasher, known);
    this.#services.set(service, replicas);
    return replicas;
  }

  /** Endpoint of a name. */
  findEndpoint(name: string): Endpoint | undefined {
    this.#refresh();
    return this.#byName.get(name);
  }

  #refresh(): void {
    const configuration = this.#source.current();
    if (configuration === this.#seen) return;
    this.#seen = configuration;
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

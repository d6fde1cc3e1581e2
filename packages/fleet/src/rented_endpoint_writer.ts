/**
 * Records rented endpoints, one object per data centre, so that they are part of
 * the configuration in force.
 *
 * The list is a whole state computed from the cloud API's instances. A lost
 * answer needs no settling: the next round reads the object again and writes only
 * if it still differs.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { Instance } from "@almondcrank/infrastructure/cloud_api.ts";
import {
  decodeRentedEndpoints,
  encodeStoredValue,
  rentedPrefix,
} from "@almondcrank/infrastructure/configuration_codec.ts";
import type {
  ObjectStore,
  StoredObject,
} from "@almondcrank/infrastructure/object_store.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";
import type { Lease } from "./lease.ts";
import { rentedNamePrefix } from "./release_note_schema.ts";

interface KnownList {
  readonly version: number;
  readonly text: string;
}

/** Writer of rented endpoints. */
export class RentedEndpointWriter {
  readonly #store: ObjectStore;
  readonly #lease: Lease;
  readonly #known = new Map<string, KnownList>();

  private constructor(store: ObjectStore, lease: Lease) {
    this.#store = store;
    this.#lease = lease;
  }

  static create(store: ObjectStore, lease: Lease): RentedEndpointWriter {
    return new RentedEndpointWriter(store, lease);
  }

  /** Forgets what was read, when another process may have written since. */
  forget(): void {
    this.#known.clear();
  }

  /** Makes a data centre's list hold these endpoints. */
  async write(
    zone: string,
    endpoints: readonly Endpoint[],
  ): Promise<Either<PlatformError, void>> {
    const known = this.#known.get(zone);
    const current = known === undefined
      ? await this.#read(zone)
      : Right<KnownList, PlatformError>(known);
    return current.caseOf<
      Either<PlatformError, void> | Promise<Either<PlatformError, void>>
    >({
      Left: (error) => Left(error),
      Right: (current) => this.#writeIfChanged(zone, { endpoints, current }),
    });
  }

  async #writeIfChanged(
    zone: string,
    { endpoints, current }: {
      readonly endpoints: readonly Endpoint[];
      readonly current: KnownList;
    },
  ): Promise<Either<PlatformError, void>> {
    const text = JSON.stringify(endpoints);
    if (text === current.text) return Right(undefined);
    if (this.#lease.checkValid().isLeft()) return Right(undefined);
    const { version } = current;
    this.#known.delete(zone);
    const outcome = await this.#store.write(
      rentedPrefix + zone,
      encodeStoredValue({ endpoints }),
      version === 0 ? { kind: "absent" } : { kind: "version", version },
    );
    return outcome.map((outcome) => {
      if (outcome.kind === "conflict") return;
      this.#known.set(zone, { version: outcome.version, text });
    });
  }

  async #read(zone: string): Promise<Either<PlatformError, KnownList>> {
    const object = await this.#store.read(rentedPrefix + zone);
    return object.chain(decodeList).ifRight((known) =>
      this.#known.set(zone, known)
    );
  }
}

function decodeList(
  object: StoredObject | undefined,
): Either<PlatformError, KnownList> {
  if (object === undefined) return Right({ version: 0, text: "[]" });
  return decodeRentedEndpoints(object).map(({ endpoints }) => ({
    version: object.version,
    text: JSON.stringify(endpoints),
  }));
}

/** Endpoint of a rented instance, undefined until it has an address. */
export function createRentedEndpoint(
  instance: Instance,
): Endpoint | undefined {
  const { host, service, zone, machineClass, market, address } = instance;
  if (address === undefined || instance.state === "starting") return undefined;
  return {
    name: rentedNamePrefix + host,
    service,
    address,
    host,
    zone,
    machineClass,
    market,
    // The cloud API does not tell, so orders take the careful way.
    checksFencing: false,
  };
}

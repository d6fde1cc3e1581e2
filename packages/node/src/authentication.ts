/**
 * Authentication by bearer keys.
 *
 * The configuration holds only hashes of the teams' keys. The table from hash
 * to team is rebuilt when the configuration changes, so a request costs one
 * hash and one look-up.
 */

import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type {
  Configuration,
  ConfigurationSource,
  Team,
} from "@almondcrank/common/configuration.ts";
import { computeKeyHash } from "@almondcrank/common/hashing.ts";

const bearerPattern = /^Bearer +(\S+)$/i;

/** Reads the bearer key of a request; undefined when it has none. */
export function readBearerKey(request: IncomingMessage): string | undefined {
  return bearerPattern.exec(request.headers.authorization ?? "")?.[1];
}

/**
 * Whether a request carries `expected` as its bearer key; compares in constant
 * time.
 */
export function hasBearerKey(
  request: IncomingMessage,
  expected: string,
): boolean {
  const key = readBearerKey(request);
  if (key === undefined) return false;
  const sent = Buffer.from(computeKeyHash(key));
  return timingSafeEqual(sent, Buffer.from(computeKeyHash(expected)));
}

/** Teams of the configuration in force by the hash of their key. */
export class TeamDirectory {
  readonly #source: ConfigurationSource;
  #indexed: Configuration | undefined;
  #teams = new Map<string, Team>();

  private constructor(source: ConfigurationSource) {
    this.#source = source;
  }

  static create(source: ConfigurationSource): TeamDirectory {
    return new TeamDirectory(source);
  }

  /** The team whose key the request carries, if any. */
  find(request: IncomingMessage): Team | undefined {
    const key = readBearerKey(request);
    if (key === undefined) return undefined;
    return this.#readIndex().get(computeKeyHash(key));
  }

  #readIndex(): ReadonlyMap<string, Team> {
    const configuration = this.#source.current();
    if (configuration !== this.#indexed) {
      this.#indexed = configuration;
      this.#teams = new Map(
        configuration.teams.map((team) => [team.keyHash, team]),
      );
    }
    return this.#teams;
  }
}

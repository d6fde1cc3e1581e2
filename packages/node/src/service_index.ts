/**
 * Index from endpoint names to services.
 *
 * Membership looks up every endpoint of a data centre at once, so a scan of the
 * configuration for each would be quadratic in the number of endpoints.
 */

import type {
  Configuration,
  ConfigurationSource,
} from "@almondcrank/common/configuration.ts";

/**
 * Index of the configuration in force, rebuilt when the configuration changes.
 */
export class ServiceIndex {
  readonly #source: ConfigurationSource;
  #indexed: Configuration | undefined;
  #services: ReadonlyMap<string, string> = new Map();

  private constructor(source: ConfigurationSource) {
    this.#source = source;
  }

  static create(source: ConfigurationSource): ServiceIndex {
    return new ServiceIndex(source);
  }

  /**
   * Service of an endpoint; undefined when the configuration lacks the
   * endpoint.
   */
  find(endpoint: string): string | undefined {
    const configuration = this.#source.current();
    if (configuration !== this.#indexed) {
      this.#indexed = configuration;
      this.#services = new Map(
        configuration.endpoints.map(({ name, service }) => [name, service]),
      );
    }
    return this.#services.get(endpoint);
  }
}

/**
 * Service of each endpoint by its name.
 *
 * Summaries ask for every endpoint of a data centre at once, so a scan of the
 * configuration for each would cost the square of their number.
 */

import type {
  Configuration,
  ConfigurationSource,
} from "@almondcrank/common/configuration.ts";

/** Index of the configuration in force, made anew when that changes. */
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

  /** Service of an endpoint; undefined when it is not in force. */
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

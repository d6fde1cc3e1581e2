/**
 * Endpoints by service, indexed once per configuration.
 */

import type {
  Configuration,
  ConfigurationSource,
  Endpoint,
} from "@almondcrank/common/configuration.ts";

const noEndpoints: readonly Endpoint[] = [];

/** Index over the endpoints of the configuration in force. */
export class ServiceEndpoints {
  readonly #source: ConfigurationSource;
  #indexed: Configuration | undefined;
  #byService = new Map<string, Endpoint[]>();

  private constructor(source: ConfigurationSource) {
    this.#source = source;
  }

  static create(source: ConfigurationSource): ServiceEndpoints {
    return new ServiceEndpoints(source);
  }

  /** Lists the endpoints of a service; the same list until the next revision. */
  list(service: string): readonly Endpoint[] {
    const configuration = this.#source.current();
    if (configuration !== this.#indexed) this.#refresh(configuration);
    return this.#byService.get(service) ?? noEndpoints;
  }

  #refresh(configuration: Configuration): void {
    this.#indexed = configuration;
    this.#byService = new Map();
    for (const endpoint of configuration.endpoints) {
      const list = this.#byService.get(endpoint.service) ?? [];
      list.push(endpoint);
      this.#byService.set(endpoint.service, list);
    }
  }
}

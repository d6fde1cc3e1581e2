/**
 * Judges whether this node is cut off from all endpoints of a service.
 *
 * The load it answers: a node loses its links to every endpoint, while callers and
 * the other nodes still reach it, so that each request it keeps is refused or hangs.
 * One endpoint that is gone looks the same at its own requests only; so several have
 * to fail with no sign of life from any of them in between. While a node is cut off,
 * single requests try the endpoints again, so that it comes back soon.
 */

import { Emitter, type Event } from "@almondcrank/common/emitter.ts";

/** Endpoints that have to fail; fewer where a service has fewer. */
const minFailedEndpoints = 3;
/** Time without a sign of life after which a request's endpoint is silent. */
const silentMs = 800;
/** Time between requests that try the endpoints of a service cut off. */
const tryIntervalMs = 500;
/** Time after which failures without newer ones are forgotten. */
const forgetMs = 10_000;

/** A request that waits for its endpoint. */
interface Waiting {
  readonly endpoint: string;
  readonly sentAt: number;
}

/** What is known of the way to one service. */
class ServiceState {
  /** Time of the failed connection to each endpoint since the last sign of life. */
  readonly unreached = new Map<string, number>();
  readonly waiting = new Set<Waiting>();
  heardAt = -Infinity;
  triedAt = -Infinity;
  isCut = false;
}

/** Reach of one node. Times are monotonic, in milliseconds. */
export class ServiceReach {
  readonly #services = new Map<string, ServiceState>();
  readonly #countEndpoints: (service: string) => number;
  readonly #cut = Emitter.create<string>();

  private constructor(countEndpoints: (service: string) => number) {
    this.#countEndpoints = countEndpoints;
  }

  /** @param countEndpoints Number of endpoints of a service that may be used. */
  static create(countEndpoints: (service: string) => number): ServiceReach {
    return new ServiceReach(countEndpoints);
  }

  /** Fired with the name of a service that this node has just been cut off from. */
  readonly onCut: Event<string> = this.#cut.event;

  /** Records a sign of life of an endpoint: a connection, an answer, or output. */
  recordHeard(service: string, now: number): void {
    const state = this.#find(service);
    state.heardAt = now;
    state.unreached.clear();
  }

  /** Records that no connection to an endpoint could be established. */
  recordUnreached(service: string, endpoint: string, now: number): void {
    this.#find(service).unreached.set(endpoint, now);
    this.isCut(service, now);
  }

  /** Records a request that waits for an answer; call the result when it ends. */
  openWait(service: string, endpoint: string, now: number): () => void {
    const { waiting } = this.#find(service);
    const entry = { endpoint, sentAt: now };
    waiting.add(entry);
    return () => void waiting.delete(entry);
  }

  /** Whether this node is cut off from all endpoints of a service. */
  isCut(service: string, now: number): boolean {
    const state = this.#services.get(service);
    if (state === undefined) return false;
    const wasCut = state.isCut;
    state.isCut = this.#judge(service, state, now);
    if (state.isCut && !wasCut) this.#cut.fire(service);
    return state.isCut;
  }

  /**
   * Whether a request should be sent to the endpoints: the service is reached, or
   * it is time to find out. A try that is granted counts as made.
   */
  mayTry(service: string, now: number): boolean {
    if (!this.isCut(service, now)) return true;
    const state = this.#find(service);
    if (now - state.triedAt < tryIntervalMs) return false;
    state.triedAt = now;
    return true;
  }

  /** Lists the services that this node is cut off from. */
  listCut(now: number): readonly string[] {
    return [...this.#services.keys()]
      .filter((service) => this.isCut(service, now));
  }

  #judge(service: string, state: ServiceState, now: number): boolean {
    const endpoints = this.#countEndpoints(service);
    if (endpoints === 0) return false;
    const needed = Math.min(minFailedEndpoints, endpoints);
    for (const [endpoint, at] of state.unreached) {
      if (now - at > forgetMs) state.unreached.delete(endpoint);
    }
    const failed = new Set(state.unreached.keys());
    if (now - state.heardAt >= silentMs) {
      for (const { endpoint, sentAt } of state.waiting) {
        if (now - sentAt >= silentMs) failed.add(endpoint);
      }
    }
    return failed.size >= needed;
  }

  #find(service: string): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = new ServiceState();
      this.#services.set(service, state);
    }
    return state;
  }
}

/**
 * Nodes that tell that they are cut off from services, so that no request is handed
 * to them. Any node passes on what it was told, with its age; what is not told anew
 * expires, and a node that is not listed is taken to reach all services.
 */

/** Time for which a node is left out after it told that it is cut off. */
const expiryMs = 2_500;
/** Nodes kept of each service; a node that is not kept is asked in vain at times. */
const maxNodes = 512;
/** Nodes told in one report; the next report goes on with the others. */
const maxTold = 64;

/** Node, service, and the time since it told so, in milliseconds. */
export type ToldCut = readonly [string, string, number];

/** What one node knows. Times are monotonic, in milliseconds. */
export class CutNodes {
  /** Time at which each node told so, by service. */
  readonly #services = new Map<string, Map<string, number>>();
  #firstTold = 0;

  static create(): CutNodes {
    return new CutNodes();
  }

  /** Records that a node is cut off from a service. */
  record(node: string, service: string, at: number): void {
    let nodes = this.#services.get(service);
    if (nodes === undefined) {
      nodes = new Map();
      this.#services.set(service, nodes);
    }
    const known = nodes.get(node);
    if (known === undefined && nodes.size >= maxNodes) return;
    nodes.set(node, Math.max(at, known ?? -Infinity));
  }

  isCut(node: string, service: string, now: number): boolean {
    const at = this.#services.get(service)?.get(node) ?? -Infinity;
    return now - at <= expiryMs;
  }

  /** Lists what to tell others. */
  list(now: number): readonly ToldCut[] {
    this.#forgetOld(now);
    const entries = [...this.#services].flatMap(([service, nodes]) =>
      [...nodes].map(([node, at]): ToldCut => [
        node,
        service,
        Math.round(now - at),
      ])
    );
    const first = this.#firstTold % Math.max(1, entries.length);
    this.#firstTold = first + maxTold;
    return [...entries.slice(first), ...entries.slice(0, first)]
      .slice(0, maxTold);
  }

  /** Applies what a peer told. */
  learn(told: readonly ToldCut[], now: number): void {
    for (const [node, service, ageMs] of told.slice(0, maxTold)) {
      if (ageMs <= expiryMs) this.record(node, service, now - ageMs);
    }
  }

  #forgetOld(now: number): void {
    for (const [service, nodes] of this.#services) {
      for (const [node, at] of nodes) {
        if (now - at > expiryMs) nodes.delete(node);
      }
      if (nodes.size === 0) this.#services.delete(service);
    }
  }
}

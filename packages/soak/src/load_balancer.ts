/**
 * Stand-in of the platform's load balancer: polls the nodes' readiness and assigns
 * new connections to ready nodes.
 */

import { get } from "node:http";

/** A node behind the load balancer. */
export interface BalancedNode {
  readonly name: string;
  /** Address that callers connect to. */
  readonly address: string;
  /** Address that answers `/readyz`. */
  readonly readinessAddress: string;
}

const pollIntervalMs = 100;
const pollTimeoutMs = 300;

/** Load balancer of a fixed set of nodes. */
export class LoadBalancer {
  readonly #nodes: readonly BalancedNode[];
  readonly #ready = new Set<BalancedNode>();
  readonly #timer: NodeJS.Timeout;

  private constructor(nodes: readonly BalancedNode[]) {
    this.#nodes = nodes;
    for (const node of nodes) this.#ready.add(node);
    this.#timer = setInterval(() => void this.#pollAll(), pollIntervalMs);
  }

  static create(nodes: readonly BalancedNode[]): LoadBalancer {
    return new LoadBalancer(nodes);
  }

  /**
   * Chooses the node for a new connection: the one with the caller's index, or the
   * next ready one. If none is ready, the caller's own.
   */
  choose(caller: number): BalancedNode | undefined {
    const count = this.#nodes.length;
    for (let step = 0; step < count; step += 1) {
      const node = this.#nodes[(caller + step) % count];
      if (node !== undefined && this.#ready.has(node)) return node;
    }
    return this.#nodes[caller % count];
  }

  /** Stops polling. */
  dispose(): void {
    clearInterval(this.#timer);
  }

  async #pollAll(): Promise<void> {
    await Promise.all(this.#nodes.map(async (node) => {
      if (await checkReady(node.readinessAddress)) this.#ready.add(node);
      else this.#ready.delete(node);
    }));
  }
}

function checkReady(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const request = get(
      `http://${address}/readyz`,
      { agent: false, timeout: pollTimeoutMs },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(false));
  });
}

/**
 * The platform's load balancer, as far as callers notice it: asks the nodes again
 * and again whether they are ready, and gives new connections to those that are.
 */

import { get } from "node:http";

/** A node behind the balancer. */
export interface BalancedNode {
  readonly name: string;
  /** Address that callers connect to. */
  readonly address: string;
  readonly readinessAddress: string;
}

const askEveryMs = 100;
const askTimeoutMs = 300;

/** One balancer. */
export class LoadBalancer {
  readonly #nodes: readonly BalancedNode[];
  readonly #ready = new Set<BalancedNode>();
  readonly #timer: NodeJS.Timeout;

  private constructor(nodes: readonly BalancedNode[]) {
    this.#nodes = nodes;
    for (const node of nodes) this.#ready.add(node);
    this.#timer = setInterval(() => void this.#askAll(), askEveryMs);
  }

  static create(nodes: readonly BalancedNode[]): LoadBalancer {
    return new LoadBalancer(nodes);
  }

  /** Node for a new connection: the caller's own, or the next that is ready. */
  choose(caller: number): BalancedNode | undefined {
    const count = this.#nodes.length;
    for (let step = 0; step < count; step += 1) {
      const node = this.#nodes[(caller + step) % count];
      if (node !== undefined && this.#ready.has(node)) return node;
    }
    return this.#nodes[caller % count];
  }

  dispose(): void {
    clearInterval(this.#timer);
  }

  async #askAll(): Promise<void> {
    await Promise.all(this.#nodes.map(async (node) => {
      if (await askReady(node.readinessAddress)) this.#ready.add(node);
      else this.#ready.delete(node);
    }));
  }
}

function askReady(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const asked = get(
      `http://${address}/readyz`,
      { agent: false, timeout: askTimeoutMs },
      (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      },
    );
    asked.on("timeout", () => asked.destroy());
    asked.on("error", () => resolve(false));
  });
}

/**
 * The quarantine of one node: parts of prompts that crash replicas, with what its
 * peers tell of them.
 */

import { computeRendezvousOrder } from "@almondcrank/common/hashing.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { ClusterMembership } from "@almondcrank/membership/cluster_membership.ts";
import { isFingerprint } from "@almondcrank/routing/quarantine/request_fingerprint.ts";
import {
  PartQuarantine,
  type QuarantineChange,
} from "@almondcrank/routing/quarantine/part_quarantine.ts";
import type { NodeServices } from "./node_services.ts";

/** Options of the quarantine of a node. */
export interface NodeQuarantineOptions extends NodeServices {
  readonly membership: ClusterMembership;
}

/** Quarantine of one node, kept up to date with its peers. */
export class NodeQuarantine implements Disposable {
  readonly quarantine: PartQuarantine;
  readonly #options: NodeQuarantineOptions;
  readonly #disposables = DisposableStore.create();

  private constructor(options: NodeQuarantineOptions) {
    const { membership, clock } = options;
    this.#options = options;
    this.quarantine = PartQuarantine.create({
      isProber: (part) => this.isProber(part),
    });
    this.#disposables.register(
      this.quarantine.onChanged((change) => this.#reportChange(change)),
    );
    this.#disposables.register(
      membership.onParts((parts) => this.quarantine.learn(parts, clock.now())),
    );
    membership.setPartList(() => this.quarantine.listTold(clock.now()));
  }

  static create(options: NodeQuarantineOptions): NodeQuarantine {
    return new NodeQuarantine(options);
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  /** Whether this node comes first for a part among those that take work. */
  isProber(part: string): boolean {
    const { membership, hasher } = this.#options;
    const [first] = computeRendezvousOrder(
      hasher,
      part,
      membership.listAlive(),
    );
    return first === membership.self.node;
  }

  #reportChange({ kind, part, crashes }: QuarantineChange): void {
    const { metrics, log } = this.#options;
    const subject = isFingerprint(part) ? "call" : "message";
    metrics.count("quarantine_changes_total", { change: kind });
    metrics.setGauge("quarantine_parts", this.quarantine.size);
    if (kind === "entered") {
      log.warn(`endpoints crash on a ${subject}; it is refused.`, {
        part,
        crashes,
      });
    } else log.info(`a ${subject} is out of quarantine.`, { part });
  }
}

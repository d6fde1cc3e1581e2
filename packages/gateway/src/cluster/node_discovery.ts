/**
 * Node discovery through the platform's store.
 *
 * A node that hears from a seed learns of all others from it. Only a node that
 * hears from nobody reads the addresses in the store, and only the first nodes by
 * name keep theirs there, so that calls do not grow with the number of nodes.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type {
  ObjectStore,
  WriteCondition,
  WriteOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import type { GatewaySettings } from "@almondcrank/model/gateway_settings.ts";
import type { MemberTable } from "./member_table.ts";

const nodesPrefix = "nodes";
const retryMs = 500;
/** Time in which a seed that runs answers. */
const seedAnswerMs = 700;
/** Time after which nodes that started together know each other. */
const settledMs = 4_000;
/** Interval at which a node checks whether it should be in the store. */
const checkMs = 10_000;
/** Nodes whose addresses are kept in the store. */
const storedNodes = 24;
/** Age up to which a restored store may lack a written address. */
const restoreLossMs = 60_000;

/** Dependencies of node discovery. */
export interface NodeDiscoveryOptions {
  readonly settings: GatewaySettings;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly members: MemberTable;
  readonly log: Log;
}

/** Discovery of the peers of one node. */
export class NodeDiscovery implements Disposable {
  readonly #options: NodeDiscoveryOptions;
  readonly #stopped = new AbortController();
  #registeredAt = -Infinity;
  #registeredEra = 0;
  #condition: WriteCondition = { kind: "absent" };

  private constructor(options: NodeDiscoveryOptions) {
    this.#options = options;
  }

  /** Creates it and starts the first read. */
  static create(options: NodeDiscoveryOptions): NodeDiscovery {
    const directory = new NodeDiscovery(options);
    void directory.#run();
    return directory;
  }

  dispose(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopped;
    await clock.sleep(seedAnswerMs, signal);
    if (this.#isAlone()) await this.#repeat(() => this.#readAll());
    await clock.sleep(settledMs - seedAnswerMs, signal);
    while (!signal.aborted) {
      if (this.#isAlone()) await this.#repeat(() => this.#readAll());
      if (this.#isRegistrationDue()) {
        await this.#repeat(() => this.#register());
      }
      await clock.sleep(checkMs, signal);
    }
  }

  /** Whether this node hears from no other one. */
  #isAlone(): boolean {
    const { members, clock } = this.#options;
    return members.listKnown(clock.now()).length === 0;
  }

  #isRegistrationDue(): boolean {
    const { members, clock, store } = this.#options;
    const now = clock.now();
    const isLost = store.era !== this.#registeredEra &&
      now - this.#registeredAt < restoreLossMs;
    const isRegistered = this.#registeredAt !== -Infinity && !isLost;
    return !isRegistered && members.readRank(now, false) < storedNodes;
  }

  async #repeat(step: () => Promise<boolean>): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      if (await step()) return;
      await this.#options.clock.sleep(retryMs, signal);
    }
  }

  async #readAll(): Promise<boolean> {
    const { store, members, clock, settings } = this.#options;
    const list = await store.list(nodesPrefix);
    return list.caseOf({
      Left: () => false,
      Right: ({ objects }) => {
        for (const { value } of objects) {
          const ip = readIp(value);
          if (ip === undefined || ip === settings.ip) continue;
          members.addAddress(ip, clock.now());
        }
        return true;
      },
    });
  }

  /** Stores this node's address; false to try again. */
  async #register(): Promise<boolean> {
    const { store, settings, log } = this.#options;
    const key = `${nodesPrefix}/${settings.nodeName}`;
    const value = { ip: settings.ip, zone: settings.zone };
    const written = await store.write(key, value, this.#condition);
    return written.caseOf({
      Left: (error) => {
        log.warn("this node's address could not be stored, trying again.", {
          reason: error.message,
        });
        return false;
      },
      Right: (outcome) => this.#handleOutcome(outcome),
    });
  }

  #handleOutcome(outcome: WriteOutcome): boolean {
    const { settings, clock, store } = this.#options;
    switch (outcome.kind) {
      case "conflict": {
        const { current } = outcome;
        if (readIp(current?.value) === settings.ip) break;
        this.#condition = current === undefined
          ? { kind: "absent" }
          : { kind: "version", version: current.version };
        return false;
      }
      case "written":
        break;
    }
    this.#registeredAt = clock.now();
    this.#registeredEra = store.era;
    return true;
  }
}

function readIp(value: unknown): string | undefined {
  const isObject = typeof value === "object" && value !== null;
  if (!isObject || !("ip" in value)) return undefined;
  return typeof value.ip === "string" ? value.ip : undefined;
}

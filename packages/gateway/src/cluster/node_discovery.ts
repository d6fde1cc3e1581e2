/**
 * Lets nodes find each other through the platform's store.
 *
 * A node writes its address once and reads the others' once; from then on they
 * hear each other directly, and a node that starts later makes itself known.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import type { GatewaySettings } from "@almondcrank/model/gateway_settings.ts";
import type { MemberTable } from "./member_table.ts";

const nodesPrefix = "nodes";
const retryMs = 500;
/** Time that seeds and datagrams get before the store is asked. */
const firstWaitMs = 100;
/** Time after which the list is read once more, for nodes that started late. */
const secondReadMs = 4_000;

/** What a directory needs. */
export interface NodeDiscoveryOptions {
  readonly settings: GatewaySettings;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly members: MemberTable;
  readonly log: Log;
}

/** Entry of one node. */
export class NodeDiscovery implements Disposable {
  readonly #options: NodeDiscoveryOptions;
  readonly #stopped = new AbortController();

  private constructor(options: NodeDiscoveryOptions) {
    this.#options = options;
  }

  /** Starts at once. */
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
    await clock.sleep(firstWaitMs, signal);
    await this.#repeat(() => this.#readAll());
    await this.#repeat(() => this.#register());
    await clock.sleep(secondReadMs, signal);
    await this.#repeat(() => this.#readAll());
  }

  async #repeat(step: () => Promise<boolean>): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      if (await step()) return;
      await this.#options.clock.sleep(retryMs, signal);
    }
  }

  #isRegistered = false;

  async #readAll(): Promise<boolean> {
    const { store, members, clock, settings } = this.#options;
    const list = await store.list(nodesPrefix);
    return list.caseOf({
      Left: () => false,
      Right: ({ objects }) => {
        for (const { key, value } of objects) {
          const ip = readIp(value);
          if (ip === undefined) continue;
          const isOwn = key === `${nodesPrefix}/${settings.nodeName}`;
          if (isOwn && ip === settings.ip) this.#isRegistered = true;
          else if (ip !== settings.ip) members.addAddress(ip, clock.now());
        }
        return true;
      },
    });
  }

  async #register(): Promise<boolean> {
    if (this.#isRegistered) return true;
    const { store, settings, log } = this.#options;
    const key = `${nodesPrefix}/${settings.nodeName}`;
    const value = { ip: settings.ip, zone: settings.zone };
    const read = await store.read(key);
    if (read.isLeft()) return false;
    const present = read.unsafeCoerce();
    const written = await store.write(
      key,
      value,
      present === undefined
        ? { kind: "absent" }
        : { kind: "version", version: present.version },
    );
    return written.caseOf({
      Left: (error) => {
        log.warn("this node's address was not stored.", {
          reason: error.message,
        });
        return false;
      },
      Right: ({ kind }) => kind === "written",
    });
  }
}

function readIp(value: unknown): string | undefined {
  const isObject = typeof value === "object" && value !== null;
  if (!isObject || !("ip" in value)) return undefined;
  return typeof value.ip === "string" ? value.ip : undefined;
}

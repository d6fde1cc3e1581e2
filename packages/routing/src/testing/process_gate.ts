/**
 * Gate that blocks the calls of one process in tests while it is frozen or dead.
 */

import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";

/** Blocks the calls of a process while it is frozen or dead. */
export class Gate {
  static create(): Gate {
    return new Gate();
  }

  state: "open" | "frozen" | "dead" = "open";
  #waiting: (() => void)[] = [];

  async waitOpen(): Promise<void> {
    while (this.state !== "open") {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
  }

  set(state: "open" | "frozen" | "dead"): void {
    this.state = state;
    if (state !== "open") return;
    for (const resolve of this.#waiting.splice(0)) resolve();
  }
}

/** Wraps the object API so that its calls block while the process is frozen. */
export function createGatedStore(store: ObjectStore, gate: Gate): ObjectStore {
  const callGated = async <T>(call: () => Promise<T>): Promise<T> => {
    await gate.waitOpen();
    const result = await call();
    await gate.waitOpen();
    return result;
  };
  return {
    get era() {
      return store.era;
    },
    read: (key) => callGated(() => store.read(key)),
    list: (prefix) => callGated(() => store.list(prefix)),
    write: (key, value, condition) =>
      callGated(() => store.write(key, value, condition)),
    remove: (key, version) => callGated(() => store.remove(key, version)),
    watch: (prefix, since, waitMs) => store.watch(prefix, since, waitMs),
  };
}

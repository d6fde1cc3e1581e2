/**
 * Recent configuration changes, for peers that are a few revisions behind.
 */

import type { Configuration } from "@almondcrank/common/configuration.ts";
import {
  applyDelta,
  type ConfigurationDelta,
  countDeltaItems,
} from "./configuration_delta.ts";
import type { ConfigurationAnswer } from "./configuration_messages.ts";

const maxDeltas = 256;
const maxItems = 20_000;
/** Beyond this many changed items, the whole configuration is sent. */
const maxAnswerItems = 2_000;

/** Deltas that lead to the current revision, oldest first. */
export class ConfigurationHistory {
  readonly #deltas: ConfigurationDelta[] = [];
  #items = 0;

  static create(): ConfigurationHistory {
    return new ConfigurationHistory();
  }

  /** Adds the latest change. */
  add(delta: ConfigurationDelta): void {
    const last = this.#deltas.at(-1);
    if (last !== undefined && last.revision !== delta.base) this.#clear();
    this.#deltas.push(delta);
    this.#items += countDeltaItems(delta);
    while (this.#deltas.length > maxDeltas || this.#items > maxItems) {
      const oldest = this.#deltas.shift();
      if (oldest === undefined) break;
      this.#items -= countDeltaItems(oldest);
    }
  }

  /** Creates the answer that brings a peer from `since` to `current`. */
  createAnswer(since: number, current: Configuration): ConfigurationAnswer {
    if (since >= current.revision) {
      return { kind: "current", revision: current.revision };
    }
    const first = this.#deltas.findIndex(({ base }) => base === since);
    if (first < 0) return { kind: "whole", configuration: current };
    const deltas = this.#deltas.slice(first);
    let items = 0;
    for (const delta of deltas) items += countDeltaItems(delta);
    return items > maxAnswerItems
      ? { kind: "whole", configuration: current }
      : { kind: "delta", deltas };
  }

  #clear(): void {
    this.#deltas.length = 0;
    this.#items = 0;
  }
}

/** Applies a peer's answer; undefined for no change or another base. */
export function applyAnswer(
  base: Configuration,
  answer: ConfigurationAnswer,
): Configuration | undefined {
  switch (answer.kind) {
    case "current":
      return undefined;
    case "whole":
      return answer.configuration;
    case "delta": {
      let next: Configuration | undefined = base;
      for (const delta of answer.deltas) {
        next = next && applyDelta(next, delta);
      }
      return next;
    }
  }
}

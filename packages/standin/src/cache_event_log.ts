/**
 * Cache events as an engine publishes them: delayed, with gaps, and only the
 * latest.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type {
  CacheEvent,
  CacheEventBatch,
} from "@almondcrank/endpoint/engine.ts";
import type { CacheChange } from "./prefix_cache.ts";

const keptEvents = 4_096;
const maxBatchEvents = 1_024;

/** Delay of cache events in milliseconds, and the share that is lost. */
export interface CacheEventFaults {
  readonly cacheEventLagMs: number;
  readonly cacheEventLoss: number;
}

interface TimedEvent {
  readonly at: number;
  readonly event: CacheEvent;
}

/** Bounded log of cache events. */
export class CacheEventLog {
  readonly #clock: Clock;
  readonly #random: Random;
  #events: TimedEvent[] = [];
  #sequence = 0;

  private constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  static create(clock: Clock, random: Random): CacheEventLog {
    return new CacheEventLog(clock, random);
  }

  /** Records a cache change; a lost event still uses up a sequence number. */
  record(change: CacheChange, faults: CacheEventFaults): void {
    this.#add("evicted", change.evicted, faults);
    this.#add("stored", change.stored, faults);
  }

  /** Reads the published events after sequence number `since`. */
  read(since: number, faults: CacheEventFaults): CacheEventBatch {
    const visibleUntil = this.#clock.now() - faults.cacheEventLagMs;
    const events: CacheEvent[] = [];
    for (const { at, event } of this.#events) {
      if (at > visibleUntil || events.length === maxBatchEvents) break;
      if (event.sequence > since) events.push(event);
    }
    return { sequence: events.at(-1)?.sequence ?? since, events };
  }

  #add(
    kind: CacheEvent["kind"],
    blocks: readonly number[],
    { cacheEventLoss }: CacheEventFaults,
  ): void {
    if (blocks.length === 0) return;
    const sequence = ++this.#sequence;
    if (cacheEventLoss > 0 && this.#random.next() < cacheEventLoss) return;
    this.#events.push({
      at: this.#clock.now(),
      event: { sequence, kind, blocks },
    });
    // Trims in batches to keep the amortized cost of an event constant.
    if (this.#events.length > 2 * keptEvents) {
      this.#events = this.#events.slice(-keptEvents);
    }
  }
}

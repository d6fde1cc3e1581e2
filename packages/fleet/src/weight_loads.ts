/**
 * Shares the weight store's rate among engines that wait for weights.
 *
 * The rate is split evenly among the loads under way, so many loads at once make
 * all of them late. Few run at a time, and those of services with the smallest
 * part of their engines ready go first, small weights before large ones.
 */

/** An engine that waits for weights. */
export interface WaitingLoad {
  readonly endpoint: string;
  readonly service: string;
  readonly bytes: number;
}

/** Engines of a service that are in their desired state, of all it has. */
export interface ServiceReadiness {
  readonly ready: number;
  readonly all: number;
}

/** What the choice depends on. */
export interface LoadChoiceInput {
  readonly waiting: readonly WaitingLoad[];
  readonly readiness: ReadonlyMap<string, ServiceReadiness>;
  /** Loads that may start now. */
  readonly slots: number;
}

/** Chooses the endpoints whose loads start now, the most needed first. */
export function chooseLoads(choice: LoadChoiceInput): string[] {
  const started = new Map<string, number>();
  const waiting = [...choice.waiting];
  const chosen: string[] = [];
  while (chosen.length < choice.slots && waiting.length > 0) {
    const need = (load: WaitingLoad): number =>
      computeReadyShare(choice.readiness, load, started);
    let first = 0;
    waiting.forEach((load, i) => {
      const best = waiting[first];
      if (best === undefined) return;
      const difference = need(load) - need(best) || load.bytes - best.bytes;
      if (difference < 0) first = i;
    });
    const [load] = waiting.splice(first, 1);
    if (load === undefined) break;
    started.set(load.service, (started.get(load.service) ?? 0) + 1);
    chosen.push(load.endpoint);
  }
  return chosen;
}

/** Share of a service's engines that are ready or about to load. */
function computeReadyShare(
  readiness: ReadonlyMap<string, ServiceReadiness>,
  { service }: WaitingLoad,
  started: ReadonlyMap<string, number>,
): number {
  const { ready, all } = readiness.get(service) ?? { ready: 0, all: 1 };
  return (ready + (started.get(service) ?? 0)) / Math.max(1, all);
}

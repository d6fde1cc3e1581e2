/**
 * Chooses which engines load weights next.
 *
 * The weight store splits its bandwidth evenly among concurrent loads, so many
 * at once make all of them late. Only a few run at a time. Services with the
 * smallest share of ready engines go first; among equal shares, small weights go
 * before large ones.
 */

/** An engine that waits for weights. */
export interface WaitingLoad {
  readonly endpoint: string;
  readonly service: string;
  readonly bytes: number;
}

/** Number of engines, and how many of them are in their desired state. */
export interface ServiceReadiness {
  readonly ready: number;
  readonly all: number;
}

/** Input of `chooseLoads`. */
export interface LoadChoiceInput {
  readonly waiting: readonly WaitingLoad[];
  /** Readiness by name of the service. */
  readonly readiness: ReadonlyMap<string, ServiceReadiness>;
  /** Loads that may start now. */
  readonly slots: number;
}

/** Chooses the endpoints whose loads start now, in order of priority. */
export function chooseLoads(choice: LoadChoiceInput): string[] {
  const started = new Map<string, number>();
  const waiting = [...choice.waiting];
  const chosen: string[] = [];
  while (chosen.length < choice.slots && waiting.length > 0) {
    const readyShare = (load: WaitingLoad): number =>
      computeReadyShare(choice.readiness, load, started);
    let nextIndex = 0;
    waiting.forEach((load, i) => {
      const best = waiting[nextIndex];
      if (best === undefined) return;
      const difference = readyShare(load) - readyShare(best) ||
        load.bytes - best.bytes;
      if (difference < 0) nextIndex = i;
    });
    const [load] = waiting.splice(nextIndex, 1);
    if (load === undefined) break;
    started.set(load.service, (started.get(load.service) ?? 0) + 1);
    chosen.push(load.endpoint);
  }
  return chosen;
}

/**
 * Computes the share of a service's engines that are ready or chosen to load.
 */
function computeReadyShare(
  readiness: ReadonlyMap<string, ServiceReadiness>,
  { service }: WaitingLoad,
  started: ReadonlyMap<string, number>,
): number {
  const { ready, all } = readiness.get(service) ?? { ready: 0, all: 1 };
  return (ready + (started.get(service) ?? 0)) / Math.max(1, all);
}

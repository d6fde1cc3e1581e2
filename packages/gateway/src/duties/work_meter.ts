/**
 * Measures how much engine time the requests of each service need.
 *
 * Reading a prompt and making output tokens are weighed by the time they take an
 * engine that is moderately busy. The sum over a window, divided by it, is the
 * number of replicas that would be busy all the time. Nodes tell each other their
 * sums, so each knows the work of all.
 */

import { promptTokensPerMs } from "../choice/engine_choice.ts";
import { SlidingCount } from "../limits/sliding_count.ts";

/** Engine time of one output token at a moderate batch. */
const outputTokenMs = 0.25;
/** Window over which work is averaged. */
const windowMs = 4_000;
/** Least span over which the first work is averaged. */
const minSpanMs = 1_000;

interface ServiceWork {
  readonly recent: SlidingCount;
  ownMs: number;
  /** Time of the first work. */
  firstAt: number | undefined;
}

/** Work of all services. */
export class WorkMeter {
  readonly #services = new Map<string, ServiceWork>();

  static create(): WorkMeter {
    return new WorkMeter();
  }

  /** Records tokens that a replica has to read or has made. */
  record(
    service: string,
    tokens: { readonly prompt: number; readonly output: number },
    now: number,
  ): void {
    const ms = tokens.prompt / promptTokensPerMs +
      tokens.output * outputTokenMs;
    const work = this.#find(service);
    work.ownMs += ms;
    this.#add(work, ms, now);
  }

  /** Counts work that a peer reports since its last report. */
  applyPeer(service: string, ms: number, now: number): void {
    if (ms > 0) this.#add(this.#find(service), ms, now);
  }

  /** Replicas that the present work would keep busy. */
  computeBusyReplicas(service: string, now: number): number {
    const { recent, firstAt } = this.#find(service);
    if (firstAt === undefined) return 0;
    const spanMs = Math.max(minSpanMs, Math.min(windowMs, now - firstAt));
    return recent.read(now) / spanMs;
  }

  /** Own sums since the start, for the peers. */
  list(): readonly (readonly [string, number, number])[] {
    return [...this.#services].map((
      [service, work],
    ) => [service, Math.round(work.ownMs), 0]);
  }

  #add(work: ServiceWork, ms: number, now: number): void {
    work.firstAt ??= now;
    work.recent.add(ms, now);
  }

  #find(service: string): ServiceWork {
    let work = this.#services.get(service);
    if (work === undefined) {
      const recent = SlidingCount.create(windowMs);
      work = { recent, ownMs: 0, firstAt: undefined };
      this.#services.set(service, work);
    }
    return work;
  }
}

/**
 * When refused requests are told to return, and which of them keep that time.
 *
 * The load that this answers: many requests refused in one moment that all return
 * in another one. Each gets a time of its own, one start after the other, the more
 * urgent first. A request that returns at its time goes before newcomers of its
 * urgency; one that comes earlier is a newcomer, so that nothing is gained by it.
 * Requests get a new id with each attempt, so they are known by what they ask.
 */

/** Shortest time after which to return. */
const minRetryMs = 150;
/** Longest time after which to return, as a share of the time left. */
const maxRetryShare = 1 / 3;
/** Time by which a request may be early, for clocks and rounding. */
const earlyMs = 20;
/** Time for which a request may be late for its appointment. */
const lateMs = 3_000;
/** Largest number of requests that are remembered. */
const maxRemembered = 2_000;

/** A request that is refused. */
export interface RefusedRequest {
  /** What identifies it in its next attempt; undefined if nothing does. */
  readonly key: string | undefined;
  /** Urgency as one number; 0 is the highest. */
  readonly rank: number;
  /** Time until a place is expected. */
  readonly placeInMs: number;
  /** Time left until its caller gives up. */
  readonly timeLeftMs: number;
}

/** Appointments of one service at one node. Times are monotonic, in milliseconds. */
export class Appointments {
  /** Time from which requests of a rank may return, by rank. */
  readonly #nextAt = new Map<number, number>();
  readonly #remembered = new Map<string, number>();

  static create(): Appointments {
    return new Appointments();
  }

  /**
   * Gives a refused request the time after which to return, in milliseconds.
   *
   * @param startMs Usual time between two starts.
   */
  book(request: RefusedRequest, startMs: number, now: number): number {
    const { rank, key, placeInMs, timeLeftMs } = request;
    const earliest = now + Math.max(minRetryMs, placeInMs);
    let at = earliest;
    for (const [other, nextAt] of this.#nextAt) {
      if (other <= rank) at = Math.max(at, nextAt);
    }
    const latest = now + Math.max(minRetryMs, timeLeftMs * maxRetryShare);
    if (at > latest) at = latest;
    else this.#nextAt.set(rank, at + startMs);
    if (key !== undefined) this.#remember(key, at);
    return at - now;
  }

  /** Whether a request returns at the time that it was given; forgets that time. */
  takeReturn(key: string | undefined, now: number): boolean {
    if (key === undefined) return false;
    const at = this.#remembered.get(key);
    if (at === undefined) return false;
    this.#remembered.delete(key);
    return now >= at - earlyMs && now <= at + lateMs;
  }

  #remember(key: string, at: number): void {
    this.#remembered.delete(key);
    const [oldest] = this.#remembered.keys();
    if (this.#remembered.size >= maxRemembered && oldest !== undefined) {
      this.#remembered.delete(oldest);
    }
    this.#remembered.set(key, at);
  }
}

/**
 * Remembers which service and software version began each recent stream.
 *
 * A caller that lost its connection comes back at any node, and its stream may go
 * on only at the version that began it. Each node remembers the streams that it
 * began, and those that peers told it. While all replicas of a service have one
 * version nothing needs to be told, so what is due waits until there is another.
 */

/** Service and software version that began a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly version: string;
}

/** What a node found out about the origin of a stream. */
export type FoundOrigin =
  | { readonly kind: "known"; readonly origin: StreamOrigin }
  /** Neither this node nor a peer that answered knows it. */
  | { readonly kind: "unknown" }
  /** Peers were asked, and none of them answered. */
  | { readonly kind: "unheard" };

/** Knows the origins of the streams of all nodes. */
export interface StreamOriginDirectory {
  /** Records a stream of this node whose first event here has arrived. */
  begin(id: string, origin: StreamOrigin): void;
  /** Forgets a stream of this node that is complete. */
  complete(id: string): void;
  /**
   * Finds the origin of a stream by the id of its first request.
   *
   * @param isLikely Whether others may well know it. Otherwise the peers that
   *     would know are asked once, in case this node is out of step.
   */
  find(id: string, isLikely: boolean): Promise<FoundOrigin>;
  /** Whether what nodes wrote down before this node's start has been read. */
  readonly hasReadStored: boolean;
}

/** Time for which an origin is remembered, in milliseconds. */
const keepMs = 600_000;
/** Largest number of remembered origins; the oldest are dropped first. */
const maxEntries = 20_000;

interface Entry {
  readonly origin: StreamOrigin;
  readonly expiresAt: number;
}

/** Origins of the streams that one node knows, by the id of their first request. */
export class StreamOrigins {
  /** In order of expiry. */
  readonly #entries = new Map<string, Entry>();
  /** Ids of this node's streams that peers were not told of. */
  readonly #due = new Set<string>();

  static create(): StreamOrigins {
    return new StreamOrigins();
  }

  /** Number of remembered origins. */
  get size(): number {
    return this.#entries.size;
  }

  /** Records a stream of this node whose first event here has arrived. */
  begin(id: string, origin: StreamOrigin, now: number): void {
    this.learn(id, origin, now);
    this.#due.add(id);
  }

  /** Forgets a stream of this node that is complete: nobody comes back for it. */
  complete(id: string): void {
    this.#entries.delete(id);
    this.#due.delete(id);
  }

  /** Records a stream of a peer. */
  learn(id: string, origin: StreamOrigin, now: number): void {
    this.#entries.delete(id);
    this.#entries.set(id, { origin, expiresAt: now + keepMs });
    for (const [oldest, { expiresAt }] of this.#entries) {
      if (this.#entries.size <= maxEntries && expiresAt > now) return;
      this.complete(oldest);
    }
  }

  /** Finds the origin of a stream; `undefined` if this node does not know it. */
  find(id: string, now: number): StreamOrigin | undefined {
    const entry = this.#entries.get(id);
    return entry === undefined || entry.expiresAt <= now
      ? undefined
      : entry.origin;
  }

  /**
   * Takes the streams that peers have to be told of now.
   *
   * @param isMixed Whether replicas of a service have several versions.
   */
  takeDue(
    isMixed: (service: string) => boolean,
  ): ReadonlyMap<string, StreamOrigin> {
    const taken = new Map<string, StreamOrigin>();
    for (const id of this.#due) {
      const origin = this.#entries.get(id)?.origin;
      if (origin !== undefined && !isMixed(origin.service)) continue;
      this.#due.delete(id);
      if (origin !== undefined) taken.set(id, origin);
    }
    return taken;
  }
}

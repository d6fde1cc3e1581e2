/**
 * How current a node's view is of those that it shares allowances with.
 */

/** Names of the peers that may be running, and of those this node hears from. */
export interface PeerVisibility {
  readonly known: readonly string[];
  readonly heard: readonly string[];
  /** Number of reports that this node sends until every peer has received one. */
  readonly reportsPerRound: number;
  /** Interval between the reports of a node, in milliseconds. */
  readonly reportMs?: number;
}

/** Interval between the reports of a node in a large zone. */
const longReportMs = 400;
/** Time that the reports of a round take beyond their intervals. */
const roundSlackMs = 300;
/** Time without reports beyond which what was heard last says nothing. */
const maxUnheardMs = 4_000;

/** Contact of one node. Times are monotonic, in milliseconds. */
export class PeerContact {
  #peers: PeerVisibility = { known: [], heard: [], reportsPerRound: 1 };
  #peersKey = "|";
  #heardAt = -Infinity;

  static create(): PeerContact {
    return new PeerContact();
  }

  /** Peers that may be running. */
  get known(): readonly string[] {
    return this.#peers.known;
  }

  /** Those of them of which this node hears what they admit. */
  get heard(): readonly string[] {
    return this.#peers.heard;
  }

  /** Whether each peer reports to all others. */
  get isMesh(): boolean {
    return this.#peers.reportsPerRound <= 1;
  }

  /** Time of the last report of any peer. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Longest time in which a report reaches all nodes. */
  get roundMs(): number {
    const { reportsPerRound, reportMs = longReportMs } = this.#peers;
    return reportsPerRound * reportMs + roundSlackMs;
  }

  /** Sets the peers; returns whether they changed. */
  set(peers: PeerVisibility): boolean {
    const { known, heard, reportsPerRound, reportMs } = peers;
    const peersKey = [known, heard, reportsPerRound, reportMs].join("|");
    if (peersKey === this.#peersKey) return false;
    this.#peersKey = peersKey;
    this.#peers = peers;
    return true;
  }

  /** Records that a report arrived, whatever it changes. */
  recordHeard(now: number): void {
    this.#heardAt = now;
  }

  /** Whether this node hears of all others in time. */
  isCurrent(now: number): boolean {
    return this.heard.length >= this.known.length &&
      this.computeLateMs(now) === 0;
  }

  /** Time of which this node has not heard what the others admitted. */
  computeUnheardMs(now: number): number {
    const sinceMs = Math.max(0, now - this.#heardAt);
    return Math.min(maxUnheardMs, sinceMs + this.roundMs);
  }

  /** Time for which reports are overdue. */
  computeLateMs(now: number): number {
    if (this.known.length === 0) return 0;
    const sinceMs = Math.min(maxUnheardMs, now - this.#heardAt);
    return Math.max(0, sinceMs - this.roundMs);
  }
}

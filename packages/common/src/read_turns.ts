/**
 * Decides which connections are read next, and how much of each, while more arrives
 * than the process can work off.
 *
 * One thread parses what all callers send. Read as it comes, the bytes of a few who
 * send without end, or in tiny chunks, would keep it from all others, from timers and
 * from peers. So each connection is read in small parts. The first one of a connection
 * that has cost little is read at once. The rest waits for a turn, the cheapest of the
 * last moments first, and a turn ends early enough for everything else. When too many
 * wait, the most expensive one is given up.
 */

import type { Clock } from "./clock.ts";
import { DecayingValue } from "./decaying_value.ts";

/** Time after which a turn lets everything else run, in milliseconds. */
const turnMs = 2;
/** Parts that are read at once between two turns. */
const partsAtOnce = 32;
/** Time in which what a connection has cost decays to 1/e, in milliseconds. */
const costDecayMs = 1_000;
/** Cost below which a connection is read before all that are above it. */
const cheapMs = 5;
/** Cost of a request beside that of its bytes: it is routed, answered and logged. */
const requestMs = 0.5;
/** Connections that may wait by default. */
const defaultMaxWaiting = 128;

/** What is left of a connection's bytes after a part was read. */
export type PartOutcome =
  | "more"
  | "none"
  /** Its reader takes no more at present. */
  | "paused";

/** A connection whose bytes are read in parts. */
export interface ReadSource {
  /** Reads the next part. */
  readPart(): PartOutcome;
  /** Gives up what waits; nothing is read any more. */
  giveUp(): void;
}

/** Options of `ReadTurns.create`. */
export interface ReadTurnsOptions {
  readonly clock: Clock;
  /** Connections that may wait; the most expensive one beyond is given up. */
  readonly maxWaiting?: number;
  /** Runs the next turn once everything else has run. */
  readonly schedule?: (run: () => void) => void;
}

/** What is known of one connection. */
export class ReadTurn {
  readonly #turns: ReadTurns;
  readonly #cost = DecayingValue.create(costDecayMs);
  #group: DecayingValue;

  /** Called by `ReadTurns.open`. */
  constructor(turns: ReadTurns, group: DecayingValue) {
    this.#turns = turns;
    this.#group = group;
  }

  /** Whether a part may be read now, before any turn. */
  takeAtOnce(): boolean {
    return this.#turns.takeAtOnce(this);
  }

  /** Waits for a turn. */
  wait(source: ReadSource): void {
    this.#turns.wait(this, source);
  }

  /** Waits for a turn to be asked for more, holding nothing, as that is dropped. */
  waitToDrop(source: ReadSource): void {
    this.#turns.waitToDrop(this, source);
  }

  /** Holds bytes that its reader doesn't take; `wait` ends that. */
  pause(source: ReadSource): void {
    this.#turns.pause(this, source);
  }

  /** Waits no longer. */
  leave(): void {
    this.#turns.leave(this);
  }

  /** Runs the work on a part and counts its time. */
  run(work: () => void): void {
    const { clock } = this.#turns;
    const startedAt = clock.now();
    work();
    const endedAt = clock.now();
    this.#charge(endedAt - startedAt, endedAt);
  }

  /** Counts a request that the connection has brought. */
  recordRequest(): void {
    this.#charge(requestMs, this.#turns.clock.now());
  }

  /** Counts further costs to those of a tenant, too. */
  joinGroup(name: string): void {
    this.#group = this.#turns.findGroup(name);
  }

  /** Whether the connection has cost little lately. */
  isCheap(now = this.#turns.clock.now()): boolean {
    return this.#cost.read(now) < cheapMs;
  }

  /**
   * Whether the connection goes behind another one: its group has cost more lately,
   * or the same group's other connection less.
   */
  isBehind(other: ReadTurn, now: number): boolean {
    return this.#group === other.#group
      ? this.#cost.read(now) > other.#cost.read(now)
      : this.#group.read(now) > other.#group.read(now);
  }

  #charge(ms: number, now: number): void {
    this.#cost.add(ms, now);
    this.#group.add(ms, now);
  }
}

/** Turns of all connections of one process. */
export class ReadTurns {
  readonly clock: Clock;
  readonly #maxWaiting: number;
  readonly #schedule: (run: () => void) => void;
  readonly #waiting = new Map<ReadTurn, ReadSource>();
  /** Those that wait and hold nothing. */
  readonly #dropping = new Set<ReadTurn>();
  /** Connections that hold bytes which their readers don't take at present. */
  readonly #paused = new Map<ReadTurn, ReadSource>();
  readonly #groups = new Map<string, DecayingValue>();
  #readAtOnce = 0;
  #isScheduled = false;
  #givenUp = 0;

  private constructor({ clock, maxWaiting, schedule }: ReadTurnsOptions) {
    this.clock = clock;
    this.#maxWaiting = maxWaiting ?? defaultMaxWaiting;
    this.#schedule = schedule ?? setImmediate;
  }

  static create(options: ReadTurnsOptions): ReadTurns {
    return new ReadTurns(options);
  }

  /** Number of connections that hold bytes which were not read. */
  get waiting(): number {
    return this.#waiting.size - this.#dropping.size + this.#paused.size;
  }

  /** Number of connections that were given up. */
  get givenUp(): number {
    return this.#givenUp;
  }

  /** Begins with a connection of a listener. */
  open(listener: string): ReadTurn {
    return new ReadTurn(this, this.findGroup(listener));
  }

  /** What all connections of one group cost together. */
  findGroup(name: string): DecayingValue {
    const known = this.#groups.get(name);
    if (known !== undefined) return known;
    const created = DecayingValue.create(costDecayMs);
    this.#groups.set(name, created);
    return created;
  }

  takeAtOnce(turn: ReadTurn): boolean {
    if (this.#readAtOnce >= partsAtOnce || !turn.isCheap(this.clock.now())) {
      return false;
    }
    this.#readAtOnce += 1;
    this.#scheduleTurn();
    return true;
  }

  wait(turn: ReadTurn, source: ReadSource): void {
    this.#paused.delete(turn);
    this.#dropping.delete(turn);
    this.#waiting.set(turn, source);
    this.#scheduleTurn();
    if (this.waiting > this.#maxWaiting) this.#giveUpLast();
  }

  waitToDrop(turn: ReadTurn, source: ReadSource): void {
    this.#paused.delete(turn);
    this.#waiting.set(turn, source);
    this.#dropping.add(turn);
    this.#scheduleTurn();
  }

  /** Holds bytes that wait until `wait` is called. */
  pause(turn: ReadTurn, source: ReadSource): void {
    this.leave(turn);
    this.#paused.set(turn, source);
    if (this.waiting > this.#maxWaiting) this.#giveUpLast();
  }

  leave(turn: ReadTurn): void {
    this.#waiting.delete(turn);
    this.#dropping.delete(turn);
    this.#paused.delete(turn);
  }

  #scheduleTurn(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#schedule(() => this.#runTurn());
  }

  #runTurn(): void {
    this.#isScheduled = false;
    this.#readAtOnce = 0;
    const endsAt = this.clock.now() + turnMs;
    while (this.#waiting.size > 0) {
      this.#readNext();
      if (this.clock.now() >= endsAt) break;
    }
    if (this.#waiting.size > 0) this.#scheduleTurn();
  }

  #readNext(): void {
    const turn = this.#findNext();
    const source = turn && this.#waiting.get(turn);
    if (turn === undefined || source === undefined) return;
    // Those of equal cost come in the order in which they began to wait.
    this.leave(turn);
    switch (source.readPart()) {
      case "more":
        this.#waiting.set(turn, source);
        break;
      case "paused":
        this.#paused.set(turn, source);
        break;
      case "none":
        break;
    }
  }

  /** Finds who is read next: cheap ones in order, then by cost. */
  #findNext(): ReadTurn | undefined {
    const now = this.clock.now();
    let next: ReadTurn | undefined;
    for (const turn of this.#waiting.keys()) {
      if (turn.isCheap(now)) return turn;
      if (next === undefined || next.isBehind(turn, now)) next = turn;
    }
    return next;
  }

  #giveUpLast(): void {
    const now = this.clock.now();
    let last: readonly [ReadTurn, ReadSource] | undefined;
    for (const entry of [...this.#waiting, ...this.#paused]) {
      if (this.#dropping.has(entry[0])) continue;
      if (last === undefined || !last[0].isBehind(entry[0], now)) last = entry;
    }
    if (last === undefined) return;
    const [turn, source] = last;
    this.leave(turn);
    this.#givenUp += 1;
    source.giveUp();
  }
}

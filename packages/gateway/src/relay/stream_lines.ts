/**
 * Lines of streams that wait at this node for a place, one for each service whose
 * replicas are engines with slots.
 *
 * The load that this answers: streams of several urgencies that come faster than
 * replicas take them. A stream for which there is room starts at once, unless a more
 * urgent one waits. Otherwise it waits if a place is expected in time, or is refused
 * with a time to return. A stream starts in the same turn of the event loop in which
 * its place is found, so two never take the same place at one node. What was held
 * back by a frozen process is refused when it wakes.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import { Appointments } from "@almondcrank/routing/admission/appointments.ts";
import type { RoomRefusal } from "@almondcrank/routing/admission/room_verdict.ts";
import type { Waiter } from "@almondcrank/routing/admission/urgency_order.ts";
import { WaitingLine } from "@almondcrank/routing/admission/waiting_line.ts";

/** Largest number of streams that wait for one service at one node. */
const maxLineLength = 32;
/** Interval in which waiting streams look for a place. */
const checkMs = 40;
/** Number of streams that look for a place each time. */
const maxChecked = 4;
/** Number of ranks of one tenant priority. */
const ranksPerTenant = 10;

/** What a stream finds when it looks for a place. */
export type PlaceCheck<T> =
  | { readonly kind: "free"; readonly place: T; readonly replica: string }
  | {
    readonly kind: "taken";
    readonly placeInMs: number;
    readonly replica: string;
  }
  /** No replica is left. */
  | { readonly kind: "none" };

/** A stream that has not been sent. */
export interface LineStream<T, S> extends Waiter {
  /** Identifies it in its caller's next attempt; undefined if nothing does. */
  readonly key: string | undefined;
  readonly deadline: number;
  readonly callerSignal: AbortSignal;
  /** Looks for a place now. */
  readonly check: () => PlaceCheck<T>;
  /** Takes a place and sends the stream, without waiting. */
  readonly start: (place: T) => S;
}

/** How a stream gets past the line. */
export type LineEnd<S> =
  | { readonly kind: "started"; readonly started: S; readonly waitedMs: number }
  | {
    readonly kind: "refused";
    readonly reason: RoomRefusal;
    readonly retryAfterMs: number;
    readonly waitedMs: number;
    /** Number of streams that waited. */
    readonly lineLength: number;
  }
  | { readonly kind: "none" }
  | { readonly kind: "gone"; readonly waitedMs: number };

/** Dependencies of the lines. */
export interface StreamLinesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
}

interface Entry extends Waiter {
  readonly stream: LineStream<unknown, unknown>;
  readonly end: (end: LineEnd<unknown>) => void;
}

interface Line {
  readonly waiting: WaitingLine<Entry>;
  readonly appointments: Appointments;
  isRunning: boolean;
}

/** Lines of one node. */
export class StreamLines {
  readonly #options: StreamLinesOptions;
  readonly #lines = new Map<string, Line>();

  private constructor(options: StreamLinesOptions) {
    this.#options = options;
  }

  static create(options: StreamLinesOptions): StreamLines {
    return new StreamLines(options);
  }

  /** Number of streams that wait for a service. */
  countWaiting(service: string): number {
    return this.#lines.get(service)?.waiting.length ?? 0;
  }

  /** Whether a stream returns at the time it was given; forgets that time. */
  takeReturn(service: string, key: string | undefined): boolean {
    const { clock } = this.#options;
    return this.#findLine(service).appointments.takeReturn(key, clock.now());
  }

  /** Starts a stream, now or when it has a place, or refuses it. */
  enter<T, S>(
    service: string,
    stream: LineStream<T, S>,
  ): Promise<LineEnd<S>> {
    return new Promise((resolve) => {
      const entry = createEntry(
        stream as LineStream<unknown, unknown>,
        resolve as (end: LineEnd<unknown>) => void,
      );
      this.#admit(service, entry);
    });
  }

  #admit(service: string, entry: Entry): void {
    const now = this.#options.clock.now();
    const line = this.#findLine(service);
    this.#refuseLate(line, now);
    const check = entry.stream.check();
    if (check.kind === "none") return entry.end({ kind: "none" });
    const isFree = check.kind === "free" && !line.waiting.hasMoreUrgent(entry);
    if (isFree) return this.#start(line, entry, check.place);
    const placeInMs = check.kind === "free" ? 0 : check.placeInMs;
    const verdict = line.waiting.offer(entry, placeInMs, now);
    if (verdict.kind === "refused") {
      return this.#refuse(line, entry, verdict.reason);
    }
    const leave = (): void => this.#leave(line, entry);
    entry.stream.callerSignal.addEventListener("abort", leave, { once: true });
    for (const other of verdict.displaced) {
      this.#refuse(line, other, "displaced");
    }
    // Its place may be another one than the more urgent ones wait for.
    if (check.kind === "free") this.#startWaiting(line);
    void this.#run(service, line);
  }

  /** Lets waiting streams look for a place until none waits. */
  async #run(service: string, line: Line): Promise<void> {
    if (line.isRunning) return;
    line.isRunning = true;
    const { clock, metrics } = this.#options;
    try {
      while (line.waiting.length > 0) {
        this.#startWaiting(line);
        metrics.setGauge("line_length", line.waiting.length, { service });
        await clock.sleep(checkMs);
      }
    } finally {
      line.isRunning = false;
      metrics.setGauge("line_length", 0, { service });
    }
  }

  /** Starts those that find a place that no more urgent one waits for. */
  #startWaiting(line: Line): void {
    this.#refuseLate(line, this.#options.clock.now());
    const awaited = new Set<string>();
    for (const entry of line.waiting.list().slice(0, maxChecked)) {
      const check = entry.stream.check();
      switch (check.kind) {
        case "none":
          line.waiting.remove(entry);
          entry.end({ kind: "none" });
          break;
        case "taken":
          awaited.add(check.replica);
          line.waiting.recordForecast(entry, check.placeInMs);
          break;
        case "free":
          if (awaited.has(check.replica)) break;
          line.waiting.remove(entry);
          this.#start(line, entry, check.place);
          break;
      }
    }
  }

  #start(line: Line, entry: Entry, place: unknown): void {
    const now = this.#options.clock.now();
    line.waiting.recordStart(entry, now);
    const started = entry.stream.start(place);
    const waitedMs = now - entry.enteredAt;
    this.#recordEnd(entry, "started");
    entry.end({ kind: "started", started, waitedMs });
  }

  #refuseLate(line: Line, now: number): void {
    for (const entry of line.waiting.takeLate(now)) {
      this.#refuse(line, entry, "no_place_in_time");
    }
  }

  #refuse(line: Line, entry: Entry, reason: RoomRefusal): void {
    const now = this.#options.clock.now();
    const { stream } = entry;
    const retryAfterMs = line.appointments.book(
      {
        key: stream.key,
        rank: entry.tenantPriority * ranksPerTenant + entry.routePriority,
        placeInMs: line.waiting.startMs * (line.waiting.length + 1),
        timeLeftMs: stream.deadline - now,
      },
      line.waiting.startMs,
      now,
    );
    this.#recordEnd(entry, reason);
    entry.end({
      kind: "refused",
      reason,
      retryAfterMs,
      waitedMs: now - entry.enteredAt,
      lineLength: line.waiting.length,
    });
  }

  #leave(line: Line, entry: Entry): void {
    if (!line.waiting.remove(entry)) return;
    this.#recordEnd(entry, "caller_gone");
    const waitedMs = this.#options.clock.now() - entry.enteredAt;
    entry.end({ kind: "gone", waitedMs });
  }

  #recordEnd({ enteredAt, routePriority, tenant }: Entry, end: string): void {
    const { clock, metrics } = this.#options;
    const waitedMs = clock.now() - enteredAt;
    const priority = String(routePriority);
    metrics.count("line_ends_total", { end, tenant, priority });
    metrics.recordDuration("line_wait_seconds", waitedMs, { priority });
  }

  #findLine(service: string): Line {
    const known = this.#lines.get(service);
    if (known !== undefined) return known;
    const line = {
      waiting: WaitingLine.create<Entry>(maxLineLength),
      appointments: Appointments.create(),
      isRunning: false,
    };
    this.#lines.set(service, line);
    return line;
  }
}

function createEntry(
  stream: LineStream<unknown, unknown>,
  end: (end: LineEnd<unknown>) => void,
): Entry {
  return {
    tenantPriority: stream.tenantPriority,
    routePriority: stream.routePriority,
    tenant: stream.tenant,
    isReturning: stream.isReturning,
    tokens: stream.tokens,
    enteredAt: stream.enteredAt,
    latestStartAt: stream.latestStartAt,
    stream,
    end,
  };
}

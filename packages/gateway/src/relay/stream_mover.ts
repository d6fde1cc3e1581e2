/**
 * Moves running streams off replicas that are leaving.
 *
 * Most streams finish within the notice period, so moves begin near its end. A
 * run that has not started is not moved: it either starts later or is retried
 * elsewhere when its replica ends.
 */

import type { Disposable } from "@almondcrank/common/disposables.ts";
import {
  formatMove,
  formatMovedRun,
  parseMove,
} from "@almondcrank/platform/kv_move.ts";
import { chooseEngine } from "../choice/engine_choice.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import { computeTimerMs } from "./timer_ms.ts";
import type { RelayServices } from "./relay_services.ts";
import type {
  MoveEnd,
  RunningStream,
  StreamRegistry,
} from "./stream_registry.ts";

/** Time before a replica leaves at which its streams are moved. */
const moveMarginMs = 800;
/**
 * Time that a stream waits for the answer to its move if it may be resumed: the
 * run has stopped, and after this a new one is sooner there.
 */
const moveTimeoutMs = 700;
/**
 * The same for a stream that only the moved run can continue. Copies wait for each
 * other, so that of many runs the last one is answered seconds later.
 */
const onlyMoveTimeoutMs = 4_000;
const retryPauseMs = 150;

/** Moves the streams of one node. */
export class StreamMover implements Disposable {
  readonly #services: RelayServices;
  readonly #registry: StreamRegistry;
  readonly #subscription: Disposable;
  readonly #timers = new Set<NodeJS.Timeout>();

  private constructor(services: RelayServices, registry: StreamRegistry) {
    this.#services = services;
    this.#registry = registry;
    this.#subscription = services.table.onLeaving((state) =>
      this.#scheduleMoves(state)
    );
  }

  static create(
    services: RelayServices,
    registry: StreamRegistry,
  ): StreamMover {
    return new StreamMover(services, registry);
  }

  dispose(): void {
    this.#subscription.dispose();
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
  }

  #scheduleMoves(state: ReplicaState): void {
    const leavesAt = state.leavesAt ?? 0;
    const waitMs = leavesAt - moveMarginMs - this.#services.clock.now();
    this.#runLater(waitMs, () => this.#moveAll(state, leavesAt));
  }

  #runLater(waitMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, Math.max(0, waitMs));
    this.#timers.add(timer);
  }

  /** Moves all started streams; repeats for streams that start later. */
  #moveAll(state: ReplicaState, leavesAt: number): void {
    const { clock } = this.#services;
    if (state.leavesAt === undefined) return;
    const streams = this.#registry.list(state.key);
    for (const stream of streams) {
      if (stream.hasStarted && !stream.isMoving) this.#move(state, stream);
    }
    const mayRepeat = streams.length > 0 && clock.now() < leavesAt;
    if (mayRepeat) {
      this.#runLater(retryPauseMs, () => this.#moveAll(state, leavesAt));
    }
  }

  #move(source: ReplicaState, stream: RunningStream): void {
    const { request } = stream;
    const { id: requestId } = request;
    // A replica that asked for a pause gets no control calls either.
    if (source.isPaused(this.#services.clock.now())) return;
    if (requestId === undefined || !request.service.engine?.canMove) return;
    const destination = this.#chooseDestination(source, stream);
    if (destination === undefined) return;
    destination.limit.charge(this.#services.clock.now());
    stream.setMove(this.#runMove({ source, destination, stream }, requestId));
  }

  #chooseDestination(
    source: ReplicaState,
    { request }: RunningStream,
  ): ReplicaState | undefined {
    const { table, clock, random, gate } = this.#services;
    const { service, promptTokens } = request;
    if (service.engine === undefined) return undefined;
    const { softwareVersion } = source.replica;
    const states = table.listUsable(service.name, softwareVersion);
    const [allowed = []] = gate.listAllowed(service.name, states, {
      version: softwareVersion,
      draw: request.versionDraw,
    });
    return chooseEngine(allowed, {
      service: service.name,
      parts: [],
      promptTokens,
      zone: source.replica.zone,
      traits: service.engine,
      now: clock.now(),
      excluded: new Set([source.key]),
      draw: random.next(),
    }, this.#services)?.state;
  }

  /** Time for which the answer to a stream's move is of use. */
  #computeTimeoutMs({ route, deadline }: RunningStream["request"]): number {
    const waitMs = route.isResumable ? moveTimeoutMs : onlyMoveTimeoutMs;
    const leftMs = computeTimerMs(deadline - this.#services.clock.now());
    return Math.min(waitMs, leftMs);
  }

  async #runMove(
    { source, destination, stream }: Move,
    requestId: string,
  ): Promise<MoveEnd> {
    const { sender, metrics } = this.#services;
    const response = await sender.callControl(
      source,
      formatMove(requestId, destination.replica.address),
      { timeoutMs: this.#computeTimeoutMs(stream.request) },
    );
    const outcome = response === undefined
      ? { kind: "failed" as const, reason: "no answer" }
      : parseMove(response.statusCode, response.text);
    metrics.count("stream_moves_total", { outcome: outcome.kind });
    stream.request.trace.record(
      "stream move ended.",
      {
        source: source.replica.id,
        destination: destination.replica.id,
        outcome: outcome.kind,
      },
    );
    switch (outcome.kind) {
      case "moved":
        return composeMoved(source, destination, outcome.handle);
      case "stopped":
        source.limit.charge(this.#services.clock.now());
        return composeMoved(source, source, outcome.handle);
      case "not_running":
        return { kind: "not_moved" };
      // The call stops the run first, and copies and answers later.
      case "busy":
      case "failed":
        return { kind: "unknown" };
    }
  }
}

function composeMoved(
  source: ReplicaState,
  { key: replicaKey }: ReplicaState,
  handle: string,
): MoveEnd {
  const movedRun = formatMovedRun(source.replica.address, handle);
  return { kind: "moved", target: { replicaKey, movedRun } };
}

interface Move {
  readonly source: ReplicaState;
  readonly destination: ReplicaState;
  readonly stream: RunningStream;
}

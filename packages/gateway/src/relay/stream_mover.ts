/**
 * Moves running streams off replicas that leave.
 *
 * Most streams finish within the notice, so moves begin late in it. A run that
 * has not started yet is left alone: it either starts or is sent elsewhere when
 * its replica ends.
 */

import type { Disposable } from "@almondcrank/common/disposables.ts";
import {
  formatMove,
  formatMovedRun,
  parseMove,
} from "@almondcrank/platform/kv_move.ts";
import { chooseEngine } from "../choice/engine_choice.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { RelayServices } from "./relay_services.ts";
import type {
  MoveTarget,
  RunningStream,
  StreamRegistry,
} from "./stream_registry.ts";

/** Time before a replica's end at which its streams are moved. */
const moveMarginMs = 800;
const moveTimeoutMs = 700;
const retryPauseMs = 150;

/** Mover of one node. */
export class StreamMover implements Disposable {
  readonly #services: RelayServices;
  readonly #registry: StreamRegistry;
  readonly #subscription: Disposable;
  readonly #timers = new Set<NodeJS.Timeout>();

  private constructor(services: RelayServices, registry: StreamRegistry) {
    this.#services = services;
    this.#registry = registry;
    this.#subscription = services.table.onLeaving((state) =>
      this.#schedule(state)
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

  #schedule(state: ReplicaState): void {
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

  /** Moves what has started, and looks again for what starts late. */
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
    if (requestId === undefined || !request.service.engine?.canMove) return;
    const destination = this.#chooseDestination(source, stream);
    if (destination === undefined) return;
    stream.setMove(this.#runMove({ source, destination, stream }, requestId));
  }

  #chooseDestination(
    source: ReplicaState,
    { request }: RunningStream,
  ): ReplicaState | undefined {
    const { table, clock } = this.#services;
    const { service, promptTokens } = request;
    if (service.engine === undefined) return undefined;
    return chooseEngine(table.listUsable(service.name), {
      parts: [],
      promptTokens,
      zone: source.replica.zone,
      traits: service.engine,
      now: clock.now(),
      excluded: new Set([source.key]),
    }, this.#services)?.state;
  }

  async #runMove(
    { source, destination, stream }: Move,
    requestId: string,
  ): Promise<MoveTarget | undefined> {
    const { sender, metrics } = this.#services;
    const answer = await sender.callControl(
      source,
      formatMove(requestId, destination.replica.address),
      moveTimeoutMs,
    );
    const outcome = answer === undefined
      ? { kind: "failed" as const, reason: "no answer" }
      : parseMove(answer.status, answer.text);
    metrics.count("stream_moves_total", { outcome: outcome.kind });
    stream.request.trace.record("stream moved off a leaving replica.", {
      source: source.replica.id,
      destination: destination.replica.id,
      outcome: outcome.kind,
    });
    switch (outcome.kind) {
      case "moved":
        return {
          replicaKey: destination.key,
          movedRun: formatMovedRun(source.replica.address, outcome.handle),
        };
      case "stopped":
        return {
          replicaKey: source.key,
          movedRun: formatMovedRun(source.replica.address, outcome.handle),
        };
      case "not_running":
      case "busy":
      case "failed":
        return undefined;
    }
  }
}

interface Move {
  readonly source: ReplicaState;
  readonly destination: ReplicaState;
  readonly stream: RunningStream;
}

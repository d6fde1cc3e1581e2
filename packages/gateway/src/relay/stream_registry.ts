/**
 * Registry of running streams, indexed by replica.
 */

import {
  createDisposable,
  type Disposable,
} from "@almondcrank/common/disposables.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Destination of a moved stream. */
export interface MoveTarget {
  readonly replicaKey: string;
  /** Source address and handle of the run's KV cache. */
  readonly movedRun: string;
}

/** How the move of a run ended. */
export type MoveEnd =
  /** The run has stopped and can go on at the target. */
  | { readonly kind: "moved"; readonly target: MoveTarget }
  /** The run goes on where it is. */
  | { readonly kind: "not_moved" }
  /** The run may have stopped where it was, and nothing says where to go on. */
  | { readonly kind: "unknown" };

/** A stream that can be moved to another replica. */
export interface RunningStream {
  readonly request: RoutedRequest;
  /** Whether its first event has arrived. */
  readonly hasStarted: boolean;
  /** Whether it is about to leave its current replica, so must not be moved. */
  readonly isMoving: boolean;
  /** Sets the pending move, which never rejects. */
  setMove(move: Promise<MoveEnd>): void;
}

/** Running streams of one node. */
export class StreamRegistry {
  readonly #streams = new Map<string, Set<RunningStream>>();

  static create(): StreamRegistry {
    return new StreamRegistry();
  }

  /** Adds a stream; disposing the result removes it. */
  add(replicaKey: string, stream: RunningStream): Disposable {
    let streams = this.#streams.get(replicaKey);
    if (streams === undefined) {
      streams = new Set();
      this.#streams.set(replicaKey, streams);
    }
    const added = streams;
    added.add(stream);
    return createDisposable(() => {
      added.delete(stream);
      if (added.size === 0) this.#streams.delete(replicaKey);
    });
  }

  list(replicaKey: string): readonly RunningStream[] {
    return [...this.#streams.get(replicaKey) ?? []];
  }
}

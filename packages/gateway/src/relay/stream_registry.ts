/**
 * Streams that run at present, by the replica that runs them.
 */

import {
  createDisposable,
  type Disposable,
} from "@almondcrank/common/disposables.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Where a stream goes on after a move. */
export interface MoveTarget {
  readonly replicaKey: string;
  /** Source and handle of the run's memory. */
  readonly movedRun: string;
}

/** A stream that can follow a move. */
export interface RunningStream {
  readonly request: RoutedRequest;
  /** Whether its first event has arrived. */
  readonly hasStarted: boolean;
  /** Whether a move was asked for on its present replica. */
  readonly isMoving: boolean;
  setMove(move: Promise<MoveTarget | undefined>): void;
}

/** Streams by replica. */
export class StreamRegistry {
  readonly #streams = new Map<string, Set<RunningStream>>();

  static create(): StreamRegistry {
    return new StreamRegistry();
  }

  /** Adds a stream until the result is disposed. */
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

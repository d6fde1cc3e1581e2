/**
 * Asks the nodes that may own a stream, until one of them does.
 *
 * A peer that does not answer may still own the stream, so it is asked again. One
 * that answers that it does not is asked again only if the stream may be on its
 * way to it.
 */

import type { Either } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { PeerFailure } from "./stream_peers.ts";

const initialBackoffMs = 50;
/** Passes over all candidate owners before the stream counts as lost. */
const maxRounds = 5;

/** Options of a search. */
export interface OwnerSearchOptions<T> {
  readonly clock: Clock;
  readonly signal: AbortSignal;
  /** Nodes that may own the stream now, the most likely first. */
  readonly owners: () => readonly string[];
  readonly ask: (node: string) => Promise<Either<PeerFailure, T>>;
  /** Whether the stream may be on its way to a node that does not know it yet. */
  readonly mayMove: boolean;
}

/** Answer of a stream's owner. */
export interface OwnerAnswer<T> {
  readonly node: string;
  readonly answer: T;
}

/** Finds the owner of a stream; undefined when the stream is lost. */
export async function askOwners<T>(
  options: OwnerSearchOptions<T>,
): Promise<OwnerAnswer<T> | undefined> {
  const { clock, signal, owners, ask, mayMove } = options;
  let backoffMs = initialBackoffMs;
  for (let round = 0; round < maxRounds; round++) {
    let asksAgain = mayMove;
    for (const node of new Set(owners())) {
      if (signal.aborted) return undefined;
      const result = await ask(node);
      if (result.isRight()) return { node, answer: result.extract() as T };
      result.ifLeft(({ kind }) => asksAgain ||= kind === "peer_unreachable");
    }
    if (!asksAgain) return undefined;
    await clock.sleep(backoffMs, signal);
    backoffMs *= 2;
  }
  return undefined;
}

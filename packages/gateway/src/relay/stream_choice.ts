/**
 * Chooses the replica of a stream's next leg, and whether to begin at all.
 */

import type { EngineTraits } from "@almondcrank/model/configuration.ts";
import { chooseEngine, type EngineChoice } from "../choice/engine_choice.ts";
import {
  checkAdmission,
  type StreamVerdict,
} from "../choice/stream_admission.ts";
import type { RelayServices } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { MoveTarget } from "./stream_registry.ts";

/** Traits of a service that streams without being a model engine. */
const plainTraits: EngineTraits = {
  slots: 1,
  cacheTokens: Infinity,
  tokensPerEvent: 1,
  canMove: false,
};
/** A moved run goes on without reading its prompt again. */
const movedFirstEventMs = 30;

/** What has become of a stream so far. */
export interface StreamProgress {
  /** Where a moved run goes on. */
  readonly target: MoveTarget | undefined;
  /** Incarnations that ran it or failed. */
  readonly tried: ReadonlySet<string>;
}

/** Chooses the next replica; `undefined` when there is none. */
export function chooseStreamReplica(
  services: RelayServices,
  { service, promptParts: parts, promptTokens }: RoutedRequest,
  { target, tried }: StreamProgress,
): EngineChoice | undefined {
  const { table, clock, zone } = services;
  const moved = target === undefined
    ? undefined
    : table.find(target.replicaKey);
  if (moved !== undefined) {
    return { state: moved, predictedMs: movedFirstEventMs, uncachedTokens: 0 };
  }
  return chooseEngine(table.listUsable(service.name), {
    parts,
    promptTokens,
    zone,
    traits: service.engine ?? plainTraits,
    now: clock.now(),
    excluded: tried,
  }, services);
}

/** Decides whether a stream that has not been sent yet is taken on. */
export function checkStreamAdmission(
  services: RelayServices,
  { route, deadline: endsAt }: RoutedRequest,
  choice: EngineChoice,
): StreamVerdict {
  return checkAdmission({
    priority: route.priority,
    objectiveMs: route.objectiveMs,
    timeLeftMs: endsAt - services.clock.now(),
    predictedMs: choice.predictedMs,
  });
}

/** Records a choice and what it went by. */
export function recordStreamChoice(
  { trace }: RoutedRequest,
  { state, predictedMs, uncachedTokens }: EngineChoice,
  lastId: number | undefined,
): void {
  const { active, pendingTokens } = state.totalLoad;
  trace.record("replica chosen.", {
    replica: state.replica.id,
    predictedMs: Math.round(predictedMs),
    uncachedTokens: Math.round(uncachedTokens),
    active,
    pendingTokens: Math.round(pendingTokens),
    slowness: Math.round(state.slowness * 100) / 100,
    after: lastId,
  });
}

/**
 * Chooses the replica for the next segment of a stream, and decides whether to
 * admit a stream.
 */

import type { EngineTraits } from "@almondcrank/model/configuration.ts";
import { chooseEngine, type EngineChoice } from "../choice/engine_choice.ts";
import {
  checkAdmission,
  type StreamVerdict,
} from "../choice/stream_admission.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import { computeEngineMs } from "../duties/work_meter.ts";
import type { FailureReason } from "./local_reply.ts";
import type { RelayServices } from "./relay_services.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { MoveTarget } from "./stream_registry.ts";

/** Traits assumed for a streaming service that is not a model engine. */
const nonEngineTraits: EngineTraits = {
  slots: 1,
  cacheTokens: Infinity,
  tokensPerEvent: 1,
  canMove: false,
};
/** Predicted time to the next event of a moved run, whose prompt is cached. */
const movedFirstEventMs = 30;

/** State of a stream that the choice depends on. */
export interface StreamProgress {
  /** Destination of a moved run. */
  readonly target: MoveTarget | undefined;
  /** Keys of incarnations that ran the stream or failed to. */
  readonly tried: ReadonlySet<string>;
  /** Software version that began the stream; undefined before its first event. */
  readonly version: string | undefined;
  /** Whether one of `tried` may be chosen if no other is left. */
  readonly mayReuse: boolean;
}

/** Chooses the next replica; `undefined` if none is usable. */
export function chooseStreamReplica(
  services: RelayServices,
  { service, promptParts, promptTokens, versionDraw }: RoutedRequest,
  { target, tried, version, mayReuse }: StreamProgress,
): EngineChoice | undefined {
  const { table, clock, zone, gate, random } = services;
  const destination = target === undefined
    ? undefined
    : table.find(target.replicaKey);
  if (destination !== undefined) {
    return {
      state: destination,
      predictedMs: movedFirstEventMs,
      usualMs: movedFirstEventMs,
      uncachedTokens: 0,
      work: { tokens: 0, active: destination.totalLoad.active },
      isQueued: false,
    };
  }
  const states = table.listUsable(service.name, version);
  const query = {
    service: service.name,
    parts: promptParts,
    promptTokens,
    zone,
    traits: service.engine ?? nonEngineTraits,
    now: clock.now(),
    // Chance keeps nodes apart that decide at the same time.
    draw: services.isSoleNode ? 0 : random.next(),
  };
  const allowed = gate.listAllowed(service.name, states, {
    version,
    draw: versionDraw,
  });
  const choose = (
    lists: readonly (readonly ReplicaState[])[],
    excluded: ReadonlySet<string>,
  ): EngineChoice | undefined => {
    let choice: EngineChoice | undefined;
    for (const list of lists) {
      choice ??= chooseEngine(list, { ...query, excluded }, services);
    }
    return choice;
  };
  const untried = choose(allowed, tried);
  if (untried !== undefined || version === undefined) return untried;
  const leaving = table.listDraining(service.name, { version, now: query.now })
    .filter((state) => gate.maySend(state));
  const draining = choose([leaving], tried);
  if (draining !== undefined || !mayReuse) return draining;
  // Few replicas of a version may be left: better one that failed than none.
  return choose(allowed, new Set());
}

/** Finds why no replica can be chosen for a stream of a version. */
export function findShortage(
  { table, clock }: RelayServices,
  { service }: RoutedRequest,
  version: string | undefined,
): FailureReason {
  if (table.isAtLimits(service.name, clock.now())) return "replica_limits";
  return version === undefined ? "no_replica" : "version_gone";
}

/**
 * Decides whether to admit a stream that has not been sent yet. The objective is
 * that of a first event, which a caller that comes back has had.
 */
export function checkStreamAdmission(
  services: RelayServices,
  { route, deadline, resumeAfter }: RoutedRequest,
  choice: EngineChoice,
): StreamVerdict {
  return checkAdmission({
    priority: route.priority,
    objectiveMs: resumeAfter === undefined ? route.objectiveMs : Infinity,
    timeLeftMs: deadline - services.clock.now(),
    predictedMs: choice.predictedMs,
  });
}

/** Records the engine time that a refused stream would have taken. */
export function recordRefusedWork(
  { work, clock, costs }: RelayServices,
  { service }: RoutedRequest,
  { state, uncachedTokens }: EngineChoice,
): void {
  const tokens = { prompt: uncachedTokens, output: 0 };
  const { softwareVersion } = state.replica;
  const key = { service: service.name, softwareVersion };
  const now = clock.now();
  const usual = costs.firstEvents.computeTokensPerMs(key, now);
  const ms = computeEngineMs(tokens, {
    slots: service.engine?.slots ?? Infinity,
    tokensPerMs: usual / state.speed.readLasting(now),
  });
  work.recordRefused(service.name, ms, now);
}

/** Records a choice and its inputs in the trace of the request. */
export function recordStreamChoice(
  { trace }: RoutedRequest,
  { state, predictedMs, usualMs, uncachedTokens, work }: EngineChoice,
  { after, now, copyAgeMs }: {
    /** Id of the last event that the caller has received. */
    readonly after: number | undefined;
    readonly now: number;
    /** How old the registrations may be; undefined if it is not known. */
    readonly copyAgeMs: number | undefined;
  },
): void {
  const { active, pendingTokens } = state.totalLoad;
  const statementAgeMs = state.work.computeStatementAgeMs(now);
  trace.record("replica chosen.", {
    replica: state.replica.id,
    version: state.replica.softwareVersion,
    predictedMs: Math.round(predictedMs),
    usualMs: Math.round(usualMs),
    uncachedTokens: Math.round(uncachedTokens),
    active,
    pendingTokens: Math.round(pendingTokens),
    expectedActive: Math.round(work.active * 10) / 10,
    expectedTokens: Math.round(work.tokens),
    slowness: roundShare(state.readSlowness(now)),
    lastingSlowness: roundShare(state.speed.readLasting(now)),
    statedSlowness: state.speed.readStated(now)?.slowness,
    statementAgeMs: statementAgeMs === undefined
      ? undefined
      : Math.round(statementAgeMs),
    after,
    copyAgeMs,
  });
}

function roundShare(share: number): number {
  return Math.round(share * 100) / 100;
}

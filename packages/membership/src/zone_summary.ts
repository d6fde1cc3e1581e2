/**
 * Summary of a data centre for the others: who is alive, and the load and
 * demand of all its endpoints and nodes added up.
 */

import type { EndpointLoad, TeamDemand } from "./membership.ts";
import type { ZoneSummary } from "./messages.ts";
import { decodeDemand } from "./origin_table.ts";

/** Load of one service in one data centre. */
export interface ServiceAggregate {
  readonly service: string;
  /** Endpoints that can be reached and are not leaving. */
  readonly reachable: number;
  readonly freeSlots: number;
  readonly queuedTokens: number;
}

/** What a node knows of another data centre. */
export interface ZoneAggregate {
  readonly zone: string;
  readonly services: readonly ServiceAggregate[];
  readonly demand: readonly TeamDemand[];
}

/** What a summary is computed from. */
export interface SummaryInput {
  readonly alive: readonly string[];
  readonly revision: number;
  readonly loads: readonly EndpointLoad[];
  readonly demand: readonly TeamDemand[];
  /** Service of an endpoint; undefined for endpoints that do not count. */
  readonly findService: (endpoint: string) => string | undefined;
}

/** Adds up loads by service and demand by team. */
export function computeSummary(
  sources: SummaryInput,
): Omit<ZoneSummary, "version"> {
  const services = addLoads(sources);
  const teams = addDemand(sources.demand);
  return {
    alive: [...sources.alive].sort(),
    revision: sources.revision,
    services: services.map(({ service }) => service),
    reachable: services.map(({ reachable }) => reachable),
    freeSlots: services.map(({ freeSlots }) => freeSlots),
    queuedTokens: services.map(({ queuedTokens }) => queuedTokens),
    teams: teams.map(({ team }) => team),
    requestsPerSecond: teams.map(({ requestsPerSecond }) =>
      Math.round(requestsPerSecond)
    ),
    tokensPerSecond: teams.map(({ tokensPerSecond }) =>
      Math.round(tokensPerSecond)
    ),
  };
}

/** Reads a summary as aggregates. */
export function createAggregate(
  zone: string,
  summary: ZoneSummary,
): ZoneAggregate {
  const services = summary.services.map((service, i) => ({
    service,
    reachable: summary.reachable[i] ?? 0,
    freeSlots: summary.freeSlots[i] ?? 0,
    queuedTokens: summary.queuedTokens[i] ?? 0,
  }));
  return { zone, services, demand: decodeDemand(summary) };
}

function addLoads(sources: SummaryInput): readonly ServiceAggregate[] {
  const totals = new Map<string, ServiceAggregate>();
  for (const load of sources.loads) {
    const service = sources.findService(load.endpoint);
    if (service === undefined || !load.reachable) continue;
    const total = totals.get(service) ??
      { service, reachable: 0, freeSlots: 0, queuedTokens: 0 };
    totals.set(service, {
      service,
      reachable: total.reachable + 1,
      freeSlots: total.freeSlots + Math.max(0, load.slots - load.running),
      queuedTokens: Math.round(total.queuedTokens + load.queuedTokens),
    });
  }
  return [...totals.values()].sort((a, b) => (a.service < b.service ? -1 : 1));
}

function addDemand(demand: readonly TeamDemand[]): readonly TeamDemand[] {
  const totals = new Map<string, TeamDemand>();
  for (const { team, requestsPerSecond, tokensPerSecond } of demand) {
    const total = totals.get(team);
    totals.set(team, {
      team,
      requestsPerSecond: requestsPerSecond + (total?.requestsPerSecond ?? 0),
      tokensPerSecond: tokensPerSecond + (total?.tokensPerSecond ?? 0),
    });
  }
  return [...totals.values()].sort((a, b) => (a.team < b.team ? -1 : 1));
}

/**
 * Summaries of a data centre for the others: its alive members, and the totals
 * of its endpoints' load and its nodes' demand.
 */

import type { EndpointLoad, TeamDemand } from "./membership.ts";
import type { ZoneSummary } from "./messages.ts";
import { decodeDemand } from "./origin_table.ts";

/** Total load of one service in one data centre. */
export interface ServiceAggregate {
  readonly service: string;
  /** Number of endpoints that can be reached and are not leaving. */
  readonly reachable: number;
  readonly freeSlots: number;
  readonly queuedTokens: number;
}

/** Load and demand of another data centre, decoded from its summary. */
export interface ZoneAggregate {
  readonly zone: string;
  readonly services: readonly ServiceAggregate[];
  readonly demand: readonly TeamDemand[];
}

/** Input of a summary. */
export interface SummaryInput {
  readonly alive: readonly string[];
  readonly revision: number;
  readonly loads: readonly EndpointLoad[];
  readonly demand: readonly TeamDemand[];
  /** Finds an endpoint's service; undefined for endpoints to leave out. */
  readonly findService: (endpoint: string) => string | undefined;
}

/** Sums loads by service and demand by team. */
export function computeSummary(
  input: SummaryInput,
): Omit<ZoneSummary, "version"> {
  const services = sumLoads(input);
  const teams = sumDemand(input.demand);
  return {
    alive: [...input.alive].sort(),
    revision: input.revision,
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

/** Decodes a summary. */
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

function sumLoads(input: SummaryInput): readonly ServiceAggregate[] {
  const totals = new Map<string, ServiceAggregate>();
  for (const load of input.loads) {
    const service = input.findService(load.endpoint);
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

function sumDemand(demand: readonly TeamDemand[]): readonly TeamDemand[] {
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

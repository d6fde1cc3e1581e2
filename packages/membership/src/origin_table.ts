/**
 * Heartbeats of processes with the loads and demand that each one publishes.
 *
 * Every process is the only writer of its own record and numbers its changes.
 * Records are passed on as they are, so a node needs to hear each of them from
 * one peer only.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { isNewerIncarnation } from "./incarnation.ts";
import {
  decodeLoads,
  encodeLoads,
  isMaterialChange,
  type VersionedLoad,
} from "./load_columns.ts";
import { encodeSeen, findSeenVersion } from "./seen_versions.ts";
import type { EndpointLoad, NodeIdentity, TeamDemand } from "./membership.ts";
import type { DemandColumns, OriginRecord, ZoneSummary } from "./messages.ts";

const loadRefreshMs = 5_000;
const loadExpiryMs = 20_000;
const demandRefreshHeartbeats = 5;
const staleAfterMs = 60_000;

interface Origin {
  readonly incarnation: string;
  version: number;
  heardAt: number;
  revision: number;
  readonly loads: Map<string, VersionedLoad>;
  demand: DemandColumns | undefined;
  summary: ZoneSummary | undefined;
}

/** Which parts of which records a peer wants. */
export interface OriginQuery {
  readonly seen: Readonly<Record<string, string>>;
  /** Whether loads and demand of a node are wanted. */
  readonly isWanted: (node: string) => boolean;
  /** The peer itself, whose record it does not need. */
  readonly requester: string;
}

/** Records by node, this node's own included. */
export class OriginTable {
  readonly #self: NodeIdentity;
  readonly #clock: Clock;
  readonly #own: Origin;
  readonly #origins = new Map<string, Origin>();
  /** What the next heartbeat publishes. */
  #loads: readonly EndpointLoad[] = [];
  #loadsSetAt = 0;
  #demand: readonly TeamDemand[] = [];
  #summary: Omit<ZoneSummary, "version"> | undefined;

  private constructor(self: NodeIdentity, clock: Clock) {
    this.#self = self;
    this.#clock = clock;
    this.#own = createOrigin(self.incarnation, clock.now());
    this.#origins.set(self.node, this.#own);
  }

  static create(self: NodeIdentity, clock: Clock): OriginTable {
    return new OriginTable(self, clock);
  }

  /** This node's own heartbeat. */
  get version(): number {
    return this.#own.version;
  }

  /** Publishes what was set since the last heartbeat. */
  recordOwnHeartbeat(revision: number): void {
    this.#own.version++;
    this.#own.heardAt = this.#clock.now();
    this.#own.revision = revision;
    this.#publishLoads(this.#own.version);
    this.#publishDemand(this.#own.version);
    if (this.#summary === undefined) return;
    this.#own.summary = { ...this.#summary, version: this.#own.version };
    this.#summary = undefined;
  }

  /** Sets the loads this node publishes from its next heartbeat on. */
  setOwnLoads(loads: readonly EndpointLoad[]): void {
    this.#loads = loads;
    this.#loadsSetAt = this.#clock.now();
  }

  /** Sets the demand this node publishes from its next heartbeat on. */
  setOwnDemand(demand: readonly TeamDemand[]): void {
    this.#demand = demand;
  }

  /** Sets the summary of this node's data centre, for the next heartbeat. */
  setOwnSummary(summary: Omit<ZoneSummary, "version">): void {
    this.#summary = summary;
  }

  /** Removes the summary when it is another node's task. */
  removeOwnSummary(): void {
    this.#summary = undefined;
    this.#own.summary = undefined;
  }

  /**
   * Lists the version and age of each record, for a query.
   *
   * @param findAge Time since a node was last heard, in milliseconds.
   */
  listSeen(
    findAge: (node: string) => number | undefined,
  ): Record<string, string> {
    const seen: Record<string, string> = {};
    for (const [node, { incarnation, version }] of this.#origins) {
      const ageMs = findAge(node);
      if (ageMs === undefined) continue;
      seen[node] = encodeSeen({ incarnation, version, ageMs });
    }
    return seen;
  }

  /** Lists what a peer lacks. */
  listRecords(query: OriginQuery): readonly OriginRecord[] {
    const now = this.#clock.now();
    const records: OriginRecord[] = [];
    for (const [node, origin] of this.#origins) {
      const ageMs = now - origin.heardAt;
      const wanted = query.isWanted(node);
      const skipped = node === query.requester || ageMs > staleAfterMs ||
        (!wanted && origin.summary === undefined);
      if (skipped) continue;
      const base = findSeenVersion(query.seen[node], origin.incarnation);
      if (base >= origin.version) continue;
      records.push(createRecord({ node, origin, base, wanted, now }));
    }
    return records;
  }

  /**
   * Takes in a record; undefined when this node had it already.
   *
   * @returns The loads and demand that changed.
   */
  apply(record: OriginRecord): AppliedRecord | undefined {
    if (record.node === this.#self.node) return undefined;
    const now = this.#clock.now();
    let origin = this.#origins.get(record.node);
    if (origin !== undefined && origin.incarnation !== record.incarnation) {
      if (!isNewerIncarnation(record.incarnation, origin.incarnation)) {
        return undefined;
      }
      origin = undefined;
    }
    if (origin === undefined) {
      origin = createOrigin(record.incarnation, now - record.ageMs);
      this.#origins.set(record.node, origin);
    }
    if (record.version <= origin.version) return undefined;
    origin.version = record.version;
    origin.heardAt = now - record.ageMs;
    origin.revision = record.revision;
    return applyParts(origin, record, now);
  }

  /** The last summary a node published, if that is its task. */
  findSummary(node: string): ZoneSummary | undefined {
    return this.#origins.get(node)?.summary;
  }

  /** Loads of all origins by endpoint, the freshest of each. */
  listLoads(): readonly EndpointLoad[] {
    const now = this.#clock.now();
    const freshest = new Map<string, EndpointLoad>();
    for (const origin of this.#origins.values()) {
      for (const { load, receivedAt } of origin.loads.values()) {
        const ageMs = load.ageMs + now - receivedAt;
        const other = freshest.get(load.endpoint);
        if (ageMs > loadExpiryMs || (other && other.ageMs <= ageMs)) continue;
        freshest.set(load.endpoint, { ...load, ageMs });
      }
    }
    return [...freshest.values()];
  }

  /** Demand as each of the given nodes last published it. */
  listDemand(nodes: readonly string[]): readonly TeamDemand[] {
    return nodes.flatMap((node) =>
      decodeDemand(this.#origins.get(node)?.demand)
    );
  }

  remove(node: string): void {
    this.#origins.delete(node);
  }

  /** Gives the loads that changed materially or grew old a new version. */
  #publishLoads(version: number): void {
    const now = this.#clock.now();
    const receivedAt = this.#loadsSetAt;
    const names = new Set<string>();
    for (const load of this.#loads) {
      names.add(load.endpoint);
      const last = this.#own.loads.get(load.endpoint);
      const isFresh = last !== undefined &&
        now - last.receivedAt < loadRefreshMs &&
        !isMaterialChange(last.load, load);
      if (isFresh) continue;
      this.#own.loads.set(load.endpoint, { load, version, receivedAt });
    }
    for (const endpoint of this.#own.loads.keys()) {
      if (!names.has(endpoint)) this.#own.loads.delete(endpoint);
    }
  }

  #publishDemand(version: number): void {
    const next = encodeDemand(this.#demand, version);
    const last = this.#own.demand;
    const isSame = last !== undefined &&
      JSON.stringify({ ...last, version }) === JSON.stringify(next) &&
      version - last.version < demandRefreshHeartbeats;
    if (!isSame) this.#own.demand = next;
  }
}

/** What a record changed. */
export interface AppliedRecord {
  readonly loads: readonly EndpointLoad[];
  readonly demand: readonly TeamDemand[];
}

function applyParts(
  origin: Origin,
  record: OriginRecord,
  now: number,
): AppliedRecord {
  const loads = record.loads === undefined
    ? []
    : decodeLoads(record.loads, now);
  for (const load of loads) origin.loads.set(load.load.endpoint, load);
  for (const [endpoint, { load, receivedAt }] of origin.loads) {
    const expired = load.ageMs + now - receivedAt > loadExpiryMs;
    if (expired) origin.loads.delete(endpoint);
  }
  origin.demand = record.demand ?? origin.demand;
  origin.summary = record.summary ?? origin.summary;
  return {
    loads: loads.map(({ load }) => load),
    demand: decodeDemand(origin.demand),
  };
}

function createOrigin(incarnation: string, heardAt: number): Origin {
  return {
    incarnation,
    version: 0,
    heardAt,
    revision: 0,
    loads: new Map(),
    demand: undefined,
    summary: undefined,
  };
}

interface RecordParts {
  readonly node: string;
  readonly origin: Origin;
  readonly base: number;
  readonly wanted: boolean;
  readonly now: number;
}

function createRecord(parts: RecordParts): OriginRecord {
  const { node, origin, base, wanted, now } = parts;
  const { incarnation, version, revision, demand, summary } = origin;
  const isNew = (part: { readonly version: number }): boolean =>
    part.version > base;
  const loads = wanted
    ? [...origin.loads.values()].filter((load) => isNew(load))
    : [];
  return {
    node,
    incarnation,
    version,
    ageMs: Math.round(now - origin.heardAt),
    revision,
    ...(loads.length > 0 ? { loads: encodeLoads(loads, now) } : {}),
    ...(wanted && demand !== undefined && isNew(demand) ? { demand } : {}),
    ...(summary !== undefined && isNew(summary) ? { summary } : {}),
  };
}

function encodeDemand(
  demand: readonly TeamDemand[],
  version: number,
): DemandColumns {
  return {
    version,
    teams: demand.map(({ team }) => team),
    requestsPerSecond: demand.map(({ requestsPerSecond }) =>
      Math.round(requestsPerSecond * 10) / 10
    ),
    tokensPerSecond: demand.map(({ tokensPerSecond }) =>
      Math.round(tokensPerSecond)
    ),
  };
}

/** Reads demand from its columns. */
export function decodeDemand(
  columns: Omit<DemandColumns, "version"> | undefined,
): readonly TeamDemand[] {
  return (columns?.teams ?? []).map((team, i) => ({
    team,
    requestsPerSecond: columns?.requestsPerSecond[i] ?? 0,
    tokensPerSecond: columns?.tokensPerSecond[i] ?? 0,
  }));
}

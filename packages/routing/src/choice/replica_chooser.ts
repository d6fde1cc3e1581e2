/**
 * Choice of a replica for one request.
 *
 * The cost of a decision does not grow with the fleet. The candidates are a few
 * replicas drawn at random, those known to cache the longest prefix of the prompt,
 * and the prompt's home replicas on the hash ring. The one with the lowest predicted
 * time is taken: backlog, wait for a slot, prefill of tokens that are not cached,
 * decoding, and the expected loss by a reclaim. Drawing candidates at random keeps
 * nodes with the same late reports from choosing the same replica.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Endpoint } from "@almondcrank/common/configuration.ts";
import type { Random } from "@almondcrank/common/random.ts";
import { blockTokens } from "@almondcrank/endpoint/tokens.ts";
import type { LoadTable } from "./load_table.ts";
import type { PrefixIndex, PrefixMatch } from "./prefix_index.ts";
import type { ReplicaLoad } from "./replica_load.ts";
import type { ReplicaDirectory, ServiceReplicas } from "./service_replicas.ts";

/** How replicas are chosen; all but `predicted` are baselines. */
export type ChoicePolicy =
  | { readonly kind: "random" }
  | { readonly kind: "round_robin" }
  | { readonly kind: "least_load" }
  | { readonly kind: "predicted" };

/** Prefix that all turns of a conversation share. */
export interface ConversationPrefix {
  /** Hash of its text. */
  readonly key: number;
  /** Full cache blocks that it covers. */
  readonly blocks: number;
}

/** Request for which a replica is chosen. */
export interface ChoiceRequest {
  readonly service: string;
  /** Chain of block hashes of the input. */
  readonly chain: readonly number[];
  /** Left out when it is not known. */
  readonly conversationPrefix?: ConversationPrefix | undefined;
  readonly inputTokens: number;
  /** Output tokens still to come. */
  readonly outputTokens: number;
  /** Target between output tokens, in milliseconds. */
  readonly betweenTokensMs: number;
  /** Endpoints not to be chosen. */
  readonly excluded?: ReadonlySet<string>;
}

/** A chosen replica with the predictions for the request. */
export interface ReplicaChoice {
  readonly endpoint: Endpoint;
  /** Predicted wait until prefill starts, in milliseconds. */
  readonly waitMs: number;
  /** Predicted time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Predicted time to the last token, in milliseconds. */
  readonly totalMs: number;
  /** Input tokens expected in the replica's cache. */
  readonly cachedTokens: number;
  /** Input tokens sent before, to any replica. */
  readonly seenTokens: number;
}

/** Chooses replicas. */
export interface Chooser {
  /** Chooses a replica; undefined when none can take work. */
  choose(request: ChoiceRequest): ReplicaChoice | undefined;
}

/** Options of a chooser. */
export interface ReplicaChooserOptions {
  readonly policy: ChoicePolicy;
  readonly directory: ReplicaDirectory;
  readonly loads: LoadTable;
  readonly prefixes: PrefixIndex;
  readonly clock: Clock;
  readonly random: Random;
  /** Network round-trip time to a zone, in milliseconds. */
  readonly zoneRoundTripMs?: (zone: string) => number;
}

/** Replicas drawn at random. */
const sampledCandidates = 8;
/** Replicas taken from the prefix index. */
const maxHolders = 6;
/** Home replicas taken from the hash ring. */
const homeCandidates = 2;
/** Fleets up to this size are scanned completely. */
const maxScannedFleet = 16;
/** Share of a conversation's own blocks assumed to be cached at its home. */
const homeCachedShare = 1;
/** Share of the target between tokens up to which decoding is not charged. */
const freeDecodeShare = 0.9;
/** Weight of prefill on top of the request's own wait: it delays other requests. */
const prefillWeight = 1;
/** Mean time between reclaims of a reclaimable host, in milliseconds. */
const reclaimIntervalMs = 6 * 3_600_000;
/** The same in a zone where hosts were reclaimed recently. */
const activeReclaimIntervalMs = 20_000;

const noMatch: PrefixMatch = { holders: [], sharedBlocks: 0, seenBlocks: 0 };

interface Candidate {
  readonly endpoint: Endpoint;
  readonly load: ReplicaLoad;
  readonly cachedTokens: number;
}

/** Chooses replicas by one policy. */
export class ReplicaChooser implements Chooser {
  readonly #options: ReplicaChooserOptions;
  #turn = 0;

  private constructor(options: ReplicaChooserOptions) {
    this.#options = options;
  }

  static create(options: ReplicaChooserOptions): ReplicaChooser {
    return new ReplicaChooser(options);
  }

  choose(request: ChoiceRequest): ReplicaChoice | undefined {
    const replicas = this.#options.directory.find(request.service);
    const match = request.chain.length === 0
      ? noMatch
      : this.#options.prefixes.find(request.chain, maxHolders);
    const candidate = this.#chooseCandidate(request, replicas, match);
    if (candidate === undefined) return undefined;
    return this.#createChoice(candidate, request, match);
  }

  #chooseCandidate(
    request: ChoiceRequest,
    replicas: ServiceReplicas,
    match: PrefixMatch,
  ): Candidate | undefined {
    const { policy, random } = this.#options;
    const { endpoints } = replicas;
    switch (policy.kind) {
      case "random":
        return this.#findUsable(
          request,
          endpoints,
          random.nextInt(Math.max(1, endpoints.length)),
        );
      case "round_robin":
        return this.#findUsable(request, endpoints, this.#turn++);
      case "least_load":
        return this.#chooseLowestCost(
          this.#listSampled(request, endpoints),
          (candidate) => candidate.load.computeRequests(),
        );
      case "predicted":
        return this.#chooseLowestCost(
          this.#listCandidates(request, replicas, match),
          (candidate) => this.#computeCost(candidate, request),
        );
    }
  }

  /** Finds the first usable replica from position `start` on. */
  #findUsable(
    request: ChoiceRequest,
    endpoints: readonly Endpoint[],
    start: number,
  ): Candidate | undefined {
    for (let step = 0; step < endpoints.length; step++) {
      const endpoint = endpoints[(start + step) % endpoints.length];
      const candidate = this.#createCandidate(request, endpoint, 0);
      if (candidate !== undefined) return candidate;
    }
    return undefined;
  }

  #chooseLowestCost(
    candidates: readonly Candidate[],
    computeCost: (candidate: Candidate) => number,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    let lowest = Infinity;
    let ties = 1;
    for (const candidate of candidates) {
      const cost = computeCost(candidate);
      if (cost > lowest) continue;
      ties = cost === lowest ? ties + 1 : 1;
      lowest = cost;
      if (ties === 1 || this.#options.random.nextInt(ties) === 0) {
        best = candidate;
      }
    }
    return best;
  }

  #listSampled(
    request: ChoiceRequest,
    endpoints: readonly Endpoint[],
  ): Candidate[] {
    const { random } = this.#options;
    const candidates: Candidate[] = [];
    const scansAll = endpoints.length <= maxScannedFleet;
    const draws = scansAll ? endpoints.length : sampledCandidates;
    for (let draw = 0; draw < draws; draw++) {
      const index = scansAll ? draw : random.nextInt(endpoints.length);
      const candidate = this.#createCandidate(request, endpoints[index], 0);
      if (candidate !== undefined) candidates.push(candidate);
    }
    if (candidates.length === 0 && !scansAll) {
      const start = random.nextInt(endpoints.length);
      const usable = this.#findUsable(request, endpoints, start);
      if (usable !== undefined) candidates.push(usable);
    }
    return candidates;
  }

  #listCandidates(
    request: ChoiceRequest,
    replicas: ServiceReplicas,
    match: PrefixMatch,
  ): Candidate[] {
    const { directory } = this.#options;
    const candidates: Candidate[] = [];
    for (const { endpoint: name, blocks } of match.holders) {
      const endpoint = directory.findEndpoint(name);
      if (endpoint?.service !== request.service) continue;
      const cachedTokens = blocks * blockTokens;
      const holder = this.#createCandidate(request, endpoint, cachedTokens);
      if (holder !== undefined) candidates.push(holder);
    }
    this.#addHomes(candidates, request, replicas, match);
    for (const sampled of this.#listSampled(request, replicas.endpoints)) {
      if (!hasEndpoint(candidates, sampled.endpoint)) candidates.push(sampled);
    }
    return candidates;
  }

  /**
   * Adds the home replicas, to which other nodes would send this conversation,
   * unless this node knows where it is cached. All turns have the same home: it
   * follows from their common prefix, or where that is not known, from the first
   * block that is not shared with other conversations.
   */
  #addHomes(
    candidates: Candidate[],
    request: ChoiceRequest,
    replicas: ServiceReplicas,
    match: PrefixMatch,
  ): void {
    const { chain, conversationPrefix } = request;
    const { sharedBlocks } = match;
    const key = conversationPrefix?.key ??
      chain[Math.min(sharedBlocks, chain.length - 1)];
    if (key === undefined) return;
    const knownBlocks = match.holders[0]?.blocks ?? 0;
    if (knownBlocks > (conversationPrefix?.blocks ?? sharedBlocks)) return;
    const unsharedBlocks = chain.length - sharedBlocks;
    const blocks = sharedBlocks + Math.floor(unsharedBlocks * homeCachedShare);
    const homes = replicas.findHomes(key, homeCandidates);
    for (const [rank, endpoint] of homes.entries()) {
      const cachedTokens = rank === 0 ? blocks * blockTokens : 0;
      const home = this.#createCandidate(request, endpoint, cachedTokens);
      if (home === undefined) continue;
      const index = candidates.findIndex((other) =>
        other.endpoint === endpoint
      );
      if (index === -1) candidates.push(home);
      else if (rank === 0) candidates[index] = home;
    }
  }

  #createCandidate(
    request: ChoiceRequest,
    endpoint: Endpoint | undefined,
    cachedTokens: number,
  ): Candidate | undefined {
    if (endpoint === undefined) return undefined;
    if (request.excluded?.has(endpoint.name)) return undefined;
    const { loads } = this.#options;
    const load = loads.find(endpoint.name);
    if (load === undefined || !loads.takesRequests(endpoint.name)) {
      return undefined;
    }
    return { endpoint, load, cachedTokens };
  }

  /** Round trip plus the wait for the input backlog or a slot, whichever is longer. */
  #computeWaitMs({ load, endpoint }: Candidate): number {
    const { clock, loads, zoneRoundTripMs } = this.#options;
    const now = clock.now();
    const requestsAhead = load.computeRequests() - load.slots + 1;
    const serviceMs = loads.meanOutputTokens * load.computeBetweenTokensMs(now);
    const slotMs = requestsAhead > 0
      ? requestsAhead * serviceMs / load.slots
      : 0;
    const roundTripMs = zoneRoundTripMs?.(endpoint.zone) ?? 0;
    return roundTripMs + Math.max(load.computeBacklogMs(now), slotMs);
  }

  #computeFirstTokenMs(candidate: Candidate, inputTokens: number): number {
    const uncached = Math.max(0, inputTokens - candidate.cachedTokens);
    return this.#computeWaitMs(candidate) +
      candidate.load.computePrefillMs(uncached);
  }

  /**
   * Predicted time of the choice. Time between tokens is charged only beyond
   * `freeDecodeShare` of the target: below it, a replica that caches the prefix
   * is better than one that decodes a little faster.
   */
  #computeCost(candidate: Candidate, request: ChoiceRequest): number {
    const { load, cachedTokens } = candidate;
    const { inputTokens, outputTokens } = request;
    const now = this.#options.clock.now();
    const firstTokenMs = this.#computeFirstTokenMs(candidate, inputTokens);
    const betweenMs = load.computeBetweenTokensMs(now);
    const chargedMs = betweenMs - freeDecodeShare * request.betweenTokensMs;
    const uncached = Math.max(0, inputTokens - cachedTokens);
    return firstTokenMs + prefillWeight * load.computePrefillMs(uncached) +
      outputTokens * Math.max(0, chargedMs) +
      this.#computeReclaimMs(
        candidate,
        request,
        firstTokenMs + outputTokens * betweenMs,
      );
  }

  /** Expected time to recompute the request after a reclaim during it. */
  #computeReclaimMs(
    { endpoint, load }: Candidate,
    request: ChoiceRequest,
    totalMs: number,
  ): number {
    if (endpoint.market === "on_demand") return 0;
    const intervalMs = this.#options.loads.isReclaiming(endpoint.zone)
      ? activeReclaimIntervalMs
      : reclaimIntervalMs;
    const tokens = request.inputTokens + request.outputTokens / 2;
    return Math.min(1, totalMs / intervalMs) * load.computePrefillMs(tokens);
  }

  #createChoice(
    candidate: Candidate,
    request: ChoiceRequest,
    match: PrefixMatch,
  ): ReplicaChoice {
    const { endpoint, load } = candidate;
    const known = match.holders.find((holder) =>
      holder.endpoint === endpoint.name
    );
    const knownTokens = (known?.blocks ?? 0) * blockTokens;
    const cachedTokens = Math.max(knownTokens, candidate.cachedTokens);
    const expected = { ...candidate, cachedTokens };
    const firstTokenMs = this.#computeFirstTokenMs(
      expected,
      request.inputTokens,
    );
    const now = this.#options.clock.now();
    const decodeMs = request.outputTokens * load.computeBetweenTokensMs(now);
    const totalMs = firstTokenMs + decodeMs;
    const seenTokens = match.seenBlocks * blockTokens;
    const waitMs = this.#computeWaitMs(candidate);
    return {
      endpoint,
      waitMs,
      firstTokenMs,
      totalMs,
      cachedTokens,
      seenTokens,
    };
  }
}

function hasEndpoint(
  candidates: readonly Candidate[],
  endpoint: Endpoint,
): boolean {
  return candidates.some((candidate) => candidate.endpoint === endpoint);
}

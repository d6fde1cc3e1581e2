/**
 * Routes calls of plain services.
 *
 * Checks the team's limit, chooses an endpoint and sends the call. A call that
 * is not idempotent and carries a key runs at most once, however often and at
 * whichever nodes it arrives; without a key it is sent at most once. Every refusal
 * is counted by its reason.
 */

import { Buffer } from "node:buffer";
import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  Endpoint,
  PlainService,
  Team,
} from "@almondcrank/common/configuration.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type {
  PlainAnswer,
  PlainEndpoint,
} from "@almondcrank/endpoint/plain_service.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { HedgeDelay } from "../repeats/hedge_delay.ts";
import { KeyFormat } from "../keyed_calls/key_format.ts";
import { KeyClaims } from "../keyed_calls/key_claims.ts";
import { KeyForwarding } from "../keyed_calls/key_forwarding.ts";
import {
  chooseSuccessors,
  createKeyBatch,
  ReceivedOutcomes,
} from "../keyed_calls/key_hand_over.ts";
import type {
  ForwardedCall,
  ForwardedOutcome,
  KeyBatch,
  KeyOwner,
  KeyPeers,
} from "../keyed_calls/key_peers.ts";
import {
  defaultKeyLimits,
  type KeyLimits,
  KeyRecords,
} from "../keyed_calls/key_records.ts";
import { encodeOutcome, type KeyedRequest } from "../keyed_calls/key_wire.ts";
import { KeyedCalls } from "../keyed_calls/keyed_calls.ts";
import type { Limiter } from "../limits/limiter.ts";
import { PartQuarantine } from "../quarantine/part_quarantine.ts";
import { computeFingerprint } from "../quarantine/request_fingerprint.ts";
import { CallCrashes } from "../repeats/call_crashes.ts";
import { isIdempotent, PlainAttempts } from "../repeats/plain_attempts.ts";
import { PlainChooser, type PlainLoadSource } from "../choice/plain_chooser.ts";
import { createDrainingRefusal } from "../admission/plain_refusals.ts";
import type { PlainRequest, PlainRouter } from "./plain_router.ts";
import type { Refusal } from "../admission/refusal.ts";
import type { EndpointRetries } from "../repeats/endpoint_retries.ts";
import { ServiceEndpoints } from "../choice/service_endpoints.ts";

const defaultClaimCallsPerSecond = 150;
/** Priority of a forwarded call whose team this node does not know yet. */
const unknownTeamPriority = 9;

/** Options of a router of plain calls. */
export interface NodePlainRouterOptions {
  readonly configuration: ConfigurationSource;
  /** Finds the client of an endpoint; the same client for the same endpoint. */
  readonly endpoints: (endpoint: Endpoint) => PlainEndpoint;
  readonly loads: PlainLoadSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Node and incarnation of this process. */
  readonly identity: KeyOwner;
  /** Secret shared by all nodes. */
  readonly sharedKey: string;
  readonly peers: KeyPeers;
  readonly claims: ObjectStore;
  readonly limiter: Limiter;
  readonly retryBudget: EndpointRetries;
  readonly keyLimits?: Partial<KeyLimits>;
  /** Limit of all nodes together for object API calls on claims, per second. */
  readonly claimCallsPerSecond?: number;
  /** Whether slow idempotent calls are hedged; true by default. */
  readonly hedging?: boolean;
  /** Calls that crash endpoints; by default only this process knows them. */
  readonly quarantine?: PartQuarantine;
}

/** Chooser and hedge delay of one service. */
interface ServiceState {
  readonly chooser: PlainChooser;
  readonly hedge: HedgeDelay | undefined;
}

/** Router of plain calls of one process. */
export class NodePlainRouter implements PlainRouter {
  readonly #options: NodePlainRouterOptions;
  readonly #attempts: PlainAttempts;
  readonly #quarantine: PartQuarantine;
  readonly #format: KeyFormat;
  readonly #records: KeyRecords;
  readonly #receivedOutcomes: ReceivedOutcomes;
  readonly #forwarding: KeyForwarding;
  readonly #keyed: KeyedCalls;
  readonly #endpoints: ServiceEndpoints;
  readonly #services = new Map<string, ServiceState>();
  #draining = false;

  private constructor(options: NodePlainRouterOptions) {
    const { clock, metrics, retryBudget, endpoints } = options;
    const limits = { ...defaultKeyLimits, ...options.keyLimits };
    this.#options = options;
    this.#endpoints = ServiceEndpoints.create(options.configuration);
    this.#quarantine = options.quarantine ??
      PartQuarantine.create({ isProber: () => true });
    this.#format = KeyFormat.create(options.sharedKey);
    this.#records = KeyRecords.create({ clock, metrics, limits });
    const { lifetimeMs } = limits;
    this.#receivedOutcomes = ReceivedOutcomes.create({ clock, lifetimeMs });
    this.#forwarding = KeyForwarding.create({
      ...options,
      receivedOutcomes: this.#receivedOutcomes,
    });
    this.#attempts = PlainAttempts.create({
      clock,
      metrics,
      budget: retryBudget,
      endpoints,
    });
    this.#keyed = KeyedCalls.create({
      ...options,
      format: this.#format,
      records: this.#records,
      claims: this.#createClaims(),
      forwarding: this.#forwarding,
      lifetimeMs,
      send: (request) => this.#send(request, new AbortController().signal),
    });
  }

  static create(options: NodePlainRouterOptions): NodePlainRouter {
    return new NodePlainRouter(options);
  }

  async call(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>> {
    const result = isKeyedRequest(request)
      ? await this.#keyed.call(request, signal)
      : await this.#sendAdmitted(request, signal);
    return result.ifLeft((refusal) => this.#countRefusal(refusal));
  }

  issueKey(team: Team): Either<Refusal, string> {
    if (this.#draining) {
      const refusal = createDrainingRefusal();
      this.#countRefusal(refusal);
      return Left(refusal);
    }
    const boundAtMs = this.#options.clock.now();
    const { node, incarnation } = this.#options.identity;
    const content = { node, incarnation, boundAtMs, team: team.name };
    this.#options.metrics.count("keys_issued_total");
    return Right(this.#format.issue(content));
  }

  /** Answers a call that a peer forwarded to this process as owner or successor. */
  async handleForwarded(call: ForwardedCall): Promise<ForwardedOutcome> {
    const { node, incarnation } = this.#options.identity;
    const { binding } = call;
    const request = this.#decodeCall(call);
    if (binding.node !== node || binding.incarnation !== incarnation) {
      return this.#forwarding.findReceived(binding, request) ??
        { kind: "not_owner" };
    }
    const { signal } = new AbortController();
    const result = await this.#keyed.callAsOwner(binding, request, signal);
    return encodeOutcome(result);
  }

  /** Stores the outcomes that a leaving peer hands over. */
  handleHandOver(batch: KeyBatch): void {
    this.#receivedOutcomes.add(batch);
  }

  /** Binds no further keys to this process, because the node is about to leave. */
  drain(): void {
    this.#draining = true;
    this.#keyed.drain();
  }

  /**
   * Starts no further calls with keys, waits for running ones, and hands their
   * outcomes over to peers.
   */
  async close(): Promise<void> {
    this.drain();
    this.#keyed.close();
    await this.#records.waitIdle();
    const { hasher, identity, log, peers } = this.#options;
    const batch = createKeyBatch(identity, this.#records);
    if (batch.outcomes.length === 0) return;
    const successors = chooseSuccessors(hasher, identity, peers.list());
    await Promise.all(successors.map(async (successor) => {
      const handed = await peers.handOver(successor, batch);
      handed.ifLeft((error) =>
        log.warn("outcomes of keys were not handed over", {
          heir: successor.node,
          reason: error.message,
        })
      );
    }));
  }

  #createClaims(): KeyClaims {
    const { clock, metrics, claims: store, identity, peers } = this.#options;
    const total = this.#options.claimCallsPerSecond ??
      defaultClaimCallsPerSecond;
    const callsPerSecond = (): number => total / (1 + peers.list().length);
    return KeyClaims.create({
      clock,
      metrics,
      store,
      identity,
      callsPerSecond,
    });
  }

  #decodeCall(call: ForwardedCall): KeyedRequest {
    const { teams, services } = this.#options.configuration.current();
    const { method, path, contentType, key } = call;
    const team = teams.find(({ name }) => name === call.team) ??
      createUnknownTeam(call.team);
    const service = services.find(({ name }) => name === call.service);
    return {
      team,
      service: service?.kind === "plain"
        ? service
        : createUnknownService(call.service),
      method,
      path,
      contentType,
      body: Buffer.from(call.bodyBase64, "base64"),
      key,
      deadline: this.#options.clock.now() + call.remainingMs,
    };
  }

  async #sendAdmitted(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>> {
    const admitted = this.#options.limiter.admit(request.team, 1);
    if (admitted.isLeft()) return Left(admitted.extract() as Refusal);
    try {
      return await this.#send(request, signal);
    } finally {
      admitted.ifRight((permit) => permit.release());
    }
  }

  #send(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>> {
    const service = request.service.name;
    const endpoints = this.#endpoints.list(service);
    const { chooser, hedge } = this.#findState(service);
    return this.#attempts.run({
      request,
      endpoints,
      chooser,
      hedge,
      crashes: this.#createCrashes(request),
      signal,
    });
  }

  #createCrashes(
    { team, service, method, path, body }: PlainRequest,
  ): CallCrashes {
    const { hasher, clock } = this.#options;
    const fingerprint = computeFingerprint(hasher, {
      caller: team.name,
      host: service.name,
      method,
      path,
      body,
    });
    return CallCrashes.create({
      quarantine: this.#quarantine,
      clock,
      fingerprint,
    });
  }

  #findState(service: string): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      const { clock, random, loads, hedging } = this.#options;
      state = {
        chooser: PlainChooser.create({ clock, random, loads }),
        hedge: hedging === false ? undefined : HedgeDelay.create(clock),
      };
      this.#services.set(service, state);
    }
    return state;
  }

  #countRefusal(refusal: Refusal): void {
    this.#options.metrics.count("refusals_total", {
      path: "plain",
      reason: refusal.kind,
      run: refusal.run,
    });
  }
}

/** Whether the call is not idempotent and carries an idempotency key. */
function isKeyedRequest(request: PlainRequest): request is KeyedRequest {
  return request.key !== undefined && !isIdempotent(request);
}

/** Creates a stand-in for a team that only a peer's configuration has so far. */
function createUnknownTeam(name: string): Team {
  return { name, keyHash: "", priority: unknownTeamPriority, share: 1 };
}

/** Creates a stand-in for a service that only a peer's configuration has so far. */
function createUnknownService(name: string): PlainService {
  return { kind: "plain", name, idempotentMethods: [], timeoutMs: 0 };
}

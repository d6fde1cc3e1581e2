/**
 * Sends requests to replicas and tracks, for each replica, the load from this
 * node, the failures, and the pooled connections.
 */

import type { IncomingMessage } from "node:http";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { ReplicaCall } from "@almondcrank/platform/kv_move.ts";
import {
  isLeavingAnswer,
  parseBearableRefusals,
  parseReplicaLoad,
  parseRequestLimit,
  parseRetryAfter,
} from "@almondcrank/platform/headers.ts";
import type { ServiceReach } from "@almondcrank/routing/reach/service_reach.ts";
import type { NodeLoad } from "@almondcrank/routing/placement/work_left.ts";
import type { ReplicaState } from "../choice/replica_state.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import type { VersionGate } from "../rollouts/version_gate.ts";
import { composeRequestHeaders } from "./message_headers.ts";
import { type OpenConnection, ReplicaAgent } from "./replica_agent.ts";
import { acceptsConnection } from "./connection_probe.ts";
import {
  type ControlCallOptions,
  type ControlResponse,
  sendControlCall,
} from "./control_call.ts";
import { type SendOutcome, sendToReplica } from "./replica_request.ts";
import type { RoutedRequest } from "./routed_request.ts";

const connectTimeoutMs = 400;
const minConnectionsPerReplica = 4;
const unavailableStatus = 503;
const misdirectedStatus = 421;

/** What is sent; also the `kind` label of `limited_sends_total`. */
type LimitedSend = "run" | "moved" | "control";

/** Dependencies of a sender. */
export interface ReplicaSenderOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly table: ReplicaTable;
  readonly gate: VersionGate;
  /** Number of nodes that share each replica's connections. */
  readonly countNodes: () => number;
  readonly reach: ServiceReach;
  readonly openConnection?: OpenConnection | undefined;
}

/** Options of one send of a request. */
export interface SendOptions {
  readonly signal: AbortSignal;
  /** Prompt tokens that the replica has to compute. */
  readonly uncachedTokens: number;
  /** Id after which to resume the stream. */
  readonly resumeAfter?: number;
  /** Source address and handle of a moved run. */
  readonly movedRun?: string;
}

/** Options of one control call. */
export interface ReplicaCallOptions
  extends Pick<ControlCallOptions, "timeoutMs" | "headers" | "isExpected"> {
  /** Whether it may use a kept connection; it opens its own by default. */
  readonly isPooled?: boolean;
}

/** A send in progress. */
export interface PendingSend {
  readonly outcome: Promise<SendOutcome>;
  /** Marks the prompt as processed: its tokens are no longer pending. */
  markStarted(): void;
  /** Removes the send from the replica's load; idempotent. */
  end(): void;
}

/** Sends the requests of one node. */
export class ReplicaSender implements Disposable {
  readonly #options: ReplicaSenderOptions;
  readonly #agents = new Map<string, ReplicaAgent>();

  private constructor(options: ReplicaSenderOptions) {
    this.#options = options;
  }

  static create(options: ReplicaSenderOptions): ReplicaSender {
    return new ReplicaSender(options);
  }

  /** Sends a request once. */
  send(
    request: RoutedRequest,
    state: ReplicaState,
    options: SendOptions,
  ): PendingSend {
    const { clock, metrics } = this.#options;
    const { replica } = state;
    const sentAt = clock.now();
    const isMoved = options.movedRun !== undefined;
    const wasLimited = state.limit.perSecond !== undefined;
    this.#countLimited(state, isMoved ? "moved" : "run");
    // A moved run was charged when its replica was chosen.
    if (!isMoved) state.limit.charge(sentAt);
    const load = this.#openLoad(state, request, options.uncachedTokens);
    metrics.count("sends_total", { service: replica.service });
    this.#options.gate.recordSend(state);
    const { reach } = this.#options;
    const { service } = replica;
    const endWait = reach.openWait(service, state.key, sentAt);
    const outcome = sendToReplica({
      address: replica.address,
      agent: this.#findAgent(state, request.service.maxConnections),
      method: request.method,
      path: request.path,
      composeHeaders: () =>
        composeRequestHeaders(request.headers, {
          replicaId: replica.id,
          remainingMs: Math.max(1, request.deadline - clock.now()),
          priority: request.priority,
          tenant: request.tenant?.name,
          ...options,
        }),
      body: request.body,
      requestId: request.id,
      signal: options.signal,
      callerSignal: request.callerSignal,
      connectTimeoutMs,
      isWanted: () =>
        this.#isWanted(state, { isCharged: wasLimited || isMoved, isMoved }),
      onConnected: () => reach.recordHeard(service, clock.now()),
      onAnswer: (response) => {
        reach.recordHeard(service, clock.now());
        this.#recordAnswer(state, response);
        this.#recordLimit(state, response, sentAt);
        this.#recordLoad(state, response);
        this.#recordRefusals(state, response);
      },
    }).then((outcome) => {
      endWait();
      if (outcome.kind === "not_sent" && outcome.isUnreached) {
        reach.recordUnreached(service, state.key, clock.now());
      }
      const isEnded = options.signal.aborted ||
        (outcome.kind === "not_sent" && request.callerSignal.aborted);
      this.#recordOutcome(state, outcome, isEnded);
      return outcome;
    });
    return { outcome, ...load };
  }

  /** Makes a control call to a replica; `undefined` when it fails. */
  async callControl(
    state: ReplicaState,
    call: ReplicaCall,
    { isPooled = false, ...options }: ReplicaCallOptions,
  ): Promise<ControlResponse | undefined> {
    const { address } = state.replica;
    const agent = isPooled ? this.#agents.get(state.key) : undefined;
    this.#countLimited(state, "control");
    state.limit.charge(this.#options.clock.now());
    const response = await sendControlCall(call, {
      address,
      agent,
      ...options,
    });
    if (response === undefined) return undefined;
    agent?.recordKeepAlive(
      response.headers["keep-alive"] as string | undefined,
    );
    if (response.statusCode !== misdirectedStatus) {
      this.#recordAnswer(state, response);
    }
    return response;
  }

  /** Whether the replica's address accepts a connection, on which nothing is sent. */
  async acceptsConnection(
    { replica }: ReplicaState,
    timeoutMs: number,
  ): Promise<boolean> {
    const { openConnection } = this.#options;
    return await acceptsConnection(replica.address, {
      timeoutMs,
      openConnection,
    });
  }

  /** Whether a connection to the replica is open and not in use. */
  hasIdleConnection({ key }: ReplicaState): boolean {
    const agent = this.#agents.get(key);
    if (agent === undefined) return false;
    return Object.keys(agent.freeSockets).length > 0;
  }

  /** Closes the connections to incarnations that are no longer known. */
  retain(isKnown: (key: string) => boolean): void {
    for (const [key, agent] of this.#agents) {
      if (isKnown(key)) continue;
      agent.destroy();
      this.#agents.delete(key);
    }
  }

  /**
   * Closes the idle connections to a service that this node is cut off from: a
   * request on one of them would hang, and could not be sent elsewhere.
   */
  closeIdle(service: string): void {
    for (const { key, replica } of this.#options.table.listAll()) {
      if (replica.service !== service) continue;
      const free = Object.values(this.#agents.get(key)?.freeSockets ?? {});
      for (const socket of free.flat()) socket?.destroy();
    }
  }

  dispose(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }

  #openLoad(
    state: ReplicaState,
    request: RoutedRequest,
    pendingTokens: number,
  ): Pick<PendingSend, "markStarted" | "end"> {
    const load: NodeLoad = {
      active: 1,
      pendingTokens,
      activeTokens: request.promptTokens,
    };
    let waitingTokens = pendingTokens;
    let hasEnded = false;
    state.addOwnLoad(load, this.#options.clock.now());
    const markStarted = (): void => {
      const delta = {
        active: 0,
        pendingTokens: -waitingTokens,
        activeTokens: 0,
      };
      waitingTokens = 0;
      state.addOwnLoad(delta, this.#options.clock.now());
    };
    const end = (): void => {
      if (hasEnded) return;
      hasEnded = true;
      markStarted();
      const delta = {
        active: -1,
        pendingTokens: 0,
        activeTokens: -request.promptTokens,
      };
      state.addOwnLoad(delta, this.#options.clock.now());
    };
    return { markStarted, end };
  }

  /** Whether a replica still wants a request once a connection is free. */
  #isWanted(
    state: ReplicaState,
    { isCharged, isMoved }: {
      readonly isCharged: boolean;
      readonly isMoved: boolean;
    },
  ): boolean {
    const now = this.#options.clock.now();
    if (state.isPaused(now)) return false;
    // It may have left while the request waited. A moved run goes on where its
    // memory is, be that at a replica that leaves.
    if (!isMoved && !this.#options.table.maySend(state, now)) return false;
    // Its version may have been taken back while the request waited.
    if (!this.#options.gate.maySend(state)) return false;
    if (isCharged) return true;
    // The replica may have named a limit while the request waited.
    if (!state.limit.isOpen(now)) return false;
    state.limit.charge(now);
    return true;
  }

  /** Records what a replica says of itself in the headers of an answer. */
  #recordAnswer(
    state: ReplicaState,
    { statusCode, headers }: Pick<IncomingMessage, "headers" | "statusCode">,
  ): void {
    const { clock, metrics, table } = this.#options;
    const now = clock.now();
    if (isLeavingAnswer(headers)) table.recordLeaving(state.key, now);
    if (statusCode !== unavailableStatus) return;
    const retryAfterMs = parseRetryAfter(headers);
    if (retryAfterMs === undefined) return;
    state.pauseUntil(now + retryAfterMs);
    metrics.count("replica_pauses_total", { service: state.replica.service });
  }

  /** Records which limit a replica names in an answer to a request, if any. */
  #recordLimit(
    state: ReplicaState,
    { headers, statusCode }: Pick<IncomingMessage, "headers" | "statusCode">,
    sentAt: number,
  ): void {
    const { clock, metrics, log } = this.#options;
    const perSecond = parseRequestLimit(headers);
    // A failure says nothing of what the replica takes.
    if (perSecond === undefined && statusCode !== 200) return;
    const times = { sentAt, now: clock.now() };
    const change = state.limit.recordAnswer(perSecond, times);
    if (change === undefined) return;
    const { id: replica, service } = state.replica;
    metrics.count("replica_limits_total", { service, change });
    log.info(`the limit of a replica was ${change}.`, { replica, perSecond });
  }

  /**
   * Records the load that a replica states. An answer of another incarnation at its
   * address never comes here: it is a misdirected one.
   */
  #recordLoad(
    state: ReplicaState,
    { headers }: Pick<IncomingMessage, "headers">,
  ): void {
    const statement = parseReplicaLoad(headers);
    if (statement === undefined) return;
    state.recordStatement(statement, this.#options.clock.now());
    const { service } = state.replica;
    this.#options.metrics.count("load_statements_total", { service });
  }

  /** Records how many refusals a replica bears, and that of this request. */
  #recordRefusals(
    state: ReplicaState,
    { headers, statusCode }: Pick<IncomingMessage, "headers" | "statusCode">,
  ): void {
    const { clock, metrics, countNodes } = this.#options;
    const { refusals, replica } = state;
    const now = clock.now();
    state.nodes = countNodes();
    const { service } = replica;
    if (refusals.readPerSecond(now) === undefined) {
      const isStated = parseBearableRefusals(headers) !== undefined;
      if (isStated) metrics.count("brittle_statements_total", { service });
    }
    refusals.recordStatement(parseBearableRefusals(headers), now);
    if (statusCode !== unavailableStatus) return;
    refusals.recordRefusal(state.nodes, now);
  }

  /** Counts what reaches a replica that names a limit. */
  #countLimited({ limit, replica }: ReplicaState, kind: LimitedSend): void {
    if (limit.perSecond === undefined) return;
    const { service } = replica;
    this.#options.metrics.count("limited_sends_total", { service, kind });
  }

  #recordOutcome(
    state: ReplicaState,
    outcome: SendOutcome,
    isEnded: boolean,
  ): void {
    const { clock, metrics } = this.#options;
    const { service } = state.replica;
    metrics.count("send_outcomes_total", { service, outcome: outcome.kind });
    if (outcome.kind === "answered" || isEnded) return;
    const now = clock.now();
    // A replica that asked for a pause, or is at its limit, works as it should.
    const isWithheld = outcome.kind === "not_sent" && !state.limit.isOpen(now);
    if (!state.isPaused(now) && !isWithheld) state.failures.record(true, now);
  }

  #findAgent(state: ReplicaState, maxConnections: number): ReplicaAgent {
    let agent = this.#agents.get(state.key);
    if (agent === undefined) {
      agent = ReplicaAgent.create(
        maxConnections,
        this.#options.openConnection,
      );
      this.#agents.set(state.key, agent);
    }
    const share = maxConnections / Math.max(1, this.#options.countNodes());
    // Callers are spread unevenly over nodes, so a node may use twice its share.
    agent.maxSockets = Math.max(
      minConnectionsPerReplica,
      Math.min(maxConnections, Math.floor(share * 2)),
    );
    return agent;
  }
}

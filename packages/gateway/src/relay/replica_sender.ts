/**
 * Sends requests to replicas and keeps the books of each send: the load this
 * node puts on a replica, its failures, and the connections kept to it.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { ReplicaCall } from "@almondcrank/platform/kv_move.ts";
import type { NodeLoad, ReplicaState } from "../choice/replica_state.ts";
import { composeRequestHeaders } from "./message_headers.ts";
import { ReplicaAgent } from "./replica_agent.ts";
import { type ControlResponse, sendControlCall } from "./control_call.ts";
import { type SendOutcome, sendToReplica } from "./replica_request.ts";
import type { RoutedRequest } from "./routed_request.ts";

const connectTimeoutMs = 400;
const minConnectionsPerReplica = 4;

/** What a sender needs. */
export interface ReplicaSenderOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Number of nodes that share each replica's connections. */
  readonly countNodes: () => number;
}

/** How one send differs from the request. */
export interface SendOptions {
  readonly signal: AbortSignal;
  readonly uncachedTokens: number;
  readonly resumeAfter?: number;
  readonly movedRun?: string;
}

/** A send whose outcome may still be open. */
export interface PendingSend {
  readonly outcome: Promise<SendOutcome>;
  /** The prompt has been read: its tokens wait no longer. */
  markStarted(): void;
  /** Ends the send's share of the replica's load. Repeating it is harmless. */
  end(): void;
}

/** Sender of one node. */
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
    const load = this.#openLoad(state, request, options.uncachedTokens);
    metrics.count("sends_total", { service: replica.service });
    const outcome = sendToReplica({
      address: replica.address,
      agent: this.#findAgent(state, request.service.maxConnections),
      method: request.method,
      path: request.path,
      headers: composeRequestHeaders(request.headers, {
        replicaId: replica.id,
        remainingMs: Math.max(1, request.deadline - clock.now()),
        priority: request.priority,
        tenant: request.tenant?.name,
        ...options,
      }),
      body: request.body,
      requestId: request.id,
      signal: options.signal,
      connectTimeoutMs,
    }).then((outcome) => {
      this.#recordOutcome(state, outcome, options.signal);
      return outcome;
    });
    return { outcome, ...load };
  }

  /** Makes a control call to a replica; `undefined` when it fails. */
  callControl(
    state: ReplicaState,
    call: ReplicaCall,
    timeoutMs: number,
  ): Promise<ControlResponse | undefined> {
    const { address } = state.replica;
    return sendControlCall(call, { address, timeoutMs });
  }

  /** Closes kept connections of incarnations that are no longer known. */
  retain(isKnown: (key: string) => boolean): void {
    for (const [key, agent] of this.#agents) {
      if (isKnown(key)) continue;
      agent.destroy();
      this.#agents.delete(key);
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
    state.addOwnLoad(load);
    const markStarted = (): void => {
      const change = {
        active: 0,
        pendingTokens: -waitingTokens,
        activeTokens: 0,
      };
      waitingTokens = 0;
      state.addOwnLoad(change);
    };
    const end = (): void => {
      if (hasEnded) return;
      hasEnded = true;
      markStarted();
      const change = {
        active: -1,
        pendingTokens: 0,
        activeTokens: -request.promptTokens,
      };
      state.addOwnLoad(change);
    };
    return { markStarted, end };
  }

  #recordOutcome(
    state: ReplicaState,
    outcome: SendOutcome,
    signal: AbortSignal,
  ): void {
    const { clock, metrics } = this.#options;
    const { service } = state.replica;
    metrics.count("send_outcomes_total", { service, outcome: outcome.kind });
    if (outcome.kind === "answered" || signal.aborted) return;
    state.failures.record(true, clock.now());
  }

  #findAgent(state: ReplicaState, maxConnections: number): ReplicaAgent {
    let agent = this.#agents.get(state.key);
    if (agent === undefined) {
      agent = ReplicaAgent.create(maxConnections);
      this.#agents.set(state.key, agent);
    }
    const share = maxConnections / Math.max(1, this.#options.countNodes());
    // Callers reach nodes unevenly, so a node may use more than an even share.
    agent.maxSockets = Math.max(
      minConnectionsPerReplica,
      Math.min(maxConnections, Math.floor(share * 2)),
    );
    return agent;
  }
}

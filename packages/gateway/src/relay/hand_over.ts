/**
 * Hands requests to other nodes while this one is cut off from all replicas of their
 * service.
 *
 * A peer handles such a request as if its caller had come there, so that limits,
 * usage, retries and resuming are its own, and never hands it on. A request is given
 * to a second peer only if it has surely not run at the first one.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { abortResponse } from "@almondcrank/common/abort_response.ts";
import { endsWithConnection } from "@almondcrank/common/answer_framing.ts";
import type { BodyBudget } from "@almondcrank/common/body_budget.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import {
  remainingTimeHeader,
  signatureHeader,
} from "@almondcrank/platform/headers.ts";
import type { CutNodes } from "@almondcrank/routing/reach/cut_nodes.ts";
import type { ServiceReach } from "@almondcrank/routing/reach/service_reach.ts";
import type { Member, MemberTable } from "../cluster/member_table.ts";
import {
  type BufferedResponse,
  sendBufferedResponse,
} from "./buffered_response.ts";
import { composeFailureReply, sendLocalReply } from "./local_reply.ts";
import { listHandedHeaders, listResponseHeaders } from "./message_headers.ts";
import type { RelayResult } from "./relay_services.ts";
import { ReplicaAgent } from "./replica_agent.ts";
import { sendToReplica } from "./replica_request.ts";
import { readResponseBody } from "./response_body.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { computeTimerMs } from "./timer_ms.ts";

/** Path below which a node's control listener takes handed requests. */
export const handOverPath = "/peer/request";

/** Peers that one request is given to, if the ones before did not run it. */
const maxPeers = 3;
const connectTimeoutMs = 300;
const maxConnections = 256;
const unavailableStatus = 503;
/** Kinds of refusals after which another peer may serve the request. */
const nodesOwnRefusals: ReadonlySet<unknown> = new Set([
  "no_configuration",
  "stale_configuration",
  "draining",
  "memory_short",
  "no_service",
  "no_replica",
  "declined",
]);

/** Dependencies of hand-overs. */
export interface HandOverOptions {
  readonly clock: Clock;
  /** Clock of membership. */
  readonly membersClock: Clock;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly zone: string;
  readonly members: Pick<MemberTable, "listAlive">;
  readonly reach: ServiceReach;
  readonly cutNodes: CutNodes;
  /** Memory of the answers that this node keeps. */
  readonly answers: BodyBudget;
  /** Port of the control listener, the same on all nodes. */
  readonly controlPort: number;
}

/** What became of a request at one peer. */
type PeerOutcome =
  | { readonly kind: "ended"; readonly result: RelayResult }
  /** It has not run there, and another peer may serve it. */
  | { readonly kind: "not_run" }
  /** It may have run. */
  | { readonly kind: "lost" };

/** Hand-overs of one node. */
export class HandOver {
  readonly #options: HandOverOptions;
  readonly #agent = ReplicaAgent.create(maxConnections);

  private constructor(options: HandOverOptions) {
    this.#options = options;
  }

  static create(options: HandOverOptions): HandOver {
    return new HandOver(options);
  }

  /** Whether a request should go to a peer without a try of this node. */
  isDue({ service, isHanded }: RoutedRequest): boolean {
    const { reach, clock } = this.#options;
    return !isHanded && !reach.mayTry(service.name, clock.now());
  }

  /**
   * Whether a request that failed here is to go to a peer.
   *
   * @param unreached Replicas to which it got no connection.
   */
  mayFollow(
    { service, isHanded }: RoutedRequest,
    unreached: number,
  ): boolean {
    const { reach, clock } = this.#options;
    if (isHanded || unreached === 0) return false;
    return unreached > 1 || reach.isCut(service.name, clock.now());
  }

  /**
   * Gives a request to peers until one has ended it; `undefined` if none took it
   * and it has not run.
   */
  async run(
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<RelayResult | undefined> {
    const { metrics, clock, cutNodes } = this.#options;
    const { service } = request;
    for (const peer of this.#listPeers(service.name)) {
      if (request.callerSignal.aborted || clock.now() >= request.deadline) {
        break;
      }
      const outcome = await this.#send(peer, request, response);
      metrics.count("requests_handed_over_total", {
        service: service.name,
        outcome: outcome.kind,
      });
      request.trace.record("request handed over.", {
        peer: peer.node,
        outcome: outcome.kind,
      });
      switch (outcome.kind) {
        case "ended":
          return outcome.result;
        case "not_run":
          cutNodes.record(peer.node, service.name, clock.now());
          break;
        case "lost":
          return this.#fail(request, response);
      }
    }
    return undefined;
  }

  dispose(): void {
    this.#agent.destroy();
  }

  /** Lists peers that may reach a service: those of this zone first. */
  #listPeers(service: string): readonly Member[] {
    const { members, membersClock, clock, cutNodes, random, zone } =
      this.#options;
    const now = clock.now();
    return members.listAlive(membersClock.now())
      .filter(({ node, isDraining }) =>
        !isDraining && !cutNodes.isCut(node, service, now)
      )
      .map((peer) => ({
        peer,
        rank: Number(peer.zone !== zone) + random.next(),
      }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, maxPeers)
      .map(({ peer }) => peer);
  }

  async #send(
    peer: Member,
    request: RoutedRequest,
    callerResponse: ServerResponse,
  ): Promise<PeerOutcome> {
    const { clock, controlPort } = this.#options;
    const aborter = new AbortController();
    const abort = (): void => aborter.abort();
    const timer = setTimeout(
      abort,
      computeTimerMs(request.deadline - clock.now()),
    );
    request.callerSignal.addEventListener("abort", abort);
    try {
      const outcome = await sendToReplica({
        address: `${peer.ip}:${controlPort}`,
        agent: this.#agent,
        method: request.method,
        path: handOverPath + request.path,
        composeHeaders: () => [
          ...listHandedHeaders(request.received, request.body.length),
          remainingTimeHeader,
          String(Math.max(1, Math.floor(request.deadline - clock.now()))),
          // One that stays open could have fallen silent.
          "Connection",
          "close",
        ],
        body: request.body,
        requestId: request.id,
        signal: aborter.signal,
        callerSignal: request.callerSignal,
        connectTimeoutMs,
        isWanted: () => true,
        onAnswer: () => {},
      });
      switch (outcome.kind) {
        case "answered":
          return await this.#relay(request, outcome.response, callerResponse);
        case "not_sent":
        case "declined":
          return { kind: "not_run" };
        case "lost":
          return { kind: "lost" };
      }
    } finally {
      clearTimeout(timer);
      request.callerSignal.removeEventListener("abort", abort);
    }
  }

  /** Relays a peer's answer, unless another peer may serve the request. */
  async #relay(
    { method }: RoutedRequest,
    response: IncomingMessage,
    callerResponse: ServerResponse,
  ): Promise<PeerOutcome> {
    const status = response.statusCode ?? 0;
    const isSigned = response.headers[signatureHeader] !== undefined;
    if (status === unavailableStatus && !isSigned) {
      const read = await readResponseBody(response, this.#options.answers);
      if (read.kind !== "whole") return { kind: "not_run" };
      if (isNodesOwnRefusal(read.body)) {
        read.share.release();
        return { kind: "not_run" };
      }
      return endBuffered(callerResponse, { response, ...read });
    }
    callerResponse.writeHead(status, listResponseHeaders(response));
    // A node frames its answers: one that the end of its connection ends has
    // stopped, or is not a node's.
    const isFramed = !endsWithConnection(response, method);
    return await relayBody({ response, isFramed }, callerResponse)
      ? { kind: "ended", result: composeResult(status) }
      : { kind: "ended", result: composeResult(0) };
  }

  #fail(request: RoutedRequest, response: ServerResponse): RelayResult {
    const isOver = this.#options.clock.now() >= request.deadline;
    const reason = isOver ? "out_of_time" : "answer_lost";
    const reply = composeFailureReply(reason, {
      mayHaveRun: true,
      retryAfterMs: 0,
    });
    if (response.headersSent) abortResponse(response);
    else sendLocalReply(response, reply);
    return composeResult(reply.status);
  }
}

function endBuffered(
  callerResponse: ServerResponse,
  buffered: BufferedResponse,
): PeerOutcome {
  const status = sendBufferedResponse(callerResponse, buffered);
  return { kind: "ended", result: composeResult(status) };
}

/** The peer charges the caller, so that this node takes its charge back. */
function composeResult(status: number): RelayResult {
  return { status, reason: "handed_over", sends: 0, mayHaveRun: false };
}

/** Whether a refusal says something of the peer only. */
function isNodesOwnRefusal(body: Buffer): boolean {
  try {
    const reply: unknown = JSON.parse(body.toString("utf8"));
    return typeof reply === "object" && reply !== null && "kind" in reply &&
      nodesOwnRefusals.has(reply.kind);
  } catch {
    // A replica's text, which the peer has passed on.
    return false;
  }
}

/** An answer of a peer whose head was passed on. */
interface PeerAnswer {
  readonly response: IncomingMessage;
  /** Whether something else than its connection's end ends it. */
  readonly isFramed: boolean;
}

/** Passes a body on as it arrives; false if it is not framed or was cut off. */
function relayBody(
  { response, isFramed }: PeerAnswer,
  callerResponse: ServerResponse,
): Promise<boolean> {
  return new Promise((resolve) => {
    const cut = (): void => {
      if (!callerResponse.writableEnded) abortResponse(callerResponse);
      resolve(false);
    };
    response.on("end", () => {
      if (!response.complete || !isFramed) return cut();
      callerResponse.end();
      resolve(true);
    });
    response.on("error", cut);
    response.on("close", () => {
      if (!response.complete) cut();
    });
    callerResponse.on("close", () => {
      if (!response.complete) response.destroy();
    });
    response.pipe(callerResponse, { end: false });
    if (response.destroyed) cut();
  });
}

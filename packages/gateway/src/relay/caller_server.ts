/**
 * HTTP server for callers: handles each request from its headers to its final
 * response.
 *
 * Request bodies are buffered before they are sent, so that a request can be
 * retried and a replica never receives a truncated one.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { abortResponse } from "@almondcrank/common/abort_response.ts";
import { watchCaller } from "@almondcrank/common/caller_watch.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import { DrainableServer } from "@almondcrank/common/drainable_server.ts";
import { listen } from "@almondcrank/common/listen.ts";
import type { LogFields } from "@almondcrank/common/logs.ts";
import { waitForPoll } from "@almondcrank/common/poll_phase.ts";
import type { ServerConnections } from "@almondcrank/common/server_connections.ts";
import type { Configuration } from "@almondcrank/model/configuration.ts";
import { requestIdHeader } from "@almondcrank/platform/headers.ts";
import { isTakenDuringDrain } from "@almondcrank/routing/admission/drain_admission.ts";
import type { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import {
  type AdmissionContext,
  chargeTenant,
  chooseRoute,
  listAdmissionFields,
  readHeader,
  roundAge,
  type Routed,
} from "./request_admission.ts";
import { composeRequest, computeTimeoutMs } from "./request_composer.ts";
import { formatBareReply, handleClientError } from "./client_error.ts";
import { CallRelay } from "./call_relay.ts";
import { findQuarantine, listSuspects } from "./quarantine_check.ts";
import {
  composeLocalReply,
  type LocalReply,
  sendLocalReply,
  sendUnreadReply,
} from "./local_reply.ts";
import type { RelayResult, RelayServices } from "./relay_services.ts";
import {
  composeUnreadReply,
  type ReadBody,
  type RequestBodies,
  type UnreadBody,
} from "./request_bodies.ts";
import { isForwardable } from "./message_headers.ts";
import { RequestLog } from "./request_log.ts";
import { findResume } from "./stream_resume.ts";
import { RequestTrace } from "./request_trace.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { StreamRelay } from "./stream_relay.ts";
import type { StreamRegistry } from "./stream_registry.ts";

const connectionsCheckMs = 1_000;
const listenBacklog = 2_048;
const drainingRetryMs = 20;
/** Time after which a caller whose request was not read tries again. */
const busyRetryMs = 500;
/** Longest wait of a request for the first configuration and replicas. */
const initialSyncTimeoutMs = 250;

/** Dependencies of the server. */
export interface CallerServerOptions {
  readonly services: RelayServices;
  readonly registry: StreamRegistry;
  /** Connections of all servers of the process. */
  readonly connections: ServerConnections;
  /** Connections of callers that may be open. */
  readonly maxConnections: number;
  readonly bodies: RequestBodies;
  readonly rateLimiter: TenantRateLimiter;
  /** Reads the current state for admission. */
  readonly readContext: () => AdmissionContext;
  /** Whether the first configuration and replicas have arrived. */
  readonly isSynced: () => boolean;
  /** Waits for the first configuration and replicas. */
  readonly waitUntilSynced: (signal: AbortSignal) => Promise<void>;
}

/** A request and the response to it. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** A request whose body has arrived. */
interface ReadRequest extends
  Pick<
    RoutedRequest,
    "receivedAt" | "deadline" | "callerSignal" | "isHanded"
  > {
  /** Its route before the body arrived. */
  readonly early: Routed;
  readonly body: ReadBody;
}

/** Server for the callers of one node. */
export class CallerServer implements Disposable {
  readonly #options: CallerServerOptions;
  readonly #log: RequestLog;
  readonly #server: DrainableServer;
  #isClosing = false;
  #isClosed = false;
  /** Time at which a drain ends; undefined while there is none. */
  #endsAt: number | undefined;
  /** Responses to the requests in work. */
  readonly #running = new Set<ServerResponse>();

  private constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#log = RequestLog.create(options.services);
    this.#server = DrainableServer.create({
      connectionsCheckingInterval: connectionsCheckMs,
      noDelay: true,
    });
    this.#server.on(
      "request",
      (request, response) => void this.#handle(request, response),
    );
    this.#server.requestTimeout = 0;
    options.connections.guard(this.#server, {
      listener: "callers",
      busyText: formatBareReply(503, "Service Unavailable", busyRetryMs),
      maxConnections: options.maxConnections,
    });
    this.#server.on("clientError", handleClientError);
  }

  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Number of requests without a final response. */
  get running(): number {
    return this.#running.size;
  }

  /** Whether a request runs, or an answer has not left completely. */
  get isBusy(): boolean {
    return this.running > 0 || this.#server.isSending;
  }

  /** Listens on an address; rejects when it cannot be bound. */
  open(address: string): Promise<void> {
    const { log } = this.#options.services;
    return listen(this.#server, address, {
      backlog: listenBacklog,
      onError: ({ message }) =>
        log.error("the server for callers failed.", { reason: message }),
    });
  }

  /** Applies the limits of a configuration to new connections. */
  applyLimits({ limits }: Configuration): void {
    const server = this.#server as DrainableServer & { maxHeaderSize?: number };
    server.maxHeaderSize = limits.maxHeaderBytes;
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /**
   * Goes on serving until `endsAt`, a monotonic time, but closes each connection
   * after its next response.
   */
  drain(endsAt: number): void {
    this.#isClosing = true;
    this.#endsAt = endsAt;
  }

  /**
   * Answers all requests that still run, at the end of a drain: a closed connection
   * would tell their callers less. Streams that have begun are cut off.
   */
  failRunning(): void {
    for (const response of this.#running) {
      if (response.headersSent) abortResponse(response);
      else sendLocalReply(response, composeLocalReply(502, "answer_lost"));
    }
  }

  /**
   * Stops accepting connections, refuses new requests on open ones, and closes
   * idle ones. Requests that have arrived before are served. Call it again while
   * requests finish, to close the connections that become idle.
   */
  async close(): Promise<void> {
    this.#isClosing = true;
    await waitForPoll();
    this.#isClosed = true;
    if (this.#server.listening) this.#server.close();
    this.#server.closeIdleConnections();
  }

  dispose(): void {
    this.#isClosing = true;
    this.#isClosed = true;
    if (this.#server.listening) this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Handles a request that another node has handed over. */
  handleHanded(request: IncomingMessage, response: ServerResponse): void {
    void this.#handle(request, response, true);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    isHanded = false,
  ): Promise<void> {
    this.#running.add(response);
    // A write after the end of a connection is reported there.
    response.on("error", () => response.destroy());
    if (this.#isClosing) response.setHeader("Connection", "close");
    try {
      await this.#serve({ request, response }, isHanded);
    } catch (thrown) {
      const reason = thrown instanceof Error ? thrown.stack : String(thrown);
      const { log } = this.#options.services;
      log.error("request failed with an internal error.", { reason });
      if (response.headersSent) abortResponse(response);
      else sendLocalReply(response, composeLocalReply(502, "answer_lost"));
    } finally {
      this.#running.delete(response);
    }
  }

  async #serve(
    { request, response }: Exchange,
    isHanded: boolean,
  ): Promise<void> {
    const { services, readContext, bodies } = this.#options;
    const receivedAt = services.clock.now();
    if (this.#isClosed) {
      const reply = composeLocalReply(503, "draining", drainingRetryMs);
      return this.#refuse({ request, response }, reply);
    }
    if (!isForwardable(request)) {
      const reply = composeLocalReply(400, "malformed_request");
      return this.#refuse({ request, response }, reply);
    }
    const callerSignal = watchCaller(request, response);
    await this.#waitUntilSynced(callerSignal);
    const early = chooseRoute(request, readContext());
    if (early.kind === "refused") {
      return this.#refuseRoute({ request, response }, early.reply);
    }
    const { connections } = this.#options;
    connections.admit(request.socket, early.tenant?.name ?? early.route.name);
    const deadline = receivedAt + computeTimeoutMs(request, early);
    const body = await bodies.read(request, early, { receivedAt, deadline });
    if (body.kind !== "read") return this.#endUnread(request, response, body);
    try {
      await this.#serveRead({ request, response }, {
        early,
        body,
        receivedAt,
        deadline,
        callerSignal,
        isHanded,
      });
    } finally {
      body.release();
    }
  }

  /** Serves a request whose body has arrived. */
  async #serveRead(
    { request, response }: Exchange,
    { early, body, receivedAt, deadline, callerSignal, isHanded }: ReadRequest,
  ): Promise<void> {
    const { services, readContext } = this.#options;
    // The body may take long: the key may have been withdrawn meanwhile.
    const context = readContext();
    const isUnchanged = context.routes === early.routes &&
      context.hasFreshConfiguration;
    const found = isUnchanged ? early : chooseRoute(request, context);
    if (found.kind === "refused") {
      return this.#refuseRoute({ request, response }, found.reply);
    }
    const resume = await findResume(request, found, services);
    if (resume.kind === "refused") {
      return this.#refuse({ request, response }, resume.reply, resume.fields);
    }
    const { routed } = resume;
    if (!this.#isTaken(routed, deadline)) {
      const reply = composeLocalReply(503, "draining", drainingRetryMs);
      return this.#refuse({ request, response }, reply);
    }
    const { hasher } = services;
    const suspects = listSuspects(request, { routed, body: body.body, hasher });
    const blocked = findQuarantine(suspects, services);
    if (blocked !== undefined) {
      return this.#refuse({ request, response }, blocked.reply, blocked.fields);
    }
    const trace = RequestTrace.create(services.clock, receivedAt);
    const admitted = composeRequest(request, routed, {
      trace,
      suspects,
      body: body.body,
      receivedAt,
      deadline,
      callerSignal,
      resumedVersion: resume.version,
      versionDraw: services.random.next(),
      isHanded,
    });
    if (services.handOver.isDue(admitted)) {
      const handed = await services.handOver.run(admitted, response);
      if (handed !== undefined) return this.#log.recordEnd(admitted, handed);
    }
    const { rateLimiter } = this.#options;
    const now = services.clock.now();
    const charge = chargeTenant(rateLimiter, request, { ...routed, now });
    const fields = {
      ...listAdmissionFields(routed, context, charge.cost),
      ...rateLimiter.listInputs(routed.tenant?.name ?? "", now),
    };
    if (charge.refusal !== undefined) {
      return this.#refuse({ request, response }, charge.refusal, fields);
    }
    trace.record("request admitted.", {
      ...fields,
      fingerprint: suspects.own.at(-1),
    });
    this.#log.recordResume(admitted);
    services.budget.recordRequest(routed.service.name, receivedAt);
    const result = await this.#relay(admitted, response);
    if (!result.mayHaveRun && routed.tenant !== undefined) {
      rateLimiter.refund(routed.tenant, charge.cost);
    }
    this.#log.recordEnd(admitted, result);
  }

  /** Whether a request is taken; always, unless the node drains. */
  #isTaken({ route, service }: Routed, deadline: number): boolean {
    if (this.#endsAt === undefined) return true;
    const { clock, costs } = this.#options.services;
    const now = clock.now();
    return isTakenDuringDrain({
      leftMs: this.#endsAt - now,
      limitMs: deadline - now,
      usualStreamMs: costs.outputs.predictRunMs(service.name),
      route,
    });
  }

  /** Refuses a request with what is known of the configuration. */
  #refuseRoute(
    exchange: Exchange,
    reply: LocalReply,
  ): void {
    const { routes, configurationAgeMs } = this.#options.readContext();
    this.#refuse(exchange, reply, {
      configuration: routes?.configuration.version,
      configurationAgeMs: roundAge(configurationAgeMs),
    });
  }

  /** Waits until configuration and replicas have arrived, for a bounded time. */
  async #waitUntilSynced(callerSignal: AbortSignal): Promise<void> {
    const { isSynced, waitUntilSynced } = this.#options;
    // No signals are made for requests that need not wait.
    if (isSynced()) return;
    await waitUntilSynced(
      AbortSignal.any([
        callerSignal,
        AbortSignal.timeout(initialSyncTimeoutMs),
      ]),
    );
  }

  #relay(
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<RelayResult> {
    const { services, registry } = this.#options;
    switch (request.route.kind) {
      case "safe":
      case "unsafe":
        return CallRelay.create(services, request, response).run();
      case "stream":
        return StreamRelay.create(services, registry, { request, response })
          .run();
    }
  }

  /** Ends a request whose body could not be read. */
  #endUnread(
    request: IncomingMessage,
    response: ServerResponse,
    body: UnreadBody,
  ): void {
    if (body.kind === "gone") return void response.destroy();
    const reply = composeUnreadReply(body.kind);
    const id = readHeader(request, requestIdHeader);
    this.#log.recordRefusal(id, reply, body.fields);
    sendUnreadReply(response, reply);
  }

  #refuse(
    { request, response }: Exchange,
    reply: LocalReply,
    fields: LogFields = {},
  ): void {
    const id = readHeader(request, requestIdHeader);
    this.#log.recordRefusal(id, reply, fields);
    request.resume();
    sendLocalReply(response, reply);
  }
}

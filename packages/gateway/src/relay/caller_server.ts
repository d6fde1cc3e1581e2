/**
 * Listener of the callers: one task for each request, from its head to its final
 * answer.
 *
 * Request bodies are read whole before they are sent, so that a request can be
 * sent once more and a replica never sees half of one.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { LogFields } from "@almondcrank/common/logs.ts";
import type { Configuration } from "@almondcrank/model/configuration.ts";
import {
  lastEventIdHeader,
  parsePromptParts,
  parseTokenCount,
  promptPartsHeader,
  remainingTimeHeader,
  requestIdHeader,
  tokenCountHeader,
} from "@almondcrank/platform/headers.ts";
import type { TenantRateLimiter } from "../limits/tenant_rate_limiter.ts";
import {
  type AdmissionContext,
  chooseRoute,
  computeRequestCost,
  readHeader,
  type RoutingVerdict,
  takeAllowance,
} from "./request_admission.ts";
import { CallRelay } from "./call_relay.ts";
import { listForwardedHeaders } from "./message_headers.ts";
import {
  composeLocalReply,
  type LocalReply,
  sendLocalReply,
} from "./local_reply.ts";
import type { RelayResult, RelayServices } from "./relay_services.ts";
import { type BodyResult, readRequestBody } from "./request_body.ts";
import { RequestLog } from "./request_log.ts";
import { RequestTrace } from "./request_trace.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { StreamRelay } from "./stream_relay.ts";
import type { StreamRegistry } from "./stream_registry.ts";

const connectionsCheckMs = 1_000;
const listenBacklog = 2_048;
const lowestRank = 9;
const retryElsewhereMs = 20;
/** Longest wait for the first copies of the store. */
const firstCopiesMs = 250;

/** What the front needs. */
export interface CallerServerOptions {
  readonly services: RelayServices;
  readonly registry: StreamRegistry;
  readonly allowances: TenantRateLimiter;
  /** What is believed now; read at each request. */
  readonly readContext: () => AdmissionContext;
  /** Waits for the first configuration and replicas. */
  readonly waitUntilSynced: (signal: AbortSignal) => Promise<void>;
}

type Routed = Extract<RoutingVerdict, { readonly kind: "routed" }>;

/** Front of one node. */
export class CallerServer implements Disposable {
  readonly #options: CallerServerOptions;
  readonly #log: RequestLog;
  readonly #server: Server;
  #isClosing = false;
  #isClosed = false;
  #running = 0;

  private constructor(options: CallerServerOptions) {
    this.#options = options;
    const { clock, log } = options.services;
    this.#log = RequestLog.create(clock, log);
    this.#server = createServer(
      { connectionsCheckingInterval: connectionsCheckMs, noDelay: true },
      (request, response) => void this.#handle(request, response),
    );
    this.#server.requestTimeout = 0;
    this.#server.on("clientError", closeBadConnection);
  }

  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Number of requests without a final answer. */
  get running(): number {
    return this.#running;
  }

  /** Listens on an address; rejects when it cannot be bound. */
  open(address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(
        { host: host ?? "0.0.0.0", port: Number(port), backlog: listenBacklog },
        () => {
          this.#server.off("error", reject);
          this.#server.on("error", (error) => {
            this.#options.services.log.error("the callers' listener failed.", {
              reason: error.message,
            });
          });
          resolve();
        },
      );
    });
  }

  /** Takes over the limits of a configuration for new connections. */
  applyLimits({ limits }: Configuration): void {
    const server = this.#server as Server & { maxHeaderSize?: number };
    server.maxHeaderSize = limits.maxHeaderBytes;
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Answers go on, each as the last of its connection. */
  drain(): void {
    this.#isClosing = true;
  }

  /**
   * Accepts no more connections, refuses new requests on those that remain, and
   * closes the idle ones. To be called again while requests finish, since their
   * connections turn idle.
   */
  close(): void {
    this.#isClosing = true;
    this.#isClosed = true;
    if (this.#server.listening) this.#server.close();
    this.#server.closeIdleConnections();
  }

  dispose(): void {
    this.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#running += 1;
    if (this.#isClosing) response.setHeader("Connection", "close");
    try {
      await this.#serve(request, response);
    } catch (thrown) {
      const reason = thrown instanceof Error ? thrown.stack : String(thrown);
      const { log } = this.#options.services;
      log.error("request failed for a fault of this program.", { reason });
      if (response.headersSent) response.destroy();
      else sendLocalReply(response, composeLocalReply(502, "answer_lost"));
    } finally {
      this.#running -= 1;
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { services, readContext: readView, waitUntilSynced: waitComplete } =
      this.#options;
    const receivedAt = services.clock.now();
    if (this.#isClosed) {
      const answer = composeLocalReply(503, "draining", retryElsewhereMs);
      return this.#refuse({ request, response }, answer);
    }
    const callerGone = watchCaller(response);
    // Right after a start the copies of the store arrive within milliseconds.
    await waitComplete(
      AbortSignal.any([callerGone, AbortSignal.timeout(firstCopiesMs)]),
    );
    const view = readView();
    const routed = chooseRoute(request, view);
    if (routed.kind === "refused") {
      return this.#refuse({ request, response }, routed.answer, {
        configuration: view.routes?.configuration.version,
        configurationAgeMs: roundAge(view.configurationAgeMs),
      });
    }
    const endsAt = receivedAt + computeTimeMs(request, routed);
    const body = await readRequestBody(request, {
      maxBytes: routed.routes.configuration.limits.maxBodyBytes,
      timeoutMs: Math.max(1, endsAt - receivedAt),
    });
    if (body.kind !== "read") return this.#endUnread(request, response, body);
    const charge = this.#charge(request, routed);
    const inputs = this.#listInputs(routed, view, charge.cost);
    if (charge.refusal !== undefined) {
      return this.#refuse({ request, response }, charge.refusal, inputs);
    }
    const trace = RequestTrace.create(services.clock, receivedAt);
    trace.record("request admitted.", inputs);
    const admitted = composeRequest(request, routed, {
      trace,
      body: body.body,
      receivedAt,
      deadline: endsAt,
      callerSignal: callerGone,
    });
    services.budget.recordRequest(routed.service.name, receivedAt);
    const result = await this.#relay(admitted, response);
    if (!result.mayHaveRun && routed.tenant !== undefined) {
      this.#options.allowances.refund(routed.tenant, charge.cost);
    }
    this.#recordEnd(admitted, result);
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

  #charge(
    request: IncomingMessage,
    { tenant, route }: Routed,
  ): { readonly cost: number; readonly refusal: LocalReply | undefined } {
    if (tenant === undefined) return { cost: 0, refusal: undefined };
    const { services, allowances } = this.#options;
    const cost = computeRequestCost(request, tenant);
    const now = services.clock.now();
    const { priority: rank } = route;
    const refusal = takeAllowance(allowances, tenant, {
      cost,
      priority: rank,
      now,
    });
    return { cost, refusal };
  }

  /** What the admission of a request went by. */
  #listInputs(
    { route, tenant }: Routed,
    view: AdmissionContext,
    cost: number,
  ): LogFields {
    return {
      route: route.name,
      tenant: tenant?.name,
      rank: route.priority,
      cost,
      allowanceLeft: this.#options.allowances.readLevel(tenant?.name ?? ""),
      configuration: view.routes?.configuration.version,
      configurationAgeMs: roundAge(view.configurationAgeMs),
    };
  }

  #endUnread(
    request: IncomingMessage,
    response: ServerResponse,
    body: Exclude<BodyResult, { readonly kind: "read" }>,
  ): void {
    switch (body.kind) {
      case "gone":
        response.destroy();
        return;
      case "too_large":
        response.setHeader("Connection", "close");
        return this.#refuse(
          { request, response },
          composeLocalReply(413, "body_too_large"),
        );
      case "timeout":
        response.setHeader("Connection", "close");
        return this.#refuse(
          { request, response },
          composeLocalReply(408, "body_timeout"),
        );
    }
  }

  #refuse(
    { request, response }: {
      readonly request: IncomingMessage;
      readonly response: ServerResponse;
    },
    answer: LocalReply,
    inputs: LogFields = {},
  ): void {
    const { metrics } = this.#options.services;
    metrics.count("refusals_total", { reason: answer.reason });
    const id = readHeader(request, requestIdHeader);
    this.#log.recordRefusal(id, answer, inputs);
    request.resume();
    sendLocalReply(response, answer);
  }

  #recordEnd(request: RoutedRequest, result: RelayResult): void {
    const { metrics, clock } = this.#options.services;
    const { route } = request;
    const labels = { kind: route.kind, reason: result.reason };
    metrics.count("requests_total", labels);
    const ms = clock.now() - request.receivedAt;
    metrics.recordDuration("request_seconds", ms, { kind: route.kind });
    this.#log.recordEnd(request, result);
  }
}

/** An age for the log; left out while nothing was ever proven. */
function roundAge(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
}

/** Time until the final answer: the caller's deadline or the route's timeout. */
function computeTimeMs(request: IncomingMessage, { route }: Routed): number {
  const stated = Number(readHeader(request, remainingTimeHeader));
  const callerMs = Number.isFinite(stated) && stated > 0 ? stated : Infinity;
  const maxTimerMs = 2_147_483_647;
  return Math.min(callerMs, route.timeoutMs, maxTimerMs);
}

function composeRequest(
  request: IncomingMessage,
  { route, service, tenant }: Routed,
  rest: Pick<
    RoutedRequest,
    "body" | "receivedAt" | "endsAt" | "callerGone" | "trace"
  >,
): RoutedRequest {
  const count = parseTokenCount(readHeader(request, tokenCountHeader));
  const parts = parsePromptParts(readHeader(request, promptPartsHeader));
  const resumeAfter = Number(readHeader(request, lastEventIdHeader));
  const rank = tenant?.priority ?? route.priority;
  return {
    ...rest,
    id: readHeader(request, requestIdHeader),
    route,
    service,
    tenant,
    priority: Math.max(0, Math.min(lowestRank, rank)),
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: listForwardedHeaders(request, rest.body.length),
    promptParts: parts,
    promptTokens: count?.prompt ??
      parts.reduce((sum, part) => sum + part.tokens, 0),
    resumeAfter: Number.isInteger(resumeAfter) ? resumeAfter : undefined,
  };
}

/** Signal that aborts when the caller closes its connection too early. */
function watchCaller(response: ServerResponse): AbortSignal {
  const aborter = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) aborter.abort();
  });
  return aborter.signal;
}

function closeBadConnection(
  error: NodeJS.ErrnoException,
  socket: unknown,
): void {
  const connection = socket as Socket;
  if (!connection.writable || error.code === "ECONNRESET") {
    connection.destroy();
    return;
  }
  const status = error.code === "HPE_HEADER_OVERFLOW"
    ? "431 Request Header Fields Too Large"
    : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "408 Request Timeout"
    : "400 Bad Request";
  connection.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}

/**
 * Routes of the callers' listener. A request is authenticated before anything
 * else of it is read, then passed to the handler of its kind of service.
 */

import type { Team } from "@almondcrank/common/configuration.ts";
import {
  type HttpExchange,
  type HttpRoute,
  sendJson,
} from "@almondcrank/common/http_server.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { Refusal } from "@almondcrank/routing/admission/refusal.ts";
import type { TeamDirectory } from "./authentication.ts";
import type { ChatHandler } from "./chat_handler.ts";
import type { PlainHandler } from "./plain_handler.ts";
import { sendBadRequest, sendRefusal } from "./error_response.ts";
import type { RequestCounter } from "./request_counter.ts";

const notReadyRetryMs = 1_000;

/** Whether the node accepts requests; the answer of `GET /readyz`. */
export type Readiness =
  | { readonly kind: "ready" }
  | { readonly kind: "starting"; readonly reason: string }
  | { readonly kind: "draining" };

/** Options of `createCallersRoutes`. */
export interface CallersRoutesOptions {
  readonly teams: TeamDirectory;
  readonly chat: ChatHandler;
  readonly plain: PlainHandler;
  readonly requests: RequestCounter;
  readonly metrics: Metrics;
  /** Connections of all servers of the process. */
  readonly connections: ServerConnections;
  readonly readiness: () => Readiness;
}

type TeamHandler = (
  exchange: HttpExchange,
  team: Team,
) => Promise<void> | void;

/** Creates the routes of the callers' listener. */
export function createCallersRoutes(
  options: CallersRoutesOptions,
): readonly HttpRoute[] {
  const { chat, plain } = options;
  const guard = (handle: TeamHandler) => requireTeam(options, handle);
  const handleChat = guard((exchange, team) => chat.handle(exchange, team));
  return [
    { method: "POST", path: "/v1/chat/completions", handle: handleChat },
    { method: "GET", path: "/v1/chat/completions", handle: handleChat },
    {
      method: "GET",
      path: "/v1/models",
      handle: guard((exchange) => chat.listModels(exchange)),
    },
    {
      method: "POST",
      path: "/v1/idempotency-keys",
      handle: guard((exchange, team) => plain.issueKey(exchange, team)),
    },
    {
      method: "ALL",
      path: "/services/:name/*",
      handle: guard((exchange, team) => plain.handle(exchange, team)),
    },
    ...createHealthRoutes(options.readiness),
  ];
}

/** Creates the routes for liveness (`/healthz`) and readiness (`/readyz`). */
export function createHealthRoutes(
  readiness: () => Readiness,
): readonly HttpRoute[] {
  return [
    {
      method: "GET",
      path: "/healthz",
      handle: ({ response }) => sendJson(response, 200, { status: "live" }),
    },
    {
      method: "GET",
      path: "/readyz",
      handle: ({ response }) => {
        const state = readiness();
        sendJson(response, state.kind === "ready" ? 200 : 503, state);
      },
    },
  ];
}

/**
 * Wraps a handler: answers 401 without a known bearer key, and 503 unless the
 * node is ready or the request resumes a stream.
 */
function requireTeam(
  options: CallersRoutesOptions,
  handle: TeamHandler,
): (exchange: HttpExchange) => Promise<void> {
  return async (exchange) => {
    const team = options.teams.find(exchange.request);
    if (team === undefined) {
      options.metrics.count("almondcrank_refusals_total", {
        reason: "unknown_team",
      });
      exchange.response.setHeader("connection", "close");
      return sendBadRequest(exchange.response, {
        status: 401,
        kind: "unknown_team",
        message: "bearer key is missing or unknown; send your team's key",
      });
    }
    options.connections.admit(exchange.request.socket, team.name);
    const state = options.readiness();
    if (state.kind === "ready" || exchange.request.headers["last-event-id"]) {
      return await options.requests.run(() =>
        Promise.resolve(handle(exchange, team))
      );
    }
    options.metrics.count("almondcrank_refusals_total", { reason: state.kind });
    exchange.response.setHeader("connection", "close");
    sendRefusal(exchange.response, createNotReadyRefusal(state));
  };
}

function createNotReadyRefusal(state: Readiness): Refusal {
  const message = state.kind === "starting"
    ? `this node is starting (${state.reason}); send the request to another node`
    : "this node is draining; send the request to another node";
  return Refusal.create({
    kind: "draining",
    run: "not_run",
    retryAfterMs: notReadyRetryMs,
    message,
  });
}

/**
 * The listener for callers: authentication, then the fronts of both kinds of
 * services. A team is known before anything else of its request is looked at.
 */

import type { Team } from "@almondcrank/common/configuration.ts";
import {
  type HttpExchange,
  type HttpRoute,
  sendJson,
} from "@almondcrank/common/http_server.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import { Refusal } from "@almondcrank/routing/admission/refusal.ts";
import type { TeamDirectory } from "./authentication.ts";
import type { ChatHandler } from "./chat_handler.ts";
import type { PlainHandler } from "./plain_handler.ts";
import { sendBadRequest, sendRefusal } from "./error_response.ts";
import type { RequestCounter } from "./request_counter.ts";

const drainingRetryMs = 1_000;

/** Whether the node can take requests. */
export type Readiness =
  | { readonly kind: "ready" }
  | { readonly kind: "starting"; readonly reason: string }
  | { readonly kind: "draining" };

/** Services that the callers' routes work with. */
export interface CallersRoutesOptions {
  readonly teams: TeamDirectory;
  readonly chat: ChatHandler;
  readonly plain: PlainHandler;
  readonly requests: RequestCounter;
  readonly metrics: Metrics;
  readonly readiness: () => Readiness;
}

type TeamHandler = (
  exchange: HttpExchange,
  team: Team,
) => Promise<void> | void;

/** Routes of the callers' listener. */
export function createCallersRoutes(
  options: CallersRoutesOptions,
): readonly HttpRoute[] {
  const { chat, plain } = options;
  const guard = (handle: TeamHandler) => createGuarded(options, handle);
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

/** Routes that tell whether the process lives and takes requests. */
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

function createGuarded(
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
    const state = options.readiness();
    if (state.kind === "ready" || exchange.request.headers["last-event-id"]) {
      return await options.requests.run(() =>
        Promise.resolve(handle(exchange, team))
      );
    }
    options.metrics.count("almondcrank_refusals_total", { reason: state.kind });
    exchange.response.setHeader("connection", "close");
    sendRefusal(exchange.response, createNotReady(state));
  };
}

function createNotReady(state: Readiness): Refusal {
  const message = state.kind === "starting"
    ? `this node is starting (${state.reason}); ask another node`
    : "this node is leaving; ask another node";
  return Refusal.create({
    kind: "draining",
    run: "not_run",
    retryAfterMs: drainingRetryMs,
    message,
  });
}

/**
 * Routes of the operators' listener: release notes, status, drains, metrics.
 *
 * Commands require the operators' key. Metrics and health need none, so that
 * the platform's monitoring can read them.
 */

import { type Either, EitherAsync } from "purify-ts";
import type { z } from "zod";
import type { ConfigurationSource } from "@almondcrank/common/configuration.ts";
import { sendWhole } from "@almondcrank/common/ending_connections.ts";
import {
  type BodyError,
  type HttpExchange,
  type HttpRoute,
  parseJsonBody,
  sendJson,
} from "@almondcrank/common/http_server.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { ServerConnections } from "@almondcrank/common/server_connections.ts";
import { formatChange } from "@almondcrank/fleet/configuration_diff.ts";
import type { ReleaseError } from "@almondcrank/fleet/release_error.ts";
import { parseReleaseNote } from "@almondcrank/fleet/release_note.ts";
import { applyNote } from "@almondcrank/fleet/release_plan.ts";
import type {
  AppliedRelease,
  ReleaseRequest,
} from "@almondcrank/fleet/release_writer.ts";
import { hasBearerKey } from "./authentication.ts";
import { createHealthRoutes, type Readiness } from "./callers_routes.ts";
import { formatError, formatIssues } from "./chat_protocol.ts";
import type { ListenerBodies } from "./listener_bodies.ts";
import {
  applyRequestSchema,
  diffRequestSchema,
  drainRequestSchema,
  type NodeStatus,
  type StreamList,
} from "./operator_messages.ts";
import { sendBadRequest, sendBodyError } from "./error_response.ts";

/** Options of `createOperatorsRoutes`. */
export interface OperatorsRoutesOptions {
  readonly operatorKey: string;
  readonly configuration: ConfigurationSource;
  readonly metrics: Metrics;
  readonly bodies: ListenerBodies;
  /** Connections of all servers of the process. */
  readonly connections: ServerConnections;
  readonly readiness: () => Readiness;
  readonly readStatus: () => NodeStatus;
  readonly listStreams: () => StreamList;
  readonly apply: (
    request: ReleaseRequest,
  ) => Promise<Either<ReleaseError, AppliedRelease>>;
  /** Drains the node of that name; `Left` is an error message. */
  readonly drain: (node: string) => Promise<Either<string, void>>;
}

/** Creates the routes of the operators' listener. */
export function createOperatorsRoutes(
  options: OperatorsRoutesOptions,
): readonly HttpRoute[] {
  const { metrics } = options;
  const guard = (handle: HttpRoute["handle"]): HttpRoute["handle"] =>
    requireOperatorKey(options, handle);
  return [
    ...createHealthRoutes(options.readiness),
    {
      method: "GET",
      path: "/metrics",
      handle: ({ response }) => {
        options.connections.recordMetrics(metrics, "almondcrank_");
        sendWhole(response, {
          status: 200,
          headers: { "content-type": "text/plain; version=0.0.4" },
          body: metrics.format(),
        });
      },
    },
    {
      method: "GET",
      path: "/status",
      handle: guard(({ response }) =>
        sendJson(response, 200, options.readStatus())
      ),
    },
    {
      method: "GET",
      path: "/streams",
      handle: guard(({ response }) =>
        sendJson(response, 200, options.listStreams())
      ),
    },
    {
      method: "GET",
      path: "/configuration",
      handle: guard(({ response }) =>
        sendJson(response, 200, options.configuration.current())
      ),
    },
    {
      method: "POST",
      path: "/diff",
      handle: guard((exchange) =>
        runWithBody(options, exchange, {
          schema: diffRequestSchema,
          handle: (request) => handleDiff(options, exchange, request),
        })
      ),
    },
    {
      method: "POST",
      path: "/apply",
      handle: guard((exchange) =>
        runWithBody(options, exchange, {
          schema: applyRequestSchema,
          handle: (request) => handleApply(options, exchange, request),
        })
      ),
    },
    {
      method: "POST",
      path: "/drain",
      handle: guard((exchange) =>
        runWithBody(options, exchange, {
          schema: drainRequestSchema,
          handle: (request) => handleDrain(options, exchange, request),
        })
      ),
    },
  ];
}

/** Wraps a handler: answers 401 without the operators' key. */
function requireOperatorKey(
  options: OperatorsRoutesOptions,
  handle: HttpRoute["handle"],
): HttpRoute["handle"] {
  return async (exchange) => {
    if (hasBearerKey(exchange.request, options.operatorKey)) {
      return await handle(exchange);
    }
    options.metrics.count("almondcrank_refusals_total", {
      path: "operators",
      reason: "unknown_operator",
    });
    exchange.response.setHeader("connection", "close");
    sendBadRequest(exchange.response, {
      status: 401,
      kind: "unknown_operator",
      message:
        "operators' key is missing or wrong; set ALMONDCRANK_OPERATOR_KEY",
    });
  };
}

/** Handles a request with its checked body; sends the error if it is invalid. */
function runWithBody<T>(
  { bodies }: OperatorsRoutesOptions,
  exchange: HttpExchange,
  { schema, handle }: {
    readonly schema: z.ZodType<T>;
    readonly handle: (request: T) => Promise<void> | void;
  },
): Promise<void> {
  return bodies.run(exchange, {
    priority: 0,
    handle: async (body) => {
      const request = parseCheckedBody(exchange, body, schema);
      if (request !== undefined) await handle(request);
    },
  });
}

/** Checks a body; when it is invalid, sends the error and returns undefined. */
function parseCheckedBody<T>(
  exchange: HttpExchange,
  body: Buffer,
  schema: z.ZodType<T>,
): T | undefined {
  const value = parseJsonBody(body);
  if (value.isLeft()) {
    sendBodyError(exchange, value.extract() as BodyError);
    return undefined;
  }
  const parsed = schema.safeParse(value.extract());
  if (parsed.success) return parsed.data;
  sendBadRequest(exchange.response, {
    status: 400,
    kind: "bad_request",
    message: `${formatIssues(parsed.error)}; correct the request`,
  });
  return undefined;
}

function handleDiff(
  options: OperatorsRoutesOptions,
  exchange: HttpExchange,
  request: z.infer<typeof diffRequestSchema>,
): void {
  const current = options.configuration.current();
  const plan = parseReleaseNote(request.text, request.file)
    .chain((note) => applyNote(note, current));
  plan.caseOf({
    Left: (error) => sendReleaseError(exchange, error),
    Right: ({ changes }) =>
      sendJson(exchange.response, 200, {
        base: current.revision,
        changes: changes.map(formatChange),
      }),
  });
}

async function handleApply(
  options: OperatorsRoutesOptions,
  exchange: HttpExchange,
  request: z.infer<typeof applyRequestSchema>,
): Promise<void> {
  const base = request.base ?? options.configuration.current().revision;
  const note = parseReleaseNote(request.text, request.file);
  const applied = await EitherAsync.fromPromise(() => Promise.resolve(note))
    .chain((parsed) =>
      options.apply({ note: parsed, base, writeId: request.writeId })
    );
  applied.caseOf({
    Left: (error) => sendReleaseError(exchange, error),
    Right: ({ revision }) => sendJson(exchange.response, 200, { revision }),
  });
}

async function handleDrain(
  options: OperatorsRoutesOptions,
  exchange: HttpExchange,
  request: z.infer<typeof drainRequestSchema>,
): Promise<void> {
  const drained = await options.drain(request.node);
  drained.caseOf({
    Left: (message) =>
      sendBadRequest(exchange.response, {
        status: 404,
        kind: "unknown_node",
        message,
      }),
    Right: () =>
      sendJson(exchange.response, 202, {
        kind: "draining",
        node: request.node,
      }),
  });
}

function sendReleaseError(exchange: HttpExchange, error: ReleaseError): void {
  const { detail } = error;
  const run = detail.kind === "outcome_unknown" ? "unknown" : "not_run";
  sendJson(exchange.response, findReleaseStatus(error), {
    error: {
      ...formatError({ kind: detail.kind, message: error.message, run }),
      ...(detail.kind === "conflict" ? { changes: detail.changes } : {}),
      ...(detail.kind === "invalid_note"
        ? { faults: detail.cause.detail.faults }
        : {}),
    },
  });
}

function findReleaseStatus({ detail }: ReleaseError): number {
  switch (detail.kind) {
    case "invalid_note":
      return 400;
    case "conflict":
      return 409;
    case "too_large":
      return 413;
    case "outcome_unknown":
      return 504;
    case "platform":
      return 503;
  }
}

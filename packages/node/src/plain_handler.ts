/**
 * Handler of calls to plain services: forwards them and issues idempotency
 * keys.
 */

import { watchCaller } from "@almondcrank/common/caller_watch.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  PlainService,
  Team,
} from "@almondcrank/common/configuration.ts";
import {
  type HttpExchange,
  sendJson,
} from "@almondcrank/common/http_server.ts";
import type { PlainAnswer } from "@almondcrank/endpoint/plain_service.ts";
import type { PlainRouter } from "@almondcrank/routing/routers/plain_router.ts";
import { sendBadRequest, sendRefusal } from "./error_response.ts";
import type { ListenerBodies } from "./listener_bodies.ts";
import { readTimeout } from "./request_timeout.ts";

/** Longest idempotency key accepted, in characters. */
const maxKeyLength = 512;

/** Options of `PlainHandler`. */
export interface PlainHandlerOptions {
  readonly configuration: ConfigurationSource;
  readonly router: PlainRouter;
  readonly clock: Clock;
  readonly bodies: ListenerBodies;
}

/** Handles the callers' requests to plain services. */
export class PlainHandler {
  readonly #options: PlainHandlerOptions;

  private constructor(options: PlainHandlerOptions) {
    this.#options = options;
  }

  static create(options: PlainHandlerOptions): PlainHandler {
    return new PlainHandler(options);
  }

  /** Issues an idempotency key for one call; this process owns the key. */
  issueKey(exchange: HttpExchange, team: Team): void {
    exchange.request.resume();
    this.#options.router.issueKey(team).caseOf({
      Left: (refusal) => sendRefusal(exchange.response, refusal),
      Right: (key) => sendJson(exchange.response, 201, { key }),
    });
  }

  /** Forwards one call and sends its answer or the refusal. */
  async handle(exchange: HttpExchange, team: Team): Promise<void> {
    const { request, response } = exchange;
    const service = this.#findService(exchange.parameters["name"] ?? "");
    if (service === undefined) {
      request.resume();
      return sendBadRequest(response, {
        status: 404,
        kind: "unknown_service",
        message: `no plain service "${
          exchange.parameters["name"]
        }"; ask the operators for its name`,
      });
    }
    const key = request.headers["idempotency-key"];
    if (typeof key === "string" && (key === "" || key.length > maxKeyLength)) {
      request.resume();
      return sendBadRequest(response, {
        status: 422,
        kind: "bad_key",
        message:
          `idempotency-key is empty or longer than ${maxKeyLength} characters; send a shorter one`,
      });
    }
    const callerSignal = watchCaller(request, response);
    const deadline = this.#options.clock.now() +
      readTimeout(request, service.timeoutMs);
    await this.#options.bodies.run(exchange, {
      priority: team.priority,
      group: team.name,
      handle: async (body) => {
        const answer = await this.#options.router.call({
          team,
          service,
          method: request.method ?? "GET",
          path: computeEndpointPath(request.url ?? "/"),
          contentType: request.headers["content-type"],
          body,
          key: typeof key === "string" ? key : undefined,
          deadline,
        }, callerSignal);
        answer.caseOf({
          Left: (refusal) => sendRefusal(response, refusal),
          Right: (whole) => sendAnswer(exchange, whole),
        });
      },
    });
  }

  #findService(name: string): PlainService | undefined {
    const found = this.#options.configuration.current().services.find(
      (service) => service.name === name,
    );
    return found?.kind === "plain" ? found : undefined;
  }
}

/**
 * Computes the path and query that the endpoint receives: those below
 * `/services/NAME`, where NAME may be percent-encoded.
 */
export function computeEndpointPath(url: string): string {
  return url.replace(/^\/services\/[^/?]*/, "").replace(/^(?!\/)/, "/");
}

function sendAnswer(exchange: HttpExchange, answer: PlainAnswer): void {
  exchange.response.writeHead(answer.status, {
    "content-length": answer.body.length,
    "x-run": "ran",
    ...(answer.contentType === undefined
      ? {}
      : { "content-type": answer.contentType }),
  });
  exchange.response.end(answer.body);
}

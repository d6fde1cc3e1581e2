/**
 * HTTP server of one stand-in: its API routes with faults applied, and the
 * control API below `/control`.
 *
 * Handlers return their answer instead of sending it, so that an answer can be
 * lost after the call took effect. Faults do not apply to control calls; while
 * an outage keeps the listener closed, they arrive through `callControl`.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import type { Either } from "purify-ts";
import type { Address } from "@almondcrank/common/address.ts";
import { unboundedShare } from "@almondcrank/common/body_budget.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import {
  type BodyError,
  type HttpExchange,
  type HttpRoute,
  HttpServer,
  parseJsonBody,
  readBody,
  sendJson,
} from "@almondcrank/common/http_server.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import { callIdHeader } from "@almondcrank/endpoint/call_id.ts";
import type { CommonFaults } from "./fault_settings.ts";
import type { FaultInjector } from "./fault_injector.ts";

const reopenRetryMs = 50;
const maxReopenAttempts = 100;
const maxPartBodyBytes = 8_388_608;
const emptyBody = new Uint8Array(0);

/** Answer of a handler. */
export type PartAnswer =
  | {
    readonly kind: "json";
    readonly status: number;
    readonly value: unknown;
    readonly headers?: Readonly<Record<string, string>>;
  }
  /** The handler writes to the response itself. */
  | { readonly kind: "streamed" }
  /** The connection is cut with no answer. */
  | { readonly kind: "cut" };

/** Creates a JSON answer. */
export function createAnswer(
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): PartAnswer {
  return { kind: "json", status, value, headers };
}

/** One call to a part's API, with its whole body. */
export interface PartCall extends HttpExchange {
  readonly body: Uint8Array;
}

/** One route of a part's API. */
export interface PartRoute {
  readonly method: HttpRoute["method"];
  readonly path: string;
  readonly handle: (call: PartCall) => Promise<PartAnswer> | PartAnswer;
}

/** One call to a part's control API. */
export interface ControlCall {
  readonly method: string;
  /** `/control` or a path below it. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}

/** Handlers of control calls by method and path, as `POST /control/reclaim`. */
export type ControlHandlers = Readonly<
  Record<string, (call: ControlCall) => PartAnswer>
>;

/** One running stand-in: a platform service or an endpoint. */
export interface Part extends Disposable {
  readonly name: string;
  readonly address: Address;
  /** Handles a control call, also while the part's own listener is closed. */
  callControl(call: ControlCall): PartAnswer;
}

/** Options of a part's server. */
export interface PartServerOptions {
  readonly address: Address;
  readonly clock: Clock;
  readonly faults: FaultInjector<CommonFaults>;
  readonly routes: readonly PartRoute[];
  readonly controls?: ControlHandlers;
}

/** HTTP server of one part. */
export class PartServer implements Disposable {
  readonly #store = DisposableStore.create();
  readonly #options: PartServerOptions;
  #server: HttpServer | undefined;
  #address: Address;
  #isApplyingOutage = false;
  #disposed = false;

  private constructor(options: PartServerOptions) {
    this.#options = options;
    this.#address = options.address;
    this.#store.register(options.faults);
    this.#store.register(
      options.faults.onChange(() => void this.#applyOutage()),
    );
  }

  static async open(options: PartServerOptions): Promise<PartServer> {
    const server = new PartServer(options);
    await server.#openListener();
    return server;
  }

  /** Bound address, kept while the listener is closed by an outage. */
  get address(): Address {
    return this.#address;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#server?.connections ?? 0;
  }

  /** Handles one control call; answers 404 when it has no handler. */
  callControl(call: ControlCall): PartAnswer {
    const { faults, controls } = this.#options;
    const operation = `${call.method} ${call.path}`;
    if (operation === "GET /control") return createAnswer(200, faults.settings);
    if (operation === "POST /control") {
      return faults.apply(call.body).caseOf({
        Left: (message) => createControlError(message),
        Right: (settings) => createAnswer(200, settings),
      });
    }
    const handle = controls?.[operation];
    if (handle !== undefined) return handle(call);
    const knownOperations = ["GET /control", "POST /control"]
      .concat(Object.keys(controls ?? {})).join(", ");
    return createControlError(
      `no control call "${operation}"; use ${knownOperations}`,
      404,
    );
  }

  dispose(): void {
    if (this.#disposed) return;
    this.#disposed = true;
    this.#server?.dispose();
    this.#store.dispose();
  }

  async #openListener(): Promise<void> {
    const routes: HttpRoute[] = this.#options.routes.map((route) => ({
      method: route.method,
      path: route.path,
      handle: (exchange) => this.#handle(route, exchange),
    }));
    for (const path of ["/control", "/control/*"]) {
      routes.unshift({
        method: "ALL",
        path,
        handle: (exchange) => this.#handleControl(exchange),
      });
    }
    this.#server = await HttpServer.open({
      address: this.#address,
      routes,
      limits: { maxBodyBytes: maxPartBodyBytes },
    });
    this.#address = this.#server.address;
  }

  /** Closes or reopens the listener as the outage in force requires. */
  async #applyOutage(): Promise<void> {
    if (this.#isApplyingOutage || this.#disposed) return;
    this.#isApplyingOutage = true;
    try {
      for (let attempt = 0; attempt < maxReopenAttempts; attempt++) {
        const wantsOpen = this.#options.faults.outage !== "refuse";
        if (this.#disposed || wantsOpen === (this.#server !== undefined)) break;
        if (wantsOpen) await this.#openAgain();
        else await this.#closeListener();
      }
    } finally {
      this.#isApplyingOutage = false;
    }
    if (this.#disposed) await this.#closeListener();
  }

  /** Closes the listener once the call that asked for it is answered. */
  async #closeListener(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    this.#server?.dispose();
    this.#server = undefined;
  }

  async #openAgain(): Promise<void> {
    try {
      await this.#openListener();
    } catch {
      // Another socket may hold the port briefly.
      await this.#options.clock.sleep(reopenRetryMs);
    }
  }

  async #handle(route: PartRoute, exchange: HttpExchange): Promise<void> {
    const { faults, clock } = this.#options;
    const { request, response } = exchange;
    const callId = request.headers[callIdHeader];
    if (callId !== undefined) response.setHeader(callIdHeader, callId);
    const outage = faults.outage;
    switch (outage) {
      case "none":
        break;
      case "error":
        sendJson(response, 503, { reason: "outage" });
        return;
      case "hang":
        await faults.waitForOutageEnd("hang");
        response.destroy();
        return;
      case "refuse":
        response.destroy();
        return;
    }
    // A delayed call still runs when its caller has disconnected meanwhile.
    const body = await readCallBody(request);
    if (body === undefined) {
      response.destroy();
      return;
    }
    if (faults.settings.frozen) await faults.waitUntilThawed();
    const { slowMs } = faults.settings;
    if (slowMs > 0) await clock.sleep(slowMs);
    const answer = await route.handle({ ...exchange, body });
    if (faults.settings.frozen) await faults.waitUntilThawed();
    if (hasTakenEffect(request, answer) && faults.claimLostAnswer()) {
      response.destroy();
      return;
    }
    sendAnswer(response, answer);
  }

  async #handleControl(exchange: HttpExchange): Promise<void> {
    const { request, response, query, path } = exchange;
    const call = { method: request.method ?? "GET", path, query };
    sendAnswer(
      response,
      await readControlBody(
        exchange,
        (body) => this.callControl({ ...call, body }),
      ),
    );
  }
}

/** Reads a whole body; undefined when it cannot be read in full. */
async function readCallBody(
  request: IncomingMessage,
): Promise<Uint8Array | undefined> {
  if (request.method === "GET") return emptyBody;
  return (await readPartBody(request)).toMaybe().extract();
}

function readPartBody(
  request: IncomingMessage,
): Promise<Either<BodyError, Buffer>> {
  return readBody(request, {
    maxBytes: maxPartBodyBytes,
    openShare: () => unboundedShare,
  });
}

/** Whether an answer confirms a write that took effect. */
function hasTakenEffect(request: IncomingMessage, answer: PartAnswer): boolean {
  return request.method !== "GET" && answer.kind === "json" &&
    answer.status < 300;
}

/** Handles a JSON body that matches the schema; answers 400 for any other. */
export function handleJsonBody<T, A extends PartAnswer | Promise<PartAnswer>>(
  schema: z.ZodType<T>,
  body: Uint8Array,
  handle: (value: T) => A,
): A | PartAnswer {
  return parseJsonBody(body).caseOf({
    Left: (error): A | PartAnswer =>
      createAnswer(400, { reason: error.message }),
    Right: (value) => {
      const parsed = schema.safeParse(value);
      return parsed.success
        ? handle(parsed.data)
        : createAnswer(400, { reason: z.prettifyError(parsed.error) });
    },
  });
}

/** Handles a control call whose body matches the schema; answers 400 if not. */
export function handleControlCall<T>(
  schema: z.ZodType<T>,
  call: ControlCall,
  handle: (body: T) => PartAnswer,
): PartAnswer {
  const parsed = schema.safeParse(call.body);
  return parsed.success
    ? handle(parsed.data)
    : createControlError(z.prettifyError(parsed.error));
}

/** Reads the body of a control call, unless it is a GET, and handles it. */
export async function readControlBody(
  exchange: HttpExchange,
  handle: (body: unknown) => PartAnswer,
): Promise<PartAnswer> {
  if (exchange.request.method === "GET") return handle(undefined);
  const body = (await readPartBody(exchange.request)).chain(parseJsonBody);
  return body.caseOf({
    Left: (error) => createControlError(formatThrown(error)),
    Right: handle,
  });
}

/** Creates the answer to a control call that cannot be carried out. */
export function createControlError(message: string, status = 400): PartAnswer {
  return createAnswer(status, { error: { kind: "bad_control", message } });
}

/** Sends a handler's answer, unless the caller has disconnected. */
export function sendAnswer(response: ServerResponse, answer: PartAnswer): void {
  switch (answer.kind) {
    case "json":
      if (response.destroyed) return;
      sendJson(response, answer.status, answer.value, answer.headers);
      return;
    case "cut":
      response.destroy();
      return;
    case "streamed":
      return;
  }
}

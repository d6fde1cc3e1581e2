/**
 * HTTP listeners of a node for callers and for operators.
 */

import { openWhenFree } from "@almondcrank/common/address_wait.ts";
import type { Either } from "purify-ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import { HttpServer } from "@almondcrank/common/http_server.ts";
import type {
  AppliedRelease,
  ReleaseRequest,
} from "@almondcrank/fleet/release_writer.ts";
import type { ReleaseError } from "@almondcrank/fleet/release_error.ts";
import { TeamDirectory } from "./authentication.ts";
import { createCallersRoutes, type Readiness } from "./callers_routes.ts";
import { ChatHandler } from "./chat_handler.ts";
import type { Cluster } from "./cluster.ts";
import { ListenerBodies } from "./listener_bodies.ts";
import type { NodeServices } from "./node_services.ts";
import type { NodeStatus } from "./operator_messages.ts";
import { createOperatorsRoutes } from "./operators_routes.ts";
import { PlainHandler } from "./plain_handler.ts";
import type { RequestCounter } from "./request_counter.ts";
import type { DataPlane } from "./data_plane.ts";

/** Options of `HttpListeners.open`. */
export interface HttpListenersOptions extends NodeServices {
  readonly cluster: Cluster;
  readonly dataPlane: DataPlane;
  readonly requests: RequestCounter;
  readonly readiness: () => Readiness;
  readonly readStatus: () => NodeStatus;
  readonly apply: (
    request: ReleaseRequest,
  ) => Promise<Either<ReleaseError, AppliedRelease>>;
  /** Drains the node of that name; `Left` is an error message. */
  readonly drain: (node: string) => Promise<Either<string, void>>;
}

/** Both HTTP listeners of one node. */
export class HttpListeners implements Disposable {
  readonly callers: HttpServer;
  readonly operators: HttpServer;
  readonly #disposables: DisposableStore;

  private constructor(
    callers: HttpServer,
    operators: HttpServer,
    disposables: DisposableStore,
  ) {
    this.callers = callers;
    this.operators = operators;
    this.#disposables = disposables;
  }

  /**
   * Starts both listeners, once their addresses are free; rejects when one cannot
   * be bound.
   */
  static async open(options: HttpListenersOptions): Promise<HttpListeners> {
    const disposables = DisposableStore.create();
    const { clock, log } = options;
    const wait = (listener: string) => ({ clock, log, listener });
    const operators = disposables.register(
      await openWhenFree(() => openOperators(options), wait("operators")),
    );
    try {
      const callers = disposables.register(
        await openWhenFree(() => openCallers(options), wait("callers")),
      );
      return new HttpListeners(callers, operators, disposables);
    } catch (thrown) {
      disposables.dispose();
      throw thrown;
    }
  }

  dispose(): void {
    this.#disposables.dispose();
  }
}

function openOperators(options: HttpListenersOptions): Promise<HttpServer> {
  const { settings, cluster, dataPlane } = options;
  return HttpServer.open({
    address: settings.listen.operators,
    listener: "operators",
    connections: options.connections,
    limits: settings.limits,
    routes: createOperatorsRoutes({
      ...options,
      operatorKey: settings.operatorKey,
      bodies: ListenerBodies.create({ ...options, listener: "operators" }),
      configuration: cluster.configuration,
      listStreams: () => ({ streams: dataPlane.models.listRunning() }),
    }),
    onHandlerError: (error) => recordError(options, error),
  });
}

function openCallers(options: HttpListenersOptions): Promise<HttpServer> {
  const { settings, cluster, dataPlane } = options;
  const { maxBodyBytes } = settings.limits;
  const common = {
    ...options,
    configuration: cluster.configuration,
    bodies: ListenerBodies.create({
      ...options,
      listener: "callers",
      maxBodyBytes,
    }),
  };
  return HttpServer.open({
    address: settings.listen.callers,
    listener: "callers",
    connections: options.connections,
    limits: settings.limits,
    routes: createCallersRoutes({
      ...options,
      teams: TeamDirectory.create(cluster.configuration),
      chat: ChatHandler.create({ ...common, router: dataPlane.models }),
      plain: PlainHandler.create({ ...common, router: dataPlane.calls }),
    }),
    onHandlerError: (error) => recordError(options, error),
  });
}

function recordError({ log, metrics }: NodeServices, error: unknown): void {
  metrics.count("almondcrank_internal_errors_total");
  log.error("request handler failed.", { error: String(error) });
}

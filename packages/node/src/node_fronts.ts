/**
 * The listeners for callers and operators.
 */

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
import { createCallersRoutes, type Readiness } from "./callers_front.ts";
import { ChatFront } from "./chat_front.ts";
import type { Cluster } from "./cluster.ts";
import type { NodeServices } from "./node_services.ts";
import type { NodeStatus } from "./operator_messages.ts";
import { createOperatorsRoutes } from "./operators_front.ts";
import { PlainFront } from "./plain_front.ts";
import type { RequestCounter } from "./request_counter.ts";
import type { RequestPaths } from "./request_paths.ts";

/** What the listeners are made with. */
export interface NodeFrontsOptions extends NodeServices {
  readonly cluster: Cluster;
  readonly paths: RequestPaths;
  readonly requests: RequestCounter;
  readonly readiness: () => Readiness;
  readonly readStatus: () => NodeStatus;
  readonly apply: (
    order: ReleaseRequest,
  ) => Promise<Either<ReleaseError, AppliedRelease>>;
  readonly drain: (node: string) => Promise<Either<string, void>>;
}

/** Listeners of one node. */
export class NodeFronts implements Disposable {
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

  /** Starts both listeners; rejects when an address cannot be bound. */
  static async open(options: NodeFrontsOptions): Promise<NodeFronts> {
    const disposables = DisposableStore.create();
    const operators = disposables.register(await openOperators(options));
    try {
      const callers = disposables.register(await openCallers(options));
      return new NodeFronts(callers, operators, disposables);
    } catch (thrown) {
      disposables.dispose();
      throw thrown;
    }
  }

  dispose(): void {
    this.#disposables.dispose();
  }
}

function openOperators(options: NodeFrontsOptions): Promise<HttpServer> {
  const { settings, cluster, paths } = options;
  return HttpServer.open({
    address: settings.listen.operators,
    limits: settings.limits,
    routes: createOperatorsRoutes({
      ...options,
      operatorKey: settings.operatorKey,
      configuration: cluster.spread,
      listStreams: () => ({ streams: paths.models.listRunning() }),
    }),
    onHandlerError: (error) => recordError(options, error),
  });
}

function openCallers(options: NodeFrontsOptions): Promise<HttpServer> {
  const { settings, cluster, paths } = options;
  const { maxBodyBytes } = settings.limits;
  const common = {
    ...options,
    configuration: cluster.spread,
    maxBodyBytes,
  };
  return HttpServer.open({
    address: settings.listen.callers,
    limits: settings.limits,
    routes: createCallersRoutes({
      ...options,
      teams: TeamDirectory.create(cluster.spread),
      chat: ChatFront.create({ ...common, router: paths.models }),
      plain: PlainFront.create({ ...common, router: paths.calls }),
    }),
    onHandlerError: (error) => recordError(options, error),
  });
}

function recordError({ log, metrics }: NodeServices, error: unknown): void {
  metrics.count("almondcrank_internal_errors_total");
  log.error("a request failed inside the node.", { error: String(error) });
}

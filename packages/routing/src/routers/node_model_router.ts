/**
 * The request path of model services on one node.
 *
 * `open` admits a request, chooses its replica and starts the task that runs its
 * stream. `find` returns the stream of a caller that reconnects, from this node or
 * from the peer that owns it now.
 */

import { setMaxListeners } from "node:events";
import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  Endpoint,
  Team,
} from "@almondcrank/common/configuration.ts";
import {
  type Disposable,
  DisposableStore,
} from "@almondcrank/common/disposables.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type { Engine } from "@almondcrank/endpoint/engine.ts";
import { AdmissionController } from "../admission/admission_controller.ts";
import type { LoadTable } from "../choice/load_table.ts";
import type { ModelRequest, ModelRouter, ModelStream } from "./model_router.ts";
import { PrefixIndex } from "../choice/prefix_index.ts";
import { PartQuarantine } from "../quarantine/part_quarantine.ts";
import { Refusal, type RefusalKind } from "../admission/refusal.ts";
import {
  type ChoicePolicy,
  type Chooser,
  type ReplicaChoice,
  ReplicaChooser,
} from "../choice/replica_chooser.ts";
import type {
  RequestLimiter,
  RequestPermit,
  RetryLimiter,
} from "../limits/request_limits.ts";
import {
  computeInput,
  noProgress,
  RoutedStream,
  type RoutedStreamOptions,
  type StreamInput,
} from "../streams/routed_stream.ts";
import { ReplicaDirectory } from "../choice/service_replicas.ts";
import { StreamExchange } from "../streams/stream_exchange.ts";
import { formatStreamId } from "../streams/stream_id.ts";
import {
  defaultStreamLimits,
  type StreamLimits,
} from "../streams/stream_limits.ts";
import type { StreamPeers } from "../streams/stream_peers.ts";
import { StreamRun } from "../streams/stream_run.ts";
import type { StreamRunServices } from "../streams/stream_run_services.ts";
import { StreamSet } from "../streams/stream_set.ts";

/** Options of a router of model requests. */
export interface NodeModelRouterOptions {
  readonly nodeName: string;
  /** Random value, new at each start of the process. */
  readonly incarnation: string;
  readonly configuration: ConfigurationSource;
  /** Finds the client of an engine. */
  readonly engines: (endpoint: Endpoint) => Engine;
  readonly loads: LoadTable;
  readonly limiter: RequestLimiter;
  readonly retries: RetryLimiter;
  readonly peers: StreamPeers;
  readonly clock: Clock;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly policy?: ChoicePolicy;
  /** Used instead of a chooser with `policy`. */
  readonly chooser?: Chooser;
  readonly limits?: Partial<StreamLimits>;
  readonly prefixes?: PrefixIndex;
  /** Parts of prompts that crash replicas; one of this node alone by default. */
  readonly quarantine?: PartQuarantine;
  /** Network round-trip time to a zone, in milliseconds. */
  readonly zoneRoundTripMs?: (zone: string) => number;
}

type StreamStartOptions =
  & Pick<RoutedStreamOptions, "id" | "request" | "progress">
  & {
    readonly input: StreamInput;
    readonly permit: RequestPermit;
    readonly choice: ReplicaChoice | undefined;
  };

const drainingRetryMs = 100;
const noEndpointRetryMs = 1_000;

/** A stream that has not ended. */
export interface RunningStream {
  readonly id: string;
  readonly service: string;
  /** Endpoint that generates it at present. */
  readonly endpoint: string | undefined;
}

/** Model router of one node. */
export class NodeModelRouter implements ModelRouter, Disposable {
  readonly #options: NodeModelRouterOptions;
  readonly #services: StreamRunServices;
  readonly #admission: AdmissionController;
  readonly #streams: StreamSet;
  readonly #exchange: StreamExchange;
  readonly #lifetime = new AbortController();
  readonly #disposables = DisposableStore.create();
  #draining = false;
  #openedCount = 0;

  private constructor(options: NodeModelRouterOptions) {
    this.#options = options;
    this.#services = createServices(options);
    this.#admission = AdmissionController.create(options.clock);
    const { limits } = this.#services;
    const { signal } = this.#lifetime;
    // Each stream listens to it while its caller is disconnected.
    setMaxListeners(0, signal);
    this.#streams = StreamSet.create(options.clock, { limits, signal });
    this.#exchange = StreamExchange.create({
      ...options,
      streams: this.#streams,
      signal,
      open: (start) => this.#resumeFromPeer(start),
    });
    this.#disposables.register(options.loads.onLeaving((leaving) => {
      for (const run of this.#streams.list()) {
        if (run.endpoint === leaving.endpoint) run.migrate(leaving.remainingMs);
      }
    }));
  }

  static create(options: NodeModelRouterOptions): NodeModelRouter {
    return new NodeModelRouter(options);
  }

  /** Number of streams that have not ended. */
  get running(): number {
    return this.#streams.running;
  }

  /** Lists the streams that have not ended, with their endpoints. */
  listRunning(): readonly RunningStream[] {
    return this.#streams.list().map(({ stream, endpoint }) => ({
      id: stream.id,
      service: stream.request.service.name,
      endpoint,
    }));
  }

  /** Index of the prefix caches, to be corrected by cache events. */
  get prefixes(): PrefixIndex {
    return this.#services.prefixes;
  }

  /** Handles peers' requests about streams of this node. */
  get exchange(): StreamExchange {
    return this.#exchange;
  }

  open(request: ModelRequest): Promise<Either<Refusal, ModelStream>> {
    const opened = this.#checkOpen(request).chain(() => this.#admit(request));
    opened.ifLeft((refusal) => {
      const { kind } = refusal;
      this.#options.metrics.count("model_refusals_total", { reason: kind });
    });
    return Promise.resolve(opened);
  }

  find(id: string, team: Team): Promise<Either<Refusal, ModelStream>> {
    return this.#exchange.find(id, team);
  }

  /**
   * Refuses new requests, lets streams finish for a part of the notice, and hands
   * the rest over to peers.
   *
   * @param noticeMs Time until the process has to end.
   */
  async drain(noticeMs: number): Promise<void> {
    this.#draining = true;
    await this.#exchange.drain(noticeMs);
  }

  dispose(): void {
    this.#lifetime.abort();
    for (const run of this.#streams.list()) run.cancel();
    this.#disposables.dispose();
  }

  #checkOpen(request: ModelRequest): Either<Refusal, void> {
    if (this.#draining) {
      return createRefusal("draining", drainingRetryMs, "the node is leaving");
    }
    if (request.deadline <= this.#options.clock.now()) {
      return createRefusal(
        "deadline",
        undefined,
        "the deadline has passed already",
      );
    }
    if (this.#streams.isFull) {
      return createRefusal(
        "overload",
        noEndpointRetryMs,
        "the node has reached its limit of streams",
      );
    }
    return Right(undefined);
  }

  #admit(request: ModelRequest): Either<Refusal, ModelStream> {
    const input = computeInput(this.#options.hasher, request);
    const cost = input.promptTokens.length + request.maxTokens;
    const checked = this.#checkParts(input.parts);
    const admitted = checked.chain(() =>
      this.#options.limiter.admit(request.team, cost)
    );
    return admitted.chain((permit) => {
      const choice = this.#choose(request, input);
      return choice.ifLeft(() => permit.release()).map((chosen) =>
        this.#start({
          id: formatStreamId(
            this.#options,
            ++this.#openedCount,
            this.#options.random,
          ),
          request,
          input,
          progress: noProgress,
          permit,
          choice: chosen,
        })
      );
    });
  }

  /** Refuses a request with a part on which replicas crash. */
  #checkParts(parts: readonly string[]): Either<Refusal, void> {
    const { clock, metrics } = this.#options;
    const verdict = this.#services.quarantine.check(parts, clock.now());
    switch (verdict.kind) {
      case "free":
        return Right(undefined);
      case "probe":
        metrics.count("quarantine_probes_total");
        return Right(undefined);
      case "quarantined":
        return createRefusal(
          "quarantined",
          verdict.retryAfterMs,
          "a message of the prompt has crashed several replicas",
        );
    }
  }

  #choose(
    request: ModelRequest,
    input: StreamInput,
  ): Either<Refusal, ReplicaChoice> {
    const { loads, metrics, clock } = this.#options;
    const startedAt = clock.now();
    const choice = this.#services.chooser.choose({
      service: request.service.name,
      chain: input.chain,
      conversationPrefix: input.conversationPrefix,
      inputTokens: input.promptTokens.length,
      outputTokens: Math.min(request.maxTokens, loads.meanOutputTokens),
      betweenTokensMs: request.service.target.betweenTokensMs,
    });
    metrics.recordDuration("choice_seconds", clock.now() - startedAt);
    if (choice === undefined) {
      return createRefusal(
        "no_endpoint",
        noEndpointRetryMs,
        `no endpoint of service ${request.service.name} can take work`,
      );
    }
    return this.#admission.check(request, choice).map(() => choice);
  }

  #start(start: StreamStartOptions): RoutedStream {
    const { clock, metrics } = this.#options;
    const stream = RoutedStream.create({
      ...start,
      clock,
      limits: this.#services.limits,
      signal: this.#lifetime.signal,
      onCancel: (reason) => {
        metrics.count("streams_cancelled_total", { reason });
        run.cancel();
      },
    });
    const run = StreamRun.create(stream, this.#services);
    metrics.count("streams_opened_total");
    const ended = run.run(start.choice).finally(() => start.permit.release());
    void this.#streams.add(run, ended);
    return stream;
  }

  /** Resumes a stream of a peer under the same id. */
  #resumeFromPeer(
    start: Pick<StreamStartOptions, "id" | "request" | "progress">,
  ): Either<Refusal, ModelStream> {
    if (this.#draining) {
      return createRefusal("draining", drainingRetryMs, "the node is leaving");
    }
    const input = computeInput(this.#options.hasher, start.request);
    const permit: RequestPermit = { release: () => {} };
    return Right(this.#start({ ...start, input, permit, choice: undefined }));
  }
}

function createServices(options: NodeModelRouterOptions): StreamRunServices {
  const { configuration, hasher } = options;
  const directory = ReplicaDirectory.create(configuration, hasher);
  const prefixes = options.prefixes ?? PrefixIndex.create();
  const policy = options.policy ?? { kind: "predicted" };
  const chooser = options.chooser ?? ReplicaChooser.create({
    ...options,
    directory,
    prefixes,
    policy,
  });
  const limits = { ...defaultStreamLimits, ...options.limits };
  const quarantine = options.quarantine ??
    PartQuarantine.create({ isProber: () => true });
  return { ...options, prefixes, chooser, limits, quarantine };
}

function createRefusal(
  kind: RefusalKind,
  retryAfterMs: number | undefined,
  reason: string,
): Either<Refusal, never> {
  const remedy = retryAfterMs === undefined
    ? "allow more time"
    : `send it again in ${retryAfterMs} ms`;
  const message = `${reason}; ${remedy}`;
  return Left(Refusal.create({ kind, run: "not_run", retryAfterMs, message }));
}

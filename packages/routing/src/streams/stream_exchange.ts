/**
 * Finds streams on peers and hands streams over when a node leaves.
 *
 * A stream id names the node that opened the stream, and that node is asked
 * first. When it leaves, it hands the stream to the first node by rendezvous
 * hashing of the id among the remaining nodes. Any node can therefore find the
 * new owner from the id alone by asking the first few nodes in that order. If
 * membership views differ slightly, the search takes another request, but the
 * stream is still found.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  Team,
} from "@almondcrank/common/configuration.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type {
  ModelRequest,
  ModelStream,
  StreamEvent,
} from "../routers/model_router.ts";
import { askOwners } from "./owner_search.ts";
import { PeerStream } from "./peer_stream.ts";
import { Refusal } from "../admission/refusal.ts";
import type { StreamProgress } from "./routed_stream.ts";
import { parseStreamOwner } from "./stream_id.ts";
import type {
  EventBatch,
  PeerFailure,
  ReadEventsRequest,
  StreamHandOver,
  StreamPeers,
} from "./stream_peers.ts";
import type { StreamRun } from "./stream_run.ts";
import type { StreamSet } from "./stream_set.ts";

/** Peers that are asked for a stream or offered one, in rendezvous order. */
const maxPeersTried = 3;
/** Fraction of the notice in which streams may finish before a hand-over. */
const finishFraction = 0.5;
const drainPollMs = 50;
/** Offers of one stream to the same peer. */
const maxOffers = 2;
const maxBatchEvents = 512;

/** Dependencies of `StreamExchange`. */
export interface StreamExchangeOptions {
  readonly nodeName: string;
  readonly configuration: ConfigurationSource;
  readonly peers: StreamPeers;
  readonly streams: StreamSet;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Aborts with the lifetime of the router. */
  readonly signal: AbortSignal;
  /** Continues a stream that a peer handed over. */
  readonly open: (stream: {
    readonly id: string;
    readonly request: ModelRequest;
    readonly progress: StreamProgress;
  }) => Either<Refusal, ModelStream>;
}

/** Reads peers' streams, serves this node's to peers, and hands them over. */
export class StreamExchange {
  readonly #options: StreamExchangeOptions;

  private constructor(options: StreamExchangeOptions) {
    this.#options = options;
  }

  static create(options: StreamExchangeOptions): StreamExchange {
    return new StreamExchange(options);
  }

  /** Finds a stream of `team` here or on a peer; else refuses `stream_lost`. */
  async find(id: string, team: Team): Promise<Either<Refusal, ModelStream>> {
    const local = this.#findLocal(id, team.name);
    if (local !== undefined) return Right(local.stream);
    const { peers, clock, signal, metrics } = this.#options;
    const owners = (): readonly string[] => this.listCandidateOwners(id);
    const found = await askOwners({
      clock,
      signal,
      owners,
      ask: (node) =>
        peers.readEvents({ node, id, team: team.name, from: 0, waitMs: 0 }),
      mayMove: false,
    });
    if (found === undefined) {
      metrics.count("model_refusals_total", { reason: "stream_lost" });
      return Left(createLostRefusal());
    }
    metrics.count("streams_found_total", { where: "peer" });
    const { node, answer } = found;
    return Right(PeerStream.create({
      id,
      model: answer.model ?? "",
      team: team.name,
      node,
      peers,
      clock,
      owners,
    }));
  }

  /** Lists other nodes that may own a stream, the most likely first. */
  listCandidateOwners(id: string): readonly string[] {
    const { peers, hasher, nodeName } = this.#options;
    const owner = parseStreamOwner(id)?.nodeName;
    if (owner === undefined) return [];
    const others = peers.list().filter((node) => node !== owner);
    const successors = computeRendezvousOrder(hasher, id, others).slice(
      0,
      maxPeersTried,
    );
    return [owner, ...successors].filter((node) => node !== nodeName);
  }

  /**
   * Returns events of a stream of this node to a peer; undefined if this node
   * does not own the stream or the team differs. Waits up to `waitMs`
   * milliseconds for the first event.
   */
  async readEvents(
    request: Omit<ReadEventsRequest, "node">,
  ): Promise<EventBatch | undefined> {
    const { id, team, from, waitMs } = request;
    const run = this.#findLocal(id, team);
    if (run === undefined) return undefined;
    return await run.stream.readForPeer(from, async () => {
      const { output } = run.stream;
      if (
        waitMs > 0 && output.tokens.length <= from && output.final === undefined
      ) {
        await this.#waitForEvent(run, waitMs);
      }
      return createBatch(run, from);
    });
  }

  /** Cancels a stream of this node on behalf of a peer's caller. */
  cancel(id: string, team: string): void {
    this.#findLocal(id, team)?.stream.cancel();
  }

  /**
   * Continues a stream that a leaving peer hands over. An offer of a stream that
   * this node already holds succeeds without effect.
   */
  acceptHandOver(stream: StreamHandOver): Either<Refusal, void> {
    const { configuration, clock, streams, metrics, open } = this.#options;
    if (streams.find(stream.id) !== undefined) return Right(undefined);
    const { services, teams } = configuration.current();
    const service = services.find(({ name }) => name === stream.service);
    const team = teams.find(({ name }) => name === stream.team);
    if (service?.kind !== "model" || team === undefined) {
      return Left(createLostRefusal());
    }
    const { id, prompt, maxTokens } = stream;
    const request: ModelRequest = {
      team,
      service,
      ...(stream.adapter === undefined ? {} : { adapter: stream.adapter }),
      prompt,
      ...copyConversationStart(stream),
      maxTokens,
      deadline: clock.now() + stream.remainingMs,
    };
    return open({ id, request, progress: stream }).map(() => {
      metrics.count("streams_taken_over_total");
    });
  }

  /**
   * Lets streams finish during the first half of the notice, then hands the
   * others over to peers.
   *
   * @param noticeMs Milliseconds until the process has to end.
   */
  async drain(noticeMs: number): Promise<void> {
    const { clock, streams, log, signal } = this.#options;
    const handOverAt = clock.now() + noticeMs * finishFraction;
    while (streams.running > 0 && clock.now() < handOverAt) {
      if (signal.aborted) return;
      await clock.sleep(drainPollMs, signal);
    }
    const rest = streams.list();
    const outcomes = await Promise.all(rest.map((run) => this.#handOver(run)));
    const handedOver = outcomes.filter((done) => done).length;
    log.info("streams handed over to peers", {
      handedOver,
      kept: rest.length - handedOver,
    });
  }

  /**
   * Hands one stream to the first peer that accepts it.
   *
   * The output is paused first, so that no token is added after the hand-over message
   * was composed. If no peer accepts, the stream goes on with its attempt until the
   * process ends.
   */
  async #handOver(run: StreamRun): Promise<boolean> {
    const { peers, metrics, hasher, nodeName } = this.#options;
    const { stream } = run;
    const others = peers.list().filter((node) => node !== nodeName);
    const successors = computeRendezvousOrder(hasher, stream.id, others);
    run.pause();
    for (const node of successors.slice(0, maxPeersTried)) {
      if (!await this.#sendOffer(node, run)) continue;
      run.release(this.#createPeerStream(node, stream));
      metrics.count("stream_hand_overs_total", { result: "taken" });
      return true;
    }
    run.resume();
    return false;
  }

  /**
   * Offers a stream to a peer; repeats are safe, as a peer accepts an id once. A
   * peer that refused is not asked again.
   *
   * A peer whose answer was lost may run the stream. It is told to cancel, so
   * that two nodes do not continue the stream with different texts.
   */
  async #sendOffer(node: string, run: StreamRun): Promise<boolean> {
    const { peers, metrics } = this.#options;
    const { id, request } = run.stream;
    for (let tries = 0; tries < maxOffers; tries++) {
      const taken = await peers.handOver(node, this.#createHandOver(run));
      if (taken.isRight()) return true;
      const { kind } = taken.extract() as PeerFailure;
      metrics.count("stream_hand_overs_total", { result: kind });
      if (kind !== "peer_unreachable") return false;
    }
    void peers.cancel(node, id, request.team.name);
    return false;
  }

  #createPeerStream(
    node: string,
    stream: ModelStream & { readonly request: ModelRequest },
  ): PeerStream {
    const { peers, clock } = this.#options;
    const { id, model } = stream;
    const team = stream.request.team.name;
    const owners = (): readonly string[] => this.listCandidateOwners(id);
    return PeerStream.create({ id, model, team, node, peers, clock, owners });
  }

  #createHandOver({ stream, isGenerating }: StreamRun): StreamHandOver {
    const { request, usage, output } = stream;
    return {
      id: stream.id,
      team: request.team.name,
      service: request.service.name,
      adapter: request.adapter,
      prompt: request.prompt,
      ...copyConversationStart(request),
      maxTokens: request.maxTokens,
      tokens: [...output.tokens],
      remainingMs: Math.max(0, request.deadline - this.#options.clock.now()),
      attempts: usage.attempts,
      // The running attempt ends with the hand-over.
      uncountedAttempts: usage.uncountedAttempts + (isGenerating ? 1 : 0),
      recomputedTokens: usage.recomputedTokens,
    };
  }

  /** Finds a run of this node; a stream of another team counts as unknown. */
  #findLocal(id: string, team: string): StreamRun | undefined {
    const run = this.#options.streams.find(id);
    if (run === undefined || run.stream.isHandedOver) return undefined;
    return run.stream.request.team.name === team ? run : undefined;
  }

  async #waitForEvent(run: StreamRun, waitMs: number): Promise<void> {
    const done = new AbortController();
    const timeout = this.#options.clock.sleep(waitMs, done.signal);
    await Promise.race([run.stream.output.waitChange(), timeout]);
    done.abort();
  }
}

function copyConversationStart(
  { conversationStart }: Pick<ModelRequest, "conversationStart">,
): Pick<ModelRequest, "conversationStart"> {
  return conversationStart === undefined ? {} : { conversationStart };
}

function createBatch({ stream }: StreamRun, from: number): EventBatch {
  const { model, output: { tokens, final } } = stream;
  const to = Math.min(tokens.length, from + maxBatchEvents);
  const events: StreamEvent[] = [];
  for (let index = from; index < to; index++) {
    events.push({ kind: "token", index, text: tokens[index] ?? "" });
  }
  const done = final !== undefined && to === tokens.length;
  if (done) events.push(final);
  return { events, done, model };
}

function createLostRefusal(): Refusal {
  return Refusal.create({
    kind: "stream_lost",
    run: "unknown",
    retryAfterMs: undefined,
    message: "the stream is not known any more and may have run; " +
      "send the request again if the answer is still needed",
  });
}

/**
 * Streams between nodes: finding one on a peer, and handing one over.
 *
 * A stream id names its first node, which is asked first. When that node
 * leaves, it hands its streams to the peer that comes first for the id by
 * rendezvous among the nodes that stay, so any node finds the new owner from the
 * id alone by asking the first few of that order. Views of the members that
 * differ a little cost one more question, not the stream.
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
import { PeerStream } from "./peer_stream.ts";
import { Refusal } from "../admission/refusal.ts";
import type { StreamProgress } from "./routed_stream.ts";
import { parseStreamOwner } from "./stream_id.ts";
import type {
  EventBatch,
  ReadEventsRequest,
  StreamHandOver,
  StreamPeers,
} from "./stream_peers.ts";
import type { StreamRun } from "./stream_run.ts";
import type { StreamSet } from "./stream_set.ts";

/** Peers asked for a stream, and tried for a hand-over. */
const peersAsked = 3;
/** Part of the notice in which streams may finish before they are handed over. */
const finishShare = 0.5;
const drainPollMs = 50;
/** Times one peer is asked to take a stream over. */
const handOverTries = 2;
const maxBatchEvents = 512;

/** Options of an exchange. */
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
  /** Goes on with a stream of a peer. */
  readonly open: (opening: {
    readonly id: string;
    readonly request: ModelRequest;
    readonly past: StreamProgress;
  }) => Either<Refusal, ModelStream>;
}

/** Streams that move or are read between nodes. */
export class StreamExchange {
  readonly #options: StreamExchangeOptions;

  private constructor(options: StreamExchangeOptions) {
    this.#options = options;
  }

  static create(options: StreamExchangeOptions): StreamExchange {
    return new StreamExchange(options);
  }

  /** Finds a stream of `team` here or on a peer. */
  async find(id: string, team: Team): Promise<Either<Refusal, ModelStream>> {
    const own = this.#findOwn(id, team.name);
    if (own !== undefined) return Right(own.stream);
    for (const node of this.listCandidateOwners(id)) {
      const batch = await this.#options.peers.readEvents({
        node,
        id,
        team: team.name,
        from: 0,
        waitMs: 0,
      });
      if (batch.isLeft()) continue;
      this.#options.metrics.count("streams_found_total", { where: "peer" });
      const { peers, clock } = this.#options;
      const owners = (): readonly string[] => this.listCandidateOwners(id);
      return Right(
        PeerStream.create({ id, team: team.name, node, peers, clock, owners }),
      );
    }
    this.#options.metrics.count("model_refusals_total", {
      reason: "stream_lost",
    });
    return Left(createLost());
  }

  /** Nodes that may own a stream, the likeliest first. */
  listCandidateOwners(id: string): readonly string[] {
    const { peers, hasher, nodeName } = this.#options;
    const owner = parseStreamOwner(id)?.nodeName;
    if (owner === undefined) return [];
    const others = peers.list().filter((node) => node !== owner);
    const heirs = computeRendezvousOrder(hasher, id, others).slice(
      0,
      peersAsked,
    );
    return [owner, ...heirs].filter((node) => node !== nodeName);
  }

  /** Answers a peer that reads a stream of this node; undefined if unknown. */
  async readEvents(
    request: Omit<ReadEventsRequest, "node">,
  ): Promise<EventBatch | undefined> {
    const { id, team, from, waitMs } = request;
    const run = this.#findOwn(id, team);
    if (run === undefined) return undefined;
    const { log } = run.stream;
    if (waitMs > 0 && log.tokens.length <= from && log.final === undefined) {
      await this.#waitEvent(run, waitMs);
    }
    return createBatch(run, from);
  }

  /** Cancels a stream of this node for a peer's caller. */
  cancel(id: string, team: string): void {
    this.#findOwn(id, team)?.stream.cancel();
  }

  /** Goes on with a stream that a leaving peer hands over. */
  acceptHandOver(stream: StreamHandOver): Either<Refusal, void> {
    const { configuration, clock, streams, metrics, open } = this.#options;
    if (streams.find(stream.id) !== undefined) return Right(undefined);
    const { services, teams } = configuration.current();
    const service = services.find(({ name }) => name === stream.service);
    const team = teams.find(({ name }) => name === stream.team);
    if (service?.kind !== "model" || team === undefined) {
      return Left(createLost());
    }
    const { id, prompt, maxTokens, tokens, attempts, recomputedTokens } =
      stream;
    const request: ModelRequest = {
      team,
      service,
      ...(stream.adapter === undefined ? {} : { adapter: stream.adapter }),
      prompt,
      maxTokens,
      deadline: clock.now() + stream.remainingMs,
    };
    const past = { tokens, attempts, recomputedTokens };
    return open({ id, request, past }).map(() => {
      metrics.count("streams_taken_over_total");
    });
  }

  /** Lets streams finish for a part of the notice and hands the rest over. */
  async drain(noticeMs: number): Promise<void> {
    const { clock, streams, log, signal } = this.#options;
    const handOverAt = clock.now() + noticeMs * finishShare;
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
   * Hands one stream to the first peer that takes it.
   *
   * It stops here first, so that no token is produced after the hand-over was
   * written; when nobody takes it, it goes on here until the process ends.
   */
  async #handOver(run: StreamRun): Promise<boolean> {
    const { peers, metrics, hasher, nodeName } = this.#options;
    const { stream } = run;
    const others = peers.list().filter((node) => node !== nodeName);
    const heirs = computeRendezvousOrder(hasher, stream.id, others);
    run.pause();
    for (const node of heirs.slice(0, peersAsked)) {
      if (!await this.#sendOffer(node, run)) continue;
      run.release(this.#createPeerStream(node, stream));
      metrics.count("stream_hand_overs_total", { result: "taken" });
      return true;
    }
    run.resume();
    return false;
  }

  /**
   * Offers a stream to a peer, which takes the same id only once.
   *
   * A peer whose answer was lost may run the stream; it is told to cancel, so
   * that two nodes do not go on with different texts.
   */
  async #sendOffer(node: string, run: StreamRun): Promise<boolean> {
    const { peers, metrics } = this.#options;
    const { id, request } = run.stream;
    for (let tries = 0; tries < handOverTries; tries++) {
      const taken = await peers.handOver(node, this.#createHandOver(run));
      if (taken.isRight()) return true;
      taken.ifLeft(({ kind }) => {
        metrics.count("stream_hand_overs_total", { result: kind });
      });
    }
    void peers.cancel(node, id, request.team.name);
    return false;
  }

  #createPeerStream(
    node: string,
    stream: { readonly id: string; readonly request: ModelRequest },
  ): PeerStream {
    const { peers, clock } = this.#options;
    const { id } = stream;
    const team = stream.request.team.name;
    const owners = (): readonly string[] => this.listCandidateOwners(id);
    return PeerStream.create({ id, team, node, peers, clock, owners });
  }

  #createHandOver({ stream }: StreamRun): StreamHandOver {
    const { request, usage, log } = stream;
    return {
      id: stream.id,
      team: request.team.name,
      service: request.service.name,
      adapter: request.adapter,
      prompt: request.prompt,
      maxTokens: request.maxTokens,
      tokens: [...log.tokens],
      remainingMs: Math.max(0, request.deadline - this.#options.clock.now()),
      attempts: usage.attempts,
      recomputedTokens: usage.recomputedTokens,
    };
  }

  /** Own run of a team; another team's stream is as good as unknown. */
  #findOwn(id: string, team: string): StreamRun | undefined {
    const run = this.#options.streams.find(id);
    if (run === undefined || run.stream.isHandedOver) return undefined;
    return run.stream.request.team.name === team ? run : undefined;
  }

  async #waitEvent(run: StreamRun, waitMs: number): Promise<void> {
    const done = new AbortController();
    const timeout = this.#options.clock.sleep(waitMs, done.signal);
    await Promise.race([run.stream.log.waitChange(), timeout]);
    done.abort();
  }
}

function createBatch({ stream }: StreamRun, from: number): EventBatch {
  const { tokens, final } = stream.log;
  const to = Math.min(tokens.length, from + maxBatchEvents);
  const events: StreamEvent[] = [];
  for (let index = from; index < to; index++) {
    events.push({ kind: "token", index, text: tokens[index] ?? "" });
  }
  const done = final !== undefined && to === tokens.length;
  if (done) events.push(final);
  return { events, done };
}

function createLost(): Refusal {
  return Refusal.create({
    kind: "stream_lost",
    run: "unknown",
    retryAfterMs: undefined,
    message: "the stream is not known any more and may have run; " +
      "send the request again if the answer is still needed",
  });
}

/**
 * Stand-in for a replica that speaks the platform's protocol.
 *
 * Requests for a path that ends in `/stream` are answered with numbered events,
 * others with a whole body; both answers carry a signature. Tests inject faults
 * into single requests or into all.
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { formatAddress, parseAddress } from "@almondcrank/common/address.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import {
  answerStream,
  answerWhole,
  chooseFraming,
  type ReplicaAnswer,
  type ReplicaArrival,
  type ReplicaRun,
  type StreamFraming,
} from "./replica_answers.ts";
import {
  type FaultChoice,
  hasSharedPart,
  type ReplicaFault,
  sendEndlessAnswer,
  sendSpoiledHead,
  sendUnframedAnswer,
  sleep,
} from "./replica_fault.ts";
import { readBody, sendJson } from "./store_standin.ts";

/** Options of a replica. */
export interface ReplicaStandinOptions {
  readonly id: string;
  /** Events of a whole stream. */
  readonly events?: number;
  /** Time from one event to the next, in milliseconds. */
  readonly eventMs?: number;
  /** What tells callers where a stream ends; chunks by default. */
  readonly streamFraming?: StreamFraming;
  /** IPv4 address and port to listen on; a free port by default. */
  readonly address?: string;
  /** Wall-clock time at which it says that it started; it says none if left out. */
  readonly bornMs?: number;
}

/** A replica that falls over when it has to refuse too many requests. */
export interface BrittleOptions {
  readonly refusalsPerSecond: number;
  readonly slots: number;
}

const defaultEvents = 5;
const defaultEventMs = 5;

interface MovedRun {
  readonly events: number;
}

/** Moved runs by handle, shared by all replicas in this process. */
const movedRuns = new Map<string, MovedRun>();
let nextHandle = 1;

/** Running stand-in for a replica. */
export class ReplicaStandin {
  readonly id: string;
  /** Requests that were run, in order of arrival. */
  readonly runs: ReplicaRun[] = [];
  /** All requests that arrived, in order. */
  readonly arrivals: ReplicaArrival[] = [];
  /** Connections that were opened so far. */
  connectionCount = 0;
  /** Questions for its report that arrived so far. */
  reportCount = 0;
  /** Whether it answers questions for its report. */
  hasReport = true;
  /** Whether all answers say that the replica is leaving. */
  isLeaving = false;
  /** Requests a second that all answers name as a limit; none if undefined. */
  limitPerSecond: number | undefined;
  /** Requests that it runs at once, if it says that it bears few refusals. */
  brittle: BrittleOptions | undefined;
  /** Times at which it fell over, as it had to refuse too many requests. */
  readonly fallTimes: number[] = [];
  readonly #refusedAt: number[] = [];
  /** What all answers state of the load; nothing if undefined. */
  statedLoad: string | undefined;
  readonly #server: Server;
  readonly #events: number;
  readonly #eventMs: number;
  readonly #bornMs: number | undefined;
  /** Text of each event, before its number. */
  tokenText = "token";
  /** What tells callers where a stream ends. */
  streamFraming: StreamFraming;
  /** Share of all answers that have no length and end with their connection. */
  unframedShare = 0;
  /** Time between the halves of a whole body, in milliseconds. */
  bodyPauseMs = 0;
  /** What tells callers where a whole body ends; its length or chunks by default. */
  bodyFraming: StreamFraming = "length";
  /** Id of the last event sent, by request id. */
  readonly #lastEventIds = new Map<string, number>();
  /** Connections of running streams without chunks. */
  readonly #unframedStreams = new Set<Socket>();
  readonly #connections = new Set<Socket>();
  /** Answers to runs that go on. */
  readonly #answers = new Set<ServerResponse>();
  #hasExited = false;
  readonly #crashed = Emitter.create<ReplicaRun>();
  /** Time until which nothing is sent, on the monotonic clock. */
  #pausedUntil = 0;
  /**
   * Prompt parts that crash the replica when it begins to answer a request that
   * has one of them before its last part.
   */
  crashingParts: ReadonlySet<string> = new Set();
  /** Body of requests that crash it in the same way; undefined if none does. */
  crashingBody: string | undefined;
  /** Time from the begin of such an answer to the crash, in milliseconds. */
  crashAfterMs = 0;
  /** Fires with the run that has crashed the replica. */
  readonly onCrash: Event<ReplicaRun> = (listener) =>
    this.#crashed.event(listener);
  /** Runs that were stopped to be moved; another run goes on, perhaps here. */
  readonly #stoppedRuns = new Set<ReplicaRun>();
  /** Faults of the next requests, one each, in order. */
  readonly queuedFaults: ReplicaFault[] = [];
  /** Fault of the requests for which `queuedFaults` is empty. */
  fault: ReplicaFault = { kind: "none" };
  /** Chooses the fault of each request instead, by what runs; undefined if not. */
  chooseFault: ((run: FaultChoice) => ReplicaFault) | undefined;
  /** Time that each answer takes, in milliseconds. */
  workMs = 0;
  /** Time from the stop of a moved run to the answer with its handle. */
  moveMs = 0;

  private constructor(options: ReplicaStandinOptions) {
    this.id = options.id;
    this.#events = options.events ?? defaultEvents;
    this.#eventMs = options.eventMs ?? defaultEventMs;
    this.#bornMs = options.bornMs;
    this.streamFraming = options.streamFraming ?? "chunks";
    this.#server = createServer((request, response) =>
      void this.#handle(request, response)
    );
    this.#server.on("connection", (socket) => {
      this.connectionCount += 1;
      this.#connections.add(socket);
      socket.on("close", () => this.#connections.delete(socket));
    });
  }

  static async open(options: ReplicaStandinOptions): Promise<ReplicaStandin> {
    const standin = new ReplicaStandin(options);
    const server = standin.#server;
    server.listen({ ...parseAddress(options.address ?? "127.0.0.1:0") });
    await once(server, "listening");
    return standin;
  }

  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return formatAddress(address, port);
  }

  /**
   * Closes the listener and all connections. Those of streams without chunks
   * are reset: a regular end would make them look whole.
   */
  close(): void {
    this.#server.close();
    for (const socket of this.#unframedStreams) socket.resetAndDestroy();
    this.#server.closeAllConnections();
  }

  /** Ends the connections of streams without chunks as if these were whole. */
  endUnframedStreams(): void {
    for (const socket of this.#unframedStreams) socket.destroy();
  }

  #chooseFraming(run: ReplicaRun, otherwise: StreamFraming): StreamFraming {
    return chooseFraming(run, { unframedShare: this.unframedShare, otherwise });
  }

  /** Sends nothing for `ms` milliseconds, then goes on where it was. */
  pauseFor(ms: number): void {
    const until = performance.now() + ms;
    this.#pausedUntil = Math.max(this.#pausedUntil, until);
  }

  async #waitWhilePaused(): Promise<void> {
    for (
      let leftMs = this.#pausedUntil - performance.now();
      leftMs > 0;
      leftMs = this.#pausedUntil - performance.now()
    ) await sleep(Math.ceil(leftMs));
  }

  /** Ends connections in use without an error, all others `lingerMs` later. */
  #exit(run: ReplicaRun, lingerMs: number): void {
    if (this.#hasExited) return;
    this.#hasExited = true;
    for (const response of this.#answers) response.socket?.destroySoon();
    const close = (): void => {
      this.#server.close();
      for (const socket of this.#connections) socket.destroySoon();
      this.#crashed.fire(run);
    };
    if (lingerMs > 0) setTimeout(close, lingerMs);
    else close();
  }

  /** Closes the listener and resets all connections. */
  #crash(run: ReplicaRun): void {
    if (!this.#server.listening) return;
    this.#server.close();
    for (const socket of this.#connections) socket.resetAndDestroy();
    this.#crashed.fire(run);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [next] = this.queuedFaults;
    if (next?.kind === "early") {
      this.queuedFaults.shift();
      return await this.#answerEarly(request, response, next.afterMs);
    }
    const body = await readBody(request);
    const isQuestion = request.url === "/report" || request.url === "/healthz";
    if (!isQuestion) this.#recordArrival(request);
    if (this.isLeaving) response.setHeader("Server-Leaving", "1");
    if (this.limitPerSecond !== undefined) {
      response.setHeader("Server-Limit", String(this.limitPerSecond));
    }
    if (this.statedLoad !== undefined) {
      response.setHeader("X-Replica-Load", this.statedLoad);
    }
    if (this.brittle !== undefined) {
      const { refusalsPerSecond, slots } = this.brittle;
      response.setHeader("Server-Brittle", String(refusalsPerSecond));
      if (this.#running >= slots) return await this.#refuseBrittle(response);
    }
    if (request.url === "/kv-move") return await this.#move(body, response);
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return await this.#refuse(response, 421, { "X-Replica-Id": this.id });
    }
    if (request.url === "/report") return await this.#report(request, response);
    if (request.url === "/healthz") {
      await this.#waitWhilePaused();
      return sendJson(response, 200, {});
    }
    const fault = this.queuedFaults.shift() ??
      this.chooseFault?.({ path: request.url ?? "", running: this.#running }) ??
      this.fault;
    if (fault.kind === "decline" || fault.kind === "pause") {
      const isPause = fault.kind === "pause";
      return await this.#refuse(response, 503, {
        "X-Not-Executed": "1",
        ...(isPause ? { "Retry-After": String(fault.seconds) } : {}),
      });
    }
    const run = this.#beginRun(request, body);
    this.#answers.add(response);
    response.on("close", () => {
      this.#answers.delete(response);
      run.hasEnded = true;
      run.endedAt ??= performance.now();
    });
    await this.#waitWhilePaused();
    if (run.hasEnded) return;
    const answerId = fault.kind === "foreign" ? "another-request" : run.id;
    response.setHeader("X-Request-Id", answerId);
    if (fault.kind !== "unsigned") {
      response.setHeader("X-Server-Seal", `seal-of-${this.id}`);
    }
    const willCrash = hasSharedPart(request.headers, this.crashingParts) ||
      body === this.crashingBody;
    if (willCrash) {
      if (this.crashAfterMs === 0) return this.#crash(run);
      // A caller in this process reads what was sent before the reset drops it.
      const crash = (): void => this.#crash(run);
      setTimeout(() => setImmediate(crash), this.crashAfterMs);
    }
    if (fault.kind === "endless_head" || fault.kind === "endless_body") {
      return await sendEndlessAnswer(request.socket, fault.kind, run.id);
    }
    if (fault.kind === "spoil_head") {
      return sendSpoiledHead(request.socket, fault, run.id);
    }
    if (fault.kind === "unframed" || fault.kind === "reset_unframed") {
      await sendUnframedAnswer(request.socket, fault, {
        requestId: run.id,
        eventMs: this.#eventMs,
      });
      run.hasEnded = fault.kind === "unframed";
      return;
    }
    const isStream = (request.url ?? "").endsWith("/stream");
    if (fault.kind === "hang") return;
    if (fault.kind === "lose_answer") {
      return void request.socket.resetAndDestroy();
    }
    if (fault.kind === "slow") await sleep(fault.ms);
    if (this.workMs > 0) await sleep(this.workMs);
    if (isStream && fault.kind !== "fail") {
      return await this.#stream(request, response, { run, fault });
    }
    if (willCrash) return response.flushHeaders();
    if (fault.kind === "fail") return sendJson(response, 500, {});
    if (fault.kind === "fall_silent") await sleep(fault.ms);
    await answerWhole({ request, response, run, fault }, {
      framing: this.#chooseFraming(run, this.bodyFraming),
      pauseMs: this.bodyPauseMs,
      exit: (lingerMs) => this.#exit(run, lingerMs),
    });
  }

  async #report(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.reportCount += 1;
    await this.#waitWhilePaused();
    if (!this.hasReport) return void request.socket.destroy();
    const born = this.#bornMs === undefined ? {} : { born: this.#bornMs };
    sendJson(response, 200, { stage: "colocated", busy: false, ...born });
  }

  #recordArrival({ headers }: IncomingMessage): void {
    this.arrivals.push({
      id: String(headers["x-request-id"]),
      at: performance.now(),
      parts: String(headers["x-prefix-hash"] ?? ""),
    });
  }

  /** Requests that run now. */
  get #running(): number {
    return this.runs.filter(({ hasEnded }) => !hasEnded).length;
  }

  async #refuse(
    response: ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
  ): Promise<void> {
    await this.#waitWhilePaused();
    const { "x-request-id": id } = response.req.headers;
    if (id !== undefined) response.setHeader("X-Request-Id", id);
    response.setHeaders(new Map(Object.entries(headers)));
    sendJson(response, status, {});
  }

  /** Refuses a request for want of room; falls over if they are too many. */
  async #refuseBrittle(response: ServerResponse): Promise<void> {
    const now = performance.now();
    this.#refusedAt.push(now);
    const refused = this.#refusedAt.filter((at) => now - at < 1_000).length;
    if (refused > (this.brittle?.refusalsPerSecond ?? Infinity)) {
      this.fallTimes.push(now);
      this.#refusedAt.length = 0;
      for (const socket of this.#connections) socket.resetAndDestroy();
      return;
    }
    return await this.#refuse(response, 503, { "X-Not-Executed": "1" });
  }

  /** Answers before the body arrives; the run records the body read later. */
  async #answerEarly(
    request: IncomingMessage,
    response: ServerResponse,
    afterMs: number,
  ): Promise<void> {
    const body = readBody(request);
    request.socket.pause();
    response.writeHead(400, {
      "X-Request-Id": String(request.headers["x-request-id"]),
      "X-Server-Seal": `seal-of-${this.id}`,
      "Content-Length": "8",
    });
    response.end("too long");
    await sleep(afterMs);
    request.socket.resume();
    this.#beginRun(request, await body);
  }

  #beginRun(request: IncomingMessage, body: string): ReplicaRun {
    const run: ReplicaRun = {
      id: String(request.headers["x-request-id"]),
      path: request.url ?? "",
      body,
      headers: request.headers,
      isMoved: request.headers["kv-from"] !== undefined,
      startedAt: performance.now(),
      endedAt: undefined,
      hasEnded: false,
    };
    this.runs.push(run);
    return run;
  }

  async #stream(
    request: IncomingMessage,
    response: ServerResponse,
    { run, fault }: Pick<ReplicaAnswer, "run" | "fault">,
  ): Promise<void> {
    const framing = this.#chooseFraming(run, this.streamFraming);
    if (framing === "connection") {
      const { socket } = request;
      this.#unframedStreams.add(socket);
      response.on("close", () => this.#unframedStreams.delete(socket));
    }
    await answerStream({ request, response, run, fault }, {
      events: this.#events,
      eventMs: this.#eventMs,
      framing,
      readTokenText: () => this.tokenText,
      isStopped: () => this.#stoppedRuns.has(run),
      waitWhilePaused: () => this.#waitWhilePaused(),
      onSent: (id) => void this.#lastEventIds.set(run.id, id),
      exit: (lingerMs) => this.#exit(run, lingerMs),
    });
  }

  /** Stops a run; answers a handle with which another replica continues it. */
  async #move(body: string, response: ServerResponse): Promise<void> {
    await this.#waitWhilePaused();
    const { id } = JSON.parse(body);
    const events = this.#lastEventIds.get(id);
    if (events === undefined) return sendJson(response, 404, {});
    const stopped = this.runs.filter((run) => run.id === id);
    for (const run of stopped) this.#stoppedRuns.add(run);
    if (this.moveMs > 0) await sleep(this.moveMs);
    const handle = `h${nextHandle}`;
    nextHandle += 1;
    movedRuns.set(handle, { events });
    sendJson(response, 200, { "kv-handle": handle, created: events });
  }
}

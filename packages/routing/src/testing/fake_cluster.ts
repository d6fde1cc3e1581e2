/**
 * Several plain routers in one process, with fault injection at every interface.
 *
 * For tests: nodes can be frozen, killed and restarted, links between them cut in
 * each direction, the object API can be unavailable or lose answers, and endpoints
 * fail before or after they ran a call. The endpoints count the runs of each call.
 */

import { Buffer } from "node:buffer";
import { type Either, Left, Right } from "purify-ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { type Hasher, openHasher } from "@almondcrank/common/hashing.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import {
  type Configuration,
  emptyConfiguration,
  type Endpoint,
  type PlainService,
  type Team,
} from "@almondcrank/common/configuration.ts";
import { EndpointError } from "@almondcrank/endpoint/endpoint_error.ts";
import type {
  PlainAnswer,
  PlainCall,
  PlainEndpoint,
} from "@almondcrank/endpoint/plain_service.ts";
import {
  type ForwardedCall,
  type ForwardedOutcome,
  type KeyOwner,
  KeyPeerError,
  type KeyPeers,
} from "../keyed_calls/key_peers.ts";
import { FakeObjectStore } from "./fake_object_store.ts";
import { createGatedStore, Gate } from "./process_gate.ts";
import type { KeyLimits } from "../keyed_calls/key_records.ts";
import type { Limiter } from "../limits/limiter.ts";
import { noLoadReports } from "../choice/plain_chooser.ts";
import { Refusal } from "../admission/refusal.ts";
import { EndpointRetries } from "../repeats/endpoint_retries.ts";
import { NodePlainRouter } from "../routers/node_plain_router.ts";

/** The service that all calls go to. */
export const bookingService: PlainService = {
  kind: "plain",
  name: "booking",
  idempotentMethods: ["GET"],
  timeoutMs: 2_000,
};

/** Team that calls by default. */
export const counterTeam: Team = {
  name: "counter",
  keyHash: "",
  priority: 1,
  share: 1,
};

/** A second team. */
export const garageTeam: Team = { ...counterTeam, name: "garage" };

const endpointNames = ["booking-1", "booking-2", "booking-3"];

/** Fault that an endpoint applies to a call. */
export type EndpointFault =
  | "none"
  | "unreachable"
  | "declined"
  | "lost_before"
  | "lost_after"
  | "slow"
  | "silent";

/** Time a call takes under the fault `slow`. */
const slowMs = 400;

/** One incarnation of a process. */
export interface FakeNode {
  readonly identity: KeyOwner;
  readonly calls: NodePlainRouter;
  readonly metrics: Metrics;
  readonly gate: Gate;
}

/** Options of a cluster. */
export interface FakeClusterOptions {
  readonly nodes: number;
  readonly seed?: number;
  readonly keyLimits?: Partial<KeyLimits>;
}

/** Nodes, endpoints and the object API. */
export class FakeCluster {
  readonly clock = ManualClock.create();
  readonly claims = new FakeObjectStore(this.clock);
  readonly nodes: FakeNode[] = [];
  /** Runs by idempotency key, or by body for calls without one. */
  readonly runs = new Map<string, number>();
  /** Links that lose requests or answers, as `from>to` by node name. */
  readonly cutRequests = new Set<string>();
  readonly cutAnswers = new Set<string>();
  /** Links whose source does not know the target, as `from>to`. */
  readonly unknownPeers = new Set<string>();
  /** Faults of the next calls; `endpointFault` applies when it is empty. */
  readonly nextEndpointFaults: EndpointFault[] = [];
  endpointFault: EndpointFault = "none";
  /** Teams that are over their limit. */
  readonly limited = new Set<string>();
  /** Calls that reached an endpoint. */
  sends = 0;
  readonly #options: FakeClusterOptions;
  readonly #hasher: Hasher;
  #incarnations = 0;

  private constructor(options: FakeClusterOptions, hasher: Hasher) {
    this.#options = options;
    this.#hasher = hasher;
    for (let i = 0; i < options.nodes; i++) this.#start(`node-${i}`, i);
  }

  static async open(options: FakeClusterOptions): Promise<FakeCluster> {
    return new FakeCluster(options, await openHasher());
  }

  pickNode(index: number): FakeNode {
    const node = this.nodes[index];
    if (node === undefined) throw new Error(`no node ${index}`);
    return node;
  }

  /** Kills a process; what it has not sent yet is never sent. */
  kill(index: number): void {
    this.pickNode(index).gate.set("dead");
  }

  /** Starts a new incarnation in place of a process. */
  restart(index: number): void {
    this.kill(index);
    this.#start(this.pickNode(index).identity.node, index);
  }

  /** Calls the service through a node; resolves when the caller has an answer. */
  async book(
    index: number,
    key: string | undefined,
    { team = counterTeam, body = key ?? "", method = "POST" } = {},
  ): Promise<Either<Refusal, PlainAnswer>> {
    const { calls, gate } = this.pickNode(index);
    await gate.waitOpen();
    const result = await calls.call({
      team,
      service: bookingService,
      method,
      path: "/slots",
      contentType: "text/plain",
      body: Buffer.from(body),
      key,
      deadline: this.clock.now() + bookingService.timeoutMs,
    }, new AbortController().signal);
    await gate.waitOpen();
    return result;
  }

  issueKey(index: number, team = counterTeam): string {
    return this.pickNode(index).calls.issueKey(team).unsafeCoerce();
  }

  readRuns(key: string): number {
    return this.runs.get(key) ?? 0;
  }

  #start(name: string, index: number): void {
    const gate = Gate.create();
    const metrics = Metrics.create();
    const incarnation = `i${this.#incarnations++}`;
    const identity: KeyOwner = { node: name, incarnation };
    const calls = NodePlainRouter.create({
      configuration: { current: () => createConfiguration() },
      endpoints: ({ name }) => this.#createEndpoint(name, gate),
      loads: noLoadReports,
      clock: this.clock,
      random: Random.create((this.#options.seed ?? 1) + index),
      hasher: this.#hasher,
      metrics,
      log: createSilentLog(),
      identity,
      sharedKey: "shared",
      peers: this.#createPeers(name, gate),
      claims: createGatedStore(this.claims, gate),
      limiter: this.#createLimiter(),
      retryBudget: EndpointRetries.create({
        clock: this.clock,
        metrics,
        fraction: 1,
      }),
      claimCallsPerSecond: 1_000,
      keyLimits: this.#options.keyLimits ?? {},
    });
    this.nodes[index] = { identity, calls, metrics, gate };
  }

  #createLimiter(): Limiter {
    const check = (team: Team): Either<Refusal, void> =>
      this.limited.has(team.name)
        ? Left(Refusal.create({
          kind: "over_limit",
          run: "not_run",
          retryAfterMs: 100,
          message: "over the limit",
        }))
        : Right(undefined);
    return {
      check,
      admit: (team) => check(team).map(() => ({ release: () => {} })),
    };
  }

  #createPeers(from: string, gate: Gate): KeyPeers {
    return {
      list: () =>
        this.nodes.filter((node) =>
          node.identity.node !== from && node.gate.state === "open"
        ).map((node) => node.identity),
      forward: async (owner, call, signal) => {
        await gate.waitOpen();
        return this.#forward(from, owner, { call, signal });
      },
      handOver: async (successor, batch) => {
        await gate.waitOpen();
        const node = this.#findNode(successor);
        if (
          node === undefined ||
          this.cutRequests.has(`${from}>${successor.node}`)
        ) {
          return Left(
            KeyPeerError.create({ kind: "unknown_peer", node: successor.node }),
          );
        }
        await node.gate.waitOpen();
        // A batch is sent as JSON.
        node.calls.handleHandOver(JSON.parse(JSON.stringify(batch)));
        return Right(undefined);
      },
    };
  }

  async #forward(
    from: string,
    owner: KeyOwner,
    { call, signal }: {
      readonly call: ForwardedCall;
      readonly signal: AbortSignal;
    },
  ): Promise<Either<KeyPeerError, ForwardedOutcome>> {
    const node = this.#findNode(owner);
    if (
      node === undefined || this.unknownPeers.has(`${from}>${owner.node}`)
    ) {
      return Left(
        KeyPeerError.create({ kind: "unknown_peer", node: owner.node }),
      );
    }
    const fail = (reason: string): KeyPeerError =>
      KeyPeerError.create({ kind: "peer_failed", node: owner.node, reason });
    const link = `${from}>${owner.node}`;
    if (node.gate.state === "dead") return Left(fail("connection refused"));
    if (this.cutRequests.has(link)) return Left(fail("request lost"));
    const answer = node.gate.waitOpen().then(() =>
      node.calls.handleForwarded(structuredClone(call))
    )
      .then(async (outcome) => {
        await node.gate.waitOpen();
        return outcome;
      });
    const aborted = new Promise<undefined>((resolve) =>
      signal.addEventListener("abort", () => resolve(undefined))
    );
    const outcome = await Promise.race([answer, aborted]);
    if (outcome === undefined) return Left(fail("aborted"));
    if (this.cutAnswers.has(link)) return Left(fail("answer lost"));
    return Right(outcome);
  }

  #findNode(owner: KeyOwner): FakeNode | undefined {
    return this.nodes.find((node) => node.identity.node === owner.node);
  }

  #createEndpoint(name: string, gate: Gate): PlainEndpoint {
    return {
      name,
      call: async (call) => {
        const deadline = this.clock.now() + call.remainingMs;
        await gate.waitOpen();
        if (this.clock.now() >= deadline) {
          return Left(createFailure("unreachable", name));
        }
        const result = await this.#runAtEndpoint(name, call);
        await gate.waitOpen();
        return result;
      },
      readLoad: () =>
        Promise.resolve(Right({ ageMs: 0, running: 0, queued: 0 })),
    };
  }

  async #runAtEndpoint(
    name: string,
    call: PlainCall,
  ): Promise<Either<EndpointError, PlainAnswer>> {
    this.sends++;
    const fault = this.nextEndpointFaults.shift() ?? this.endpointFault;
    const text = Buffer.from(call.body).toString();
    switch (fault) {
      case "unreachable":
      case "declined":
        return Left(createFailure(fault, name));
      case "lost_before":
        return Left(createFailure("connection_lost", name));
      case "lost_after":
        this.#recordRun(call.idempotencyKey ?? text);
        return Left(createFailure("connection_lost", name));
      case "silent":
        await this.clock.sleep(call.remainingMs);
        return Left(createFailure("timeout", name));
      case "slow":
        await this.clock.sleep(slowMs);
        break;
      case "none":
        break;
    }
    this.#recordRun(call.idempotencyKey ?? text);
    const body = Buffer.from(`booked ${text}`);
    return Right({ status: 201, contentType: "text/plain", body });
  }

  #recordRun(key: string): void {
    this.runs.set(key, this.readRuns(key) + 1);
  }
}

function createFailure(
  kind: "unreachable" | "declined" | "connection_lost" | "timeout",
  endpoint: string,
): EndpointError {
  return EndpointError.create(
    kind === "timeout"
      ? { kind, endpoint, timeoutMs: 0 }
      : { kind, endpoint, reason: "fault" },
  );
}

function createConfiguration(): Configuration {
  const endpoints: Endpoint[] = endpointNames.map((name) => ({
    name,
    service: bookingService.name,
    address: "127.0.0.1:1",
    host: name,
    zone: "muc-1",
    machineClass: "small",
    market: "on_demand",
    checksFencing: false,
  }));
  const teams = [counterTeam, garageTeam];
  const services = [bookingService];
  return { ...emptyConfiguration, teams, services, endpoints };
}

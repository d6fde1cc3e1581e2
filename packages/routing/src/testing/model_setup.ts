/**
 * A router of model services over in-memory engines, for tests.
 */

import { Left, Right } from "purify-ts";
import type {
  Configuration,
  Endpoint,
  ModelService,
  Team,
} from "@almondcrank/common/configuration.ts";
import { emptyConfiguration } from "@almondcrank/common/configuration.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { KindError } from "@almondcrank/common/kind_error.ts";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Metrics } from "@almondcrank/common/metrics.ts";
import { Random } from "@almondcrank/common/random.ts";
import { LoadTable } from "../choice/load_table.ts";
import { PartQuarantine } from "../quarantine/part_quarantine.ts";
import type { ModelRequest, ModelStream } from "../routers/model_router.ts";
import {
  NodeModelRouter,
  type NodeModelRouterOptions,
} from "../routers/node_model_router.ts";
import type { PeerFailure, StreamPeers } from "../streams/stream_peers.ts";
import { FakeEngine } from "./fake_engine.ts";

/** Team that requests by default. */
export const testTeam: Team = {
  name: "counter",
  keyHash: "",
  priority: 0,
  share: 1,
};

/** The only service. */
export const testService: ModelService = {
  kind: "model",
  name: "assistant",
  model: "base",
  adapters: [],
  target: { firstTokenMs: 1_600, betweenTokensMs: 32 },
  timeoutMs: 30_000,
  maxOutputTokens: 256,
};

/** Creates the endpoint `name` of the test service. */
export function createEndpoint(name: string, zone = "muc-1"): Endpoint {
  return {
    name,
    service: testService.name,
    address: `10.0.0.1:${1_000 + Number(name.slice(1))}`,
    host: `host-${name}`,
    zone,
    machineClass: "a",
    market: "reclaimable",
    checksFencing: true,
  };
}

/** Creates a configuration with the given endpoints. */
export function createConfiguration(
  endpoints: readonly Endpoint[],
): Configuration {
  return {
    ...emptyConfiguration,
    revision: 1,
    teams: [testTeam],
    services: [testService],
    endpoints,
  };
}

/** Failure of the peer channel in tests. */
export class TestPeerFailure extends KindError<PeerFailure["detail"]> {
  static create(kind: PeerFailure["detail"]["kind"]): TestPeerFailure {
    return new TestPeerFailure({ kind }, kind);
  }
}

const noPeers: StreamPeers = {
  list: () => [],
  readEvents: () =>
    Promise.resolve(Left(TestPeerFailure.create("peer_unreachable"))),
  cancel: () => Promise.resolve(),
  handOver: () =>
    Promise.resolve(Left(TestPeerFailure.create("peer_unreachable"))),
};

/** A router with its dependencies. */
export interface ModelSetup {
  readonly clock: ManualClock;
  readonly loads: LoadTable;
  readonly metrics: Metrics;
  readonly router: NodeModelRouter;
  readonly quarantine: PartQuarantine;
  readonly engines: ReadonlyMap<string, FakeEngine>;
  /** Remaining retries. */
  readonly budget: { retries: number };
}

/** Options of a set-up; engines are named `e0`, `e1`, ... */
export interface ModelSetupOptions extends Partial<NodeModelRouterOptions> {
  readonly replicas?: number;
  readonly seed?: number;
  readonly shared?: Pick<ModelSetup, "clock" | "engines">;
}

/** Creates a router over in-memory engines. */
export async function openModelSetup(
  options: ModelSetupOptions = {},
): Promise<ModelSetup> {
  const clock = options.shared?.clock ?? ManualClock.create();
  const hasher: Hasher = await openHasher();
  const names = Array.from(
    { length: options.replicas ?? 3 },
    (_, i) => `e${i}`,
  );
  const endpoints = names.map((name) => createEndpoint(name));
  const engines = options.shared?.engines ??
    new Map(names.map((name) => [name, FakeEngine.create(name, clock)]));
  const configuration = createConfiguration(endpoints);
  const loads = LoadTable.create({ clock });
  loads.apply(endpoints);
  const metrics = Metrics.create();
  const budget = { retries: 100 };
  const quarantine = PartQuarantine.create({ isProber: () => true });
  const router = NodeModelRouter.create({
    nodeName: "n1",
    incarnation: "i1",
    configuration: { current: () => configuration },
    engines: ({ name }) => findEngine(engines, name),
    loads,
    limiter: { admit: () => Right({ release: () => {} }) },
    retries: {
      recordSend: () => {},
      takeRetry: () => budget.retries-- > 0,
    },
    peers: noPeers,
    clock,
    random: Random.create(options.seed ?? 1),
    hasher,
    metrics,
    log: createSilentLog(),
    quarantine,
    ...options,
  });
  return { clock, loads, metrics, router, quarantine, engines, budget };
}

/** Finds an engine by name; throws when it does not exist. */
export function findEngine(
  engines: ReadonlyMap<string, FakeEngine>,
  name: string,
): FakeEngine {
  const engine = engines.get(name);
  if (engine === undefined) throw new Error(`engine ${name} does not exist`);
  return engine;
}

/** Creates a request of the test team. */
export function createRequest(
  clock: ManualClock,
  changes: Partial<ModelRequest> = {},
): ModelRequest {
  return {
    team: testTeam,
    service: testService,
    prompt: "brakes of the red van were worn down to the metal",
    maxTokens: 100,
    deadline: clock.now() + 30_000,
    ...changes,
  };
}

/** Events that a reader has received so far. */
export interface Reading {
  readonly texts: string[];
  /** Reason of the end, or kind and run state of the failure, once received. */
  outcome: string | undefined;
}

/** Reads a stream in the background. */
export function startReading(
  stream: ModelStream,
  from = 0,
  signal: AbortSignal = new AbortController().signal,
): Reading {
  const reading: Reading = { texts: [], outcome: undefined };
  void (async () => {
    for await (const event of stream.read(from, signal)) {
      if (event.kind === "token") {
        reading.texts.push(event.text);
      } else if (event.kind === "end") {
        reading.outcome = event.reason;
      } else {
        reading.outcome = `${event.refusal.kind}/${event.refusal.run}`;
      }
    }
  })();
  return reading;
}

/**
 * Load on replicas that crash under one part of prompts, sent by several nodes that
 * tell each other of it, on a clock driven by hand.
 *
 * Prompts consist of a first part that all share, a part of their own or the one
 * that crashes replicas, and a last part. A crash breaks all runs of its replica
 * that have not gone on for some time. Nodes tell each other in ticks, and some of
 * what they tell is lost.
 */

import { Random } from "@almondcrank/common/random.ts";
import { PartQuarantine } from "../quarantine/part_quarantine.ts";

const tickMs = 200;
const stepMs = 10;
const replicaCount = 24;
const restartMs = 3_000;
const crashAfterMs = 40;
const firstOutputMs = 120;
const runMs = 1_500;
const survivedAfterMs = 500;
const loss = 0.1;
const maxAttempts = 4;
/** Time after the fifth crash from which each send with the part counts. */
const contactMs = 3_000;
const sharedPart = "shared";
const badPart = "bad";

/** Size and draws of a simulation. */
export interface SimulationOptions {
  readonly nodes: number;
  /** Ticks until what a node tells has reached all others. */
  readonly hops: number;
  readonly seed: number;
}

/** Load of one simulation. */
export interface SimulationLoad {
  readonly durationMs: number;
  readonly soundPerSecond: number;
  readonly badPerSecond: number;
  /** Time from which the part crashes replicas. */
  readonly badFromMs?: number;
  /** Replicas that are killed for other reasons. */
  readonly killsPerSecond?: number;
}

/** What happened. */
export interface SimulationResult {
  /** Incarnations that crashed under the part. */
  readonly crashes: number;
  readonly kills: number;
  /** Requests with the part that were sent late after the fifth crash. */
  readonly sentLate: number;
  readonly soundSent: number;
  readonly soundRefused: number;
  /** Time of the last refusal of a sound request; -Infinity if there was none. */
  readonly soundRefusedAt: number;
}

interface Run {
  readonly node: number;
  readonly parts: readonly string[];
  readonly replica: number;
  readonly sentAt: number;
  /** Incarnations on which the request broke. */
  readonly brokenOn: ReadonlySet<string>;
  hasSurvived: boolean;
}

interface Replica {
  epoch: number;
  upAt: number;
}

/** One simulation. */
export class QuarantineSimulation {
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #nodes: readonly PartQuarantine[];
  readonly #replicas: readonly Replica[];
  #runs: Run[] = [];
  #ownParts = 0;
  #crashes = 0;
  #kills = 0;
  #fifthCrashAt = Infinity;
  #sentLate = 0;
  #soundSent = 0;
  #soundRefused = 0;
  #soundRefusedAt = -Infinity;

  private constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = Random.create(options.seed);
    this.#nodes = Array.from(
      { length: options.nodes },
      (_, at) => PartQuarantine.create({ isProber: () => at === 0 }),
    );
    this.#replicas = Array.from(
      { length: replicaCount },
      () => ({ epoch: 1, upAt: 0 }),
    );
  }

  static create(options: SimulationOptions): QuarantineSimulation {
    return new QuarantineSimulation(options);
  }

  /** Runs the load to its end. */
  run(load: SimulationLoad): SimulationResult {
    for (let now = 0; now < load.durationMs; now += stepMs) {
      this.#endRuns(load.badFromMs ?? 0, now);
      this.#sendRequests(load, now);
      if (this.#isDrawn(load.killsPerSecond ?? 0)) this.#killOne(now);
      if (now % tickMs === 0) this.#tellPeers(now);
    }
    return {
      crashes: this.#crashes,
      kills: this.#kills,
      sentLate: this.#sentLate,
      soundSent: this.#soundSent,
      soundRefused: this.#soundRefused,
      soundRefusedAt: this.#soundRefusedAt,
    };
  }

  #isDrawn(perSecond: number): boolean {
    return this.#random.next() < perSecond * stepMs / 1_000;
  }

  #sendRequests(
    { soundPerSecond, badPerSecond }: SimulationLoad,
    now: number,
  ): void {
    if (this.#isDrawn(soundPerSecond)) {
      this.#ownParts += 1;
      this.#request([sharedPart, `own-${this.#ownParts}`], now);
    }
    if (this.#isDrawn(badPerSecond)) this.#request([sharedPart, badPart], now);
  }

  #request(parts: readonly string[], now: number): void {
    const isBad = parts.includes(badPart);
    const node = this.#random.nextInt(this.#nodes.length);
    const verdict = this.#nodes[node]?.check(parts, now);
    if (!isBad) this.#soundSent += 1;
    if (verdict?.kind === "quarantined") {
      if (!isBad) this.#recordSoundRefusal(now);
      return;
    }
    this.#send({ node, parts, brokenOn: new Set() }, now);
  }

  #recordSoundRefusal(now: number): void {
    this.#soundRefused += 1;
    this.#soundRefusedAt = now;
  }

  #send(request: Pick<Run, "node" | "parts" | "brokenOn">, now: number): void {
    const up = this.#replicas.flatMap((replica, at) =>
      replica.upAt <= now ? [at] : []
    );
    if (up.length === 0) return;
    const isLate = now > this.#fifthCrashAt + contactMs;
    if (request.parts.includes(badPart) && isLate) this.#sentLate += 1;
    const replica = this.#random.choose(up);
    this.#runs.push({ ...request, replica, sentAt: now, hasSurvived: false });
  }

  #endRuns(badFromMs: number, now: number): void {
    for (const run of [...this.#runs]) {
      const runsFor = now - run.sentAt;
      const isBad = run.parts.includes(badPart) && run.sentAt >= badFromMs;
      if (isBad && runsFor >= crashAfterMs) {
        this.#crashes += 1;
        if (this.#crashes === 5) this.#fifthCrashAt = now;
        this.#crash(run.replica, now);
      } else if (runsFor >= firstOutputMs + survivedAfterMs) {
        this.#recordSurvival(run, now);
      }
    }
    this.#runs = this.#runs.filter(({ sentAt }) => now - sentAt < runMs);
  }

  #recordSurvival(run: Run, now: number): void {
    if (run.hasSurvived || !this.#runs.includes(run)) return;
    run.hasSurvived = true;
    const startedAt = run.sentAt + firstOutputMs;
    this.#nodes[run.node]?.recordSurvival(run.parts, startedAt, now);
  }

  #killOne(now: number): void {
    this.#kills += 1;
    this.#crash(this.#random.nextInt(replicaCount), now);
  }

  #crash(at: number, now: number): void {
    const replica = this.#replicas[at];
    if (replica === undefined || replica.upAt > now) return;
    const broken = this.#runs.filter((run) => run.replica === at);
    this.#runs = this.#runs.filter((run) => run.replica !== at);
    const incarnation = `${at}/${replica.epoch}`;
    replica.epoch += 1;
    replica.upAt = now + restartMs;
    for (const { node, parts, hasSurvived, brokenOn: before } of broken) {
      const quarantine = this.#nodes[node];
      if (hasSurvived || quarantine === undefined) continue;
      quarantine.recordCrash(parts, incarnation, now);
      const brokenOn = new Set([...before, incarnation]);
      if (brokenOn.size >= maxAttempts) continue;
      if (quarantine.mayRepeat(parts, brokenOn, now)) {
        this.#send({ node, parts, brokenOn }, now);
      }
    }
  }

  /** Tells everyone what each node knows; over relays that takes several ticks. */
  #tellPeers(now: number): void {
    const { hops } = this.#options;
    if (now % (tickMs * hops) !== 0) return;
    const told = this.#nodes.map((node) => node.listTold(now));
    for (const [to, node] of this.#nodes.entries()) {
      for (const [from, parts] of told.entries()) {
        if (from === to || this.#random.next() < loss) continue;
        node.learn(parts, now);
      }
    }
  }
}

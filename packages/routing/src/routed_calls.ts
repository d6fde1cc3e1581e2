/**
 * Routes calls of plain services.
 *
 * Checks the team's limit, chooses an endpoint and sends the call. Counts every
 * refusal by its reason.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  ConfigurationSource,
  Endpoint,
  Team,
} from "@almondcrank/common/configuration.ts";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { Random } from "@almondcrank/common/random.ts";
import type {
  PlainAnswer,
  PlainEndpoint,
} from "@almondcrank/endpoint/plain_service.ts";
import type { ObjectStore } from "@almondcrank/platform/object_store.ts";
import { KeyFormat } from "./key_format.ts";
import type { KeyOwner, KeyPeers } from "./key_peers.ts";
import { PlainAttempts } from "./plain_attempts.ts";
import { PlainChoice, type PlainLoadSource } from "./plain_choice.ts";
import { createDrainingRefusal } from "./plain_refusals.ts";
import type { PlainRequest, PlainRouter } from "./plain_router.ts";
import type { Refusal } from "./refusal.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Permission to send one request; released when the request has ended. */
export interface Admission {
  release(): void;
}

/** Teams' limits as the request path uses them. */
export interface Limiter {
  admit(team: Team, cost: number): Either<Refusal, Admission>;
}

/** Options of the routing of plain calls. */
export interface RoutedCallsOptions {
  readonly configuration: ConfigurationSource;
  /** Client of a configured endpoint; the same one for the same endpoint. */
  readonly endpoints: (endpoint: Endpoint) => PlainEndpoint;
  readonly loads: PlainLoadSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly hasher: Hasher;
  readonly metrics: Metrics;
  readonly log: Log;
  /** This process. */
  readonly identity: KeyOwner;
  /** Secret shared by all nodes. */
  readonly sharedKey: string;
  readonly peers: KeyPeers;
  readonly claims: ObjectStore;
  readonly limiter: Limiter;
  readonly retryBudget: RetryBudget;
}

/** Router of plain calls of one process. */
export class RoutedCalls implements PlainRouter {
  readonly #options: RoutedCallsOptions;
  readonly #attempts: PlainAttempts;
  readonly #keys: KeyFormat;
  readonly #choices = new Map<string, PlainChoice>();
  #draining = false;

  private constructor(options: RoutedCallsOptions) {
    const { clock, metrics, retryBudget, endpoints } = options;
    this.#options = options;
    this.#keys = KeyFormat.create(options.sharedKey);
    this.#attempts = PlainAttempts.create({
      clock,
      metrics,
      budget: retryBudget,
      endpoints,
    });
  }

  static create(options: RoutedCallsOptions): RoutedCalls {
    return new RoutedCalls(options);
  }

  async call(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>> {
    const result = await this.#admitAndSend(request, signal);
    return result.ifLeft((refusal) => this.#countRefusal(refusal));
  }

  issueKey(team: Team): Either<Refusal, string> {
    if (this.#draining) return Left(createDrainingRefusal());
    const boundAtMs = this.#options.clock.now();
    const { node, incarnation } = this.#options.identity;
    const content = { node, incarnation, boundAtMs, team: team.name };
    return Right(this.#keys.issue(content));
  }

  /** Stops issuing keys: the node is about to leave. */
  drain(): void {
    this.#draining = true;
  }

  async #admitAndSend(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>> {
    const admitted = this.#options.limiter.admit(request.team, 1);
    if (admitted.isLeft()) return Left(admitted.extract() as Refusal);
    try {
      return await this.#send(request, signal);
    } finally {
      admitted.ifRight((admission) => admission.release());
    }
  }

  #send(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<Either<Refusal, PlainAnswer>> {
    const service = request.service.name;
    const endpoints = this.#options.configuration.current().endpoints
      .filter((endpoint) => endpoint.service === service);
    const choice = this.#findChoice(service);
    return this.#attempts.run({ request, endpoints, choice, signal });
  }

  #findChoice(service: string): PlainChoice {
    let choice = this.#choices.get(service);
    if (choice === undefined) {
      const { clock, random, loads } = this.#options;
      choice = PlainChoice.create({ clock, random, loads });
      this.#choices.set(service, choice);
    }
    return choice;
  }

  #countRefusal(refusal: Refusal): void {
    this.#options.metrics.count("refusals_total", {
      path: "plain",
      reason: refusal.kind,
      run: refusal.run,
    });
  }
}

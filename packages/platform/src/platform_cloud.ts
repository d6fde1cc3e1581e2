/**
 * Client of the platform's cloud API, for usage reports and replica orders.
 */

import type { Either } from "purify-ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
  type PlatformResponse,
} from "@almondcrank/infrastructure/platform_client.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";

/** Proof that a call's sender holds the duty lease: its name and fencing token. */
export interface DutyProof {
  readonly holder: string;
  readonly fencingToken: number;
  /** Whether the lease is still held under that token. */
  readonly isValid: () => boolean;
}

/** Number of requests of each tenant that began to run in one window. */
export interface UsageReport {
  /** Number of the window, counted from the Unix epoch. */
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Total number of replicas of one kind that a service should have in a zone. */
export interface ReplicaOrder {
  readonly service: string;
  readonly zone: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/** Answer to a usage report or a replica order. */
export type CloudCallOutcome = "accepted" | "none_available" | "refused";

/** Client of the cloud API. */
export class PlatformCloud implements Disposable {
  readonly #client: PlatformClient;

  private constructor(client: PlatformClient) {
    this.#client = client;
  }

  static create(options: PlatformClientOptions): PlatformCloud {
    return new PlatformCloud(PlatformClient.create("cloud_api", options));
  }

  /** Sends a usage report; idempotent for the same counts. */
  async sendUsage(
    report: UsageReport,
    proof: DutyProof,
  ): Promise<Either<PlatformError, CloudCallOutcome>> {
    const body = { "window-id": report.window, counts: report.counts };
    return (await this.#call("/usage", body, proof)).map(decodeOutcome);
  }

  /** Sends a replica order; idempotent, since it states the total number. */
  async sendOrder(
    order: ReplicaOrder,
    proof: DutyProof,
  ): Promise<Either<PlatformError, CloudCallOutcome>> {
    const body = {
      service: order.service,
      zone: order.zone,
      desired: order.count,
      ...(order.isReclaimable ? { spot: true } : {}),
    };
    return (await this.#call("/scale", body, proof)).map(decodeOutcome);
  }

  dispose(): void {
    this.#client.dispose();
  }

  #call(
    path: string,
    body: unknown,
    proof: DutyProof,
  ): Promise<Either<PlatformError, PlatformResponse>> {
    return this.#client.call({
      method: "POST",
      path,
      headers: {
        "x-duty-holder": proof.holder,
        "x-fencing-token": String(proof.fencingToken),
      },
      body: JSON.stringify(body),
      isAllowed: proof.isValid,
    });
  }
}

function decodeOutcome(answer: PlatformResponse): CloudCallOutcome {
  if (answer.status < 400) return "accepted";
  return answer.status === 409 ? "none_available" : "refused";
}

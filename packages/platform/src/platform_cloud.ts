/**
 * Calls to the platform's cloud address: usage reports and replica orders.
 */

import type { Either } from "purify-ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
  type PlatformResponse,
} from "@almondcrank/infrastructure/platform_client.ts";
import type { PlatformError } from "@almondcrank/infrastructure/platform_error.ts";

/** Proof of the right to make a call: the holder and its fencing number. */
export interface DutyProof {
  readonly holder: string;
  readonly fencingToken: number;
}

/** Requests of each tenant that began to run in one window. */
export interface UsageReport {
  /** Number of the window since the start of 1970. */
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Number of replicas of one kind that a zone should have. */
export interface ReplicaOrder {
  readonly service: string;
  readonly zone: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/** Outcome of an order that was answered. */
export type CloudCallOutcome = "accepted" | "none_available" | "refused";

/** Client of the cloud address. */
export class PlatformCloud implements Disposable {
  readonly #caller: PlatformClient;

  private constructor(caller: PlatformClient) {
    this.#caller = caller;
  }

  static create(options: PlatformClientOptions): PlatformCloud {
    return new PlatformCloud(PlatformClient.create("cloud_api", options));
  }

  /** Sends a usage report; an exact repeat is harmless. */
  async sendUsage(
    report: UsageReport,
    proof: DutyProof,
  ): Promise<Either<PlatformError, CloudCallOutcome>> {
    const body = { "window-id": report.window, counts: report.counts };
    return (await this.#call("/usage", body, proof)).map(decodeOutcome);
  }

  /** Sends a replica order, which states the whole number wanted. */
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
    this.#caller.dispose();
  }

  #call(
    path: string,
    body: unknown,
    proof: DutyProof,
  ): Promise<Either<PlatformError, PlatformResponse>> {
    return this.#caller.call({
      method: "POST",
      path,
      headers: {
        "x-duty-holder": proof.holder,
        "x-fencing-token": String(proof.fencingToken),
      },
      body: JSON.stringify(body),
    });
  }
}

function decodeOutcome(answer: PlatformResponse): CloudCallOutcome {
  if (answer.status < 400) return "accepted";
  return answer.status === 409 ? "none_available" : "refused";
}

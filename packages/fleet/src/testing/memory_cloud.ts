/**
 * In-memory cloud API for tests and measurements, with refusals, reclaims and
 * lost answers.
 */

import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import type {
  CloudApi,
  Instance,
  InstanceOutcome,
  InstanceRequest,
  NoticeBatch,
  Price,
  ReclaimNotice,
} from "@almondcrank/infrastructure/cloud_api.ts";
import {
  PlatformError,
  type PlatformErrorDetail,
} from "@almondcrank/infrastructure/platform_error.ts";
import { formatOffer, type Offer } from "../offers.ts";

/** Cloud that grants hosts unless told otherwise. */
export class MemoryCloud implements CloudApi {
  readonly #clock: Clock;
  readonly #instances = new Map<string, Instance>();
  readonly #startedAt = new Map<string, number>();
  readonly notices: ReclaimNotice[] = [];
  readonly returned: string[] = [];
  prices: readonly Price[] = [];
  startMs = 10_000;
  /** Requests received, repeated ones included. */
  requests = 0;
  isRefused: (offer: Offer) => boolean = () => false;
  /** Whether the answer of the next request is lost after its effect. */
  isAnswerLost: () => boolean = () => false;
  isUnavailable = false;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): MemoryCloud {
    return new MemoryCloud(clock);
  }

  get instances(): readonly Instance[] {
    return [...this.#instances.values()].map((instance) => ({
      ...instance,
      state: instance.state === "starting" && this.#hasStarted(instance)
        ? "running"
        : instance.state,
    }));
  }

  /** Announces the reclaim of a data centre's reclaimable hosts. */
  announceReclaim(zone: string, noticeMs: number): void {
    const reclaimAt = this.#clock.wallTime() + noticeMs;
    for (const instance of this.#instances.values()) {
      if (instance.zone !== zone || instance.market === "on_demand") continue;
      const { host } = instance;
      this.#instances.set(host, { ...instance, state: "leaving" });
      const sequence = this.notices.length + 1;
      this.notices.push({ sequence, host, reclaimAt });
    }
  }

  /** Removes the hosts that are leaving. */
  removeLeaving(): void {
    for (const { host, state } of [...this.#instances.values()]) {
      if (state === "leaving") this.#instances.delete(host);
    }
  }

  requestInstance(
    request: InstanceRequest,
  ): Promise<Either<PlatformError, InstanceOutcome>> {
    this.requests += 1;
    if (this.isUnavailable) return this.#fail("unavailable");
    const isLost = this.isAnswerLost();
    const known = [...this.#instances.values()]
      .find(({ token }) => token === request.token);
    if (known === undefined && this.isRefused(request)) {
      const reason = `no capacity for ${formatOffer(request)}`;
      return Promise.resolve(Right({ kind: "refused", reason }));
    }
    const instance = known ?? this.#start(request);
    return isLost
      ? this.#fail("outcome_unknown")
      : Promise.resolve(Right({ kind: "granted", instance }));
  }

  returnInstance(host: string): Promise<Either<PlatformError, void>> {
    if (this.isUnavailable) return this.#fail("unavailable");
    if (this.#instances.delete(host)) this.returned.push(host);
    return Promise.resolve(Right(undefined));
  }

  listInstances(): Promise<Either<PlatformError, readonly Instance[]>> {
    if (this.isUnavailable) return this.#fail("unavailable");
    return Promise.resolve(Right(this.instances));
  }

  async waitNotices(
    since: number,
    waitMs: number,
  ): Promise<Either<PlatformError, NoticeBatch>> {
    if (this.notices.length <= since) await this.#clock.sleep(waitMs);
    if (this.isUnavailable) return this.#fail("unavailable");
    const notices = this.notices.filter(({ sequence }) => sequence > since);
    return Right({ sequence: this.notices.length, notices });
  }

  listPrices(): Promise<Either<PlatformError, readonly Price[]>> {
    if (this.isUnavailable) return this.#fail("unavailable");
    return Promise.resolve(Right(this.prices));
  }

  #start(request: InstanceRequest): Instance {
    const number = this.#startedAt.size + 1;
    const host = `host-${number}`;
    const address = `10.0.${number >> 8}.${number & 255}:9000`;
    const instance: Instance = {
      ...request,
      host,
      address,
      state: "starting",
    };
    this.#instances.set(host, instance);
    this.#startedAt.set(host, this.#clock.now());
    return instance;
  }

  #hasStarted({ host }: Instance): boolean {
    const startedAt = this.#startedAt.get(host) ?? 0;
    return this.#clock.now() >= startedAt + this.startMs;
  }

  #fail(
    kind: "unavailable" | "outcome_unknown",
  ): Promise<Either<PlatformError, never>> {
    const detail: PlatformErrorDetail = {
      kind,
      service: "cloud_api",
      reason: "injected fault",
    };
    return Promise.resolve(Left(PlatformError.create(detail)));
  }
}

/**
 * Autoscaler: orders replicas from the platform according to the plan.
 *
 * An order states the total number of replicas of one kind in one zone, so it is
 * idempotent. It is sent when the plan differs from the last order, and again when
 * fewer replicas serve than were ordered.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Disposable } from "@almondcrank/common/disposables.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type {
  ScalingLimits,
  Service,
} from "@almondcrank/model/configuration.ts";
import type {
  CloudCallOutcome,
  PlatformCloud,
  ReplicaOrder,
} from "@almondcrank/platform/platform_cloud.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import type { RouteTable } from "../routes/route_table.ts";
import type { DutyLease } from "./duty_lease.ts";
import { runDutyLoop } from "./duty_loop.ts";
import {
  computeReplicaPlan,
  computeRequiredReplicas,
  type ReplicaPlanInput,
  type ZoneReplicas,
} from "./replica_plan.ts";
import { ReclaimableShortage } from "./reclaimable_shortage.ts";
import type { WorkMeter } from "./work_meter.ts";

const pollMs = 250;
/** Delay before a refused or unanswered order is sent again. */
const retryMs = 900;
/** Time beyond the boot time after which ordered replicas count as missing. */
const bootMarginMs = 2_500;
/** Least share of the maximum number of replicas wanted while load is unknown. */
const unknownLoadShare = 0.45;
/** Least share of the maximum number of replicas wanted once load is known. */
const knownLoadShare = 0.3;
/** Least share of the maximum number of replicas that is kept at any price. */
const essentialShare = 0.18;
/** Time since a service's first request after which its load counts as known. */
const loadLearningMs = 12_000;
/** Time after the start in which running replicas register. */
const registrationMs = 2_500;
/** Stabilization window: time for which a lower need does not take effect. */
const stabilizationMs = 8_000;

/** Dependencies of the autoscaler. */
export interface AutoscalerOptions {
  readonly cloud: PlatformCloud;
  readonly lease: DutyLease;
  readonly table: ReplicaTable;
  readonly work: WorkMeter;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly zones: readonly string[];
  readonly readRoutes: () => RouteTable | undefined;
  /** Whether a service moves to another software version. */
  readonly isRollingOut: (service: string) => boolean;
}

/** The last order for one kind of replicas in one zone. */
interface SentOrder {
  readonly count: number;
  /** Monotonic time in milliseconds. */
  readonly at: number;
  readonly outcome: CloudCallOutcome | "unknown";
}

/** Numbers of replicas for the load of a service. */
interface ReplicaNeed extends Pick<ReplicaPlanInput, "wanted" | "essential"> {
  /** Replicas that the present load keeps busy all the time. */
  readonly busy: number;
}

/** Highest need within the stabilization window. */
interface PeakNeed {
  readonly needed: number;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** Autoscaler of one node; orders only while the node holds the duty lease. */
export class Autoscaler implements Disposable {
  readonly #options: AutoscalerOptions;
  readonly #stopped = new AbortController();
  readonly #sentOrders = new Map<string, SentOrder>();
  /** Peak need of each service. */
  readonly #needs = new Map<string, PeakNeed>();
  /** Time of each service's first request. */
  readonly #busySince = new Map<string, number>();
  readonly #startedAt: number;
  readonly #shortage = ReclaimableShortage.create();

  private constructor(options: AutoscalerOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /** Creates and starts the autoscaler. */
  static create(options: AutoscalerOptions): Autoscaler {
    const autoscaler = new Autoscaler(options);
    void autoscaler.#start();
    return autoscaler;
  }

  dispose(): void {
    this.#stopped.abort();
  }

  #start(): Promise<void> {
    const { clock, lease } = this.#options;
    return runDutyLoop({
      clock,
      lease,
      pollMs,
      signal: this.#stopped.signal,
      discardState: () => this.#sentOrders.clear(),
      step: () => this.#orderAll(),
    });
  }

  async #orderAll(): Promise<void> {
    const services = this.#options.readRoutes()?.configuration.services ?? [];
    for (const service of services) {
      // Both versions run during a rollout; the new replicas are not capacity yet.
      if (this.#options.isRollingOut(service.name)) continue;
      if (service.scaling !== undefined) await this.#orderService(service);
    }
  }

  async #orderService(service: Service): Promise<void> {
    const { scaling } = service;
    if (scaling === undefined) return;
    const zones = this.#listZones(service);
    const need = this.#computeNeed(service, scaling, zones);
    const plan = computeReplicaPlan({
      scaling,
      zones,
      replicas: this.#listReplicas(service, zones),
      isShort: this.#shortage.isShort(service.name),
      ...need,
    });
    for (const { zone, reclaimable, onDemand } of plan) {
      const base = { service: service.name, zone };
      const order = { ...base, count: reclaimable, isReclaimable: true };
      await this.#order(service, order, need);
      // Before running replicas have registered, an order on demand could buy them
      // a second time or release them by mistake.
      if (!this.#haveRegistered()) continue;
      const onDemandOrder = { ...base, count: onDemand, isReclaimable: false };
      await this.#order(service, onDemandOrder, need);
    }
  }

  #haveRegistered(): boolean {
    return this.#options.clock.now() - this.#startedAt >= registrationMs;
  }

  /** Lists the zones in which the service has a price, or all if it has none. */
  #listZones({ scaling }: Service): readonly string[] {
    const priced = [...scaling?.zonePrices.keys() ?? []];
    return priced.length > 0 ? priced : this.#options.zones;
  }

  #listReplicas(
    service: Service,
    zones: readonly string[],
  ): readonly ZoneReplicas[] {
    return zones.flatMap((zone) =>
      [true, false].map((isReclaimable) => {
        const ready = this.#countReady(service.name, zone, isReclaimable);
        const order = { service: service.name, zone, isReclaimable };
        return {
          zone,
          isReclaimable,
          ready,
          booting: this.#countBooting(service, order, ready),
        };
      })
    );
  }

  #countReady(service: string, zone: string, isReclaimable: boolean): number {
    return this.#options.table.listUsable(service).filter(({ replica }) =>
      replica.zone === zone && replica.isReclaimable === isReclaimable
    ).length;
  }

  #countBooting(
    { scaling }: Service,
    order: Omit<ReplicaOrder, "count">,
    ready: number,
  ): number {
    const ordered = this.#sentOrders.get(formatOrderKey(order));
    if (ordered === undefined || ordered.outcome !== "accepted") return 0;
    const bootMs = (scaling?.bootSeconds ?? 0) * 1_000 + bootMarginMs;
    const isBooting = this.#options.clock.now() - ordered.at < bootMs;
    return isBooting ? Math.max(0, ordered.count - ready) : 0;
  }

  /** Computes the numbers for the load, stabilized against a short drop. */
  #computeNeed(
    { name, engine }: Service,
    scaling: ScalingLimits,
    zones: readonly string[],
  ): ReplicaNeed {
    const { work, clock } = this.#options;
    const now = clock.now();
    const busy = work.computeBusyReplicas(name, now);
    if (busy > 0 && !this.#busySince.has(name)) this.#busySince.set(name, now);
    const isKnown = now - (this.#busySince.get(name) ?? now) > loadLearningMs;
    const maxReplicas = scaling.maxPerZone * zones.length;
    const active = this.#options.table.listUsable(name)
      .reduce((sum, { totalLoad: load }) => sum + load.active, 0);
    const slots = engine?.slots ?? Infinity;
    const needed = Math.min(
      maxReplicas,
      computeRequiredReplicas({ busy, active, slots }),
    );
    const essential = this.#retainPeak(
      name,
      Math.max(needed, Math.ceil(maxReplicas * essentialShare)),
      now,
    );
    const share = isKnown ? knownLoadShare : unknownLoadShare;
    const wanted = Math.max(essential, Math.ceil(maxReplicas * share));
    return { busy, essential, wanted };
  }

  /** Keeps a higher earlier need until the stabilization window has passed. */
  #retainPeak(service: string, needed: number, now: number): number {
    const previous = this.#needs.get(service);
    const isRetained = previous !== undefined &&
      previous.needed > needed && now - previous.at < stabilizationMs;
    if (isRetained) return previous.needed;
    this.#needs.set(service, { needed, at: now });
    return needed;
  }

  async #order(
    service: Service,
    order: ReplicaOrder,
    { busy, essential, wanted }: ReplicaNeed,
  ): Promise<void> {
    const { clock } = this.#options;
    const orderKey = formatOrderKey(order);
    const ordered = this.#sentOrders.get(orderKey);
    const now = clock.now();
    if (!this.#isDue(service, order, ordered)) return;
    const { lease, cloud, log, metrics } = this.#options;
    const proof = lease.readProof();
    if (proof === undefined) return;
    const result = await cloud.sendOrder(order, proof);
    const outcome = result.caseOf<SentOrder["outcome"]>({
      Left: () => "unknown",
      Right: (outcome) => outcome,
    });
    this.#sentOrders.set(orderKey, { count: order.count, at: now, outcome });
    if (order.isReclaimable) {
      const ready = this.#countReady(service.name, order.zone, true);
      this.#shortage.record({ ...order, ready, outcome }, now);
    }
    metrics.count("orders_total", { outcome });
    log.info("replicas ordered.", {
      zone: order.zone,
      count: order.count,
      reclaimable: order.isReclaimable,
      outcome,
      busy: Math.round(busy * 10) / 10,
      essential,
      wanted,
    });
  }

  /** Whether no other zone of the service was refused longer ago. */
  #isOldestRefusal(service: string, { at }: SentOrder): boolean {
    for (const [orderKey, other] of this.#sentOrders) {
      const isRefused = orderKey.startsWith(`${service}/`) &&
        other.outcome === "none_available";
      if (isRefused && other.at < at) return false;
    }
    return true;
  }

  /** Whether an order differs from the last one or has to be sent again. */
  #isDue(
    service: Service,
    order: ReplicaOrder,
    ordered: SentOrder | undefined,
  ): boolean {
    if (ordered === undefined) return true;
    const ageMs = this.#options.clock.now() - ordered.at;
    if (ordered.outcome === "none_available" && order.isReclaimable) {
      return this.#isOldestRefusal(order.service, ordered) &&
        this.#shortage.takeProbe(order.service, this.#options.clock.now());
    }
    if (ordered.outcome !== "accepted") return ageMs >= retryMs;
    if (ordered.count !== order.count) return true;
    const { zone, isReclaimable } = order;
    const ready = this.#countReady(order.service, zone, isReclaimable);
    const bootMs = (service.scaling?.bootSeconds ?? 0) * 1_000 + bootMarginMs;
    return ready < order.count && ageMs >= bootMs;
  }
}

function formatOrderKey(order: Omit<ReplicaOrder, "count">): string {
  const kind = order.isReclaimable ? "reclaimable" : "on_demand";
  return `${order.service}/${order.zone}/${kind}`;
}

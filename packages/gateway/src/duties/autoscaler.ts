/**
 * Orders replicas so that the plan comes true.
 *
 * An order states the whole number of one kind in one zone, so repeating it is
 * harmless. It is sent when the plan differs from what was ordered last, and
 * again when fewer replicas serve than were ordered.
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
import type { WorkMeter } from "./work_meter.ts";

const pollMs = 250;
/** Pause before a refused or unanswered order is sent again. */
const retryMs = 900;
/** Pause between probes for reclaimable replicas in a shortage. */
const shortageProbeMs = 600;
/** Time beyond the boot time until an order counts as lost. */
const bootMarginMs = 2_500;
/** Share of the most replicas allowed that is wanted before load is known. */
const unknownLoadShare = 0.45;
/** The same once it is. */
const knownLoadShare = 0.3;
/** Share of the most replicas allowed that is kept at any price. */
const essentialShare = 0.18;
/** Time for which requests must have come until the load counts as known. */
const learnMs = 12_000;
/** Time in which the first replicas register. */
const registrationMs = 2_500;
/** Time for which a high need is remembered. */
const needMemoryMs = 8_000;

/** What orders need. */
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
}

interface Ordered {
  readonly count: number;
  readonly at: number;
  readonly outcome: CloudCallOutcome | "unknown";
}

/** Replicas for the load of a service. */
interface ReplicaNeed extends Pick<ReplicaPlanInput, "wanted" | "essential"> {
  /** Replicas that the present load would keep busy all the time. */
  readonly busy: number;
}

interface Need {
  readonly needed: number;
  readonly at: number;
}

/** Orders of one node. */
export class Autoscaler implements Disposable {
  readonly #options: AutoscalerOptions;
  readonly #stopped = new AbortController();
  readonly #ordered = new Map<string, Ordered>();
  readonly #needs = new Map<string, Need>();
  /** Time at which a service's first requests came. */
  readonly #busySince = new Map<string, number>();
  readonly #startedAt: number;
  /** Time of the next probe of services in a shortage. */
  readonly #nextProbeAt = new Map<string, number>();

  private constructor(options: AutoscalerOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /** Starts at once; orders only while the lease is held. */
  static create(options: AutoscalerOptions): Autoscaler {
    const orders = new Autoscaler(options);
    void orders.#start();
    return orders;
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
      discardState: () => this.#ordered.clear(),
      step: () => this.#orderAll(),
    });
  }

  async #orderAll(): Promise<void> {
    const services = this.#options.readRoutes()?.configuration.services ?? [];
    for (const service of services) {
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
      ...need,
    });
    for (const { zone, reclaimable, onDemand } of plan) {
      const base = { service: service.name, zone };
      const order = { ...base, count: reclaimable, isReclaimable: true };
      await this.#order(service, order, need);
      // Replicas that have not registered yet would be bought a second time,
      // or given up unseen.
      if (!this.#haveRegistered()) continue;
      const dedicated = { ...base, count: onDemand, isReclaimable: false };
      await this.#order(service, dedicated, need);
    }
  }

  #haveRegistered(): boolean {
    return this.#options.clock.now() - this.#startedAt >= registrationMs;
  }

  /** Zones in which the service has a price or a replica. */
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
    const ordered = this.#ordered.get(formatSubject(order));
    if (ordered === undefined || ordered.outcome !== "accepted") return 0;
    const bootMs = (scaling?.bootSeconds ?? 0) * 1_000 + bootMarginMs;
    const isBooting = this.#options.clock.now() - ordered.at < bootMs;
    return isBooting ? Math.max(0, ordered.count - ready) : 0;
  }

  /** Replicas for the load, remembering a high need for a while. */
  #computeNeed(
    { name, engine }: Service,
    scaling: ScalingLimits,
    zones: readonly string[],
  ): ReplicaNeed {
    const { work, clock } = this.#options;
    const now = clock.now();
    const busy = work.computeBusyReplicas(name, now);
    if (busy > 0 && !this.#busySince.has(name)) this.#busySince.set(name, now);
    const isKnown = now - (this.#busySince.get(name) ?? now) > learnMs;
    const most = scaling.maxPerZone * zones.length;
    const active = this.#options.table.listUsable(name)
      .reduce((sum, { totalLoad: load }) => sum + load.active, 0);
    const slots = engine?.slots ?? Infinity;
    const loaded = Math.min(
      most,
      computeRequiredReplicas({ busy, active, slots }),
    );
    const essential = this.#remember(
      name,
      Math.max(loaded, Math.ceil(most * essentialShare)),
      now,
    );
    const share = isKnown ? knownLoadShare : unknownLoadShare;
    const wanted = Math.max(essential, Math.ceil(most * share));
    return { busy, essential, wanted };
  }

  #remember(service: string, needed: number, now: number): number {
    const previous = this.#needs.get(service);
    const isRemembered = previous !== undefined &&
      previous.needed > needed && now - previous.at < needMemoryMs;
    if (isRemembered) return previous.needed;
    this.#needs.set(service, { needed, at: now });
    return needed;
  }

  async #order(
    service: Service,
    order: ReplicaOrder,
    { busy, essential, wanted }: ReplicaNeed,
  ): Promise<void> {
    const { clock } = this.#options;
    const subject = formatSubject(order);
    const ordered = this.#ordered.get(subject);
    const now = clock.now();
    if (!this.#isDue(service, order, ordered)) return;
    const { lease, cloud, log, metrics } = this.#options;
    const proof = lease.readProof();
    if (proof === undefined) return;
    const result = await cloud.sendOrder(order, proof);
    const outcome = result.caseOf<Ordered["outcome"]>({
      Left: () => "unknown",
      Right: (outcome) => outcome,
    });
    this.#ordered.set(subject, { count: order.count, at: now, outcome });
    if (order.isReclaimable) this.#recordShortage(order, outcome, now);
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

  /** One accepted order ends a shortage; all zones are asked again then. */
  #recordShortage(
    { service, count }: ReplicaOrder,
    outcome: Ordered["outcome"],
    now: number,
  ): void {
    if (outcome === "none_available") {
      this.#nextProbeAt.set(service, now + shortageProbeMs);
    } else if (outcome === "accepted" && count > 0) {
      this.#nextProbeAt.delete(service);
    }
  }

  /** Whether no other zone of the service has waited longer since a refusal. */
  #isOldestRefusal(service: string, { at }: Ordered): boolean {
    for (const [subject, other] of this.#ordered) {
      const isRefused = subject.startsWith(`${service}/`) &&
        other.outcome === "none_available";
      if (isRefused && other.at < at) return false;
    }
    return true;
  }

  /** In a shortage one zone after the other is asked, not all at once. */
  #takeShortageProbe(service: string): boolean {
    const now = this.#options.clock.now();
    const nextProbeAt = this.#nextProbeAt.get(service);
    if (nextProbeAt === undefined) return true;
    if (now < nextProbeAt) return false;
    this.#nextProbeAt.set(service, now + shortageProbeMs);
    return true;
  }

  #isDue(
    service: Service,
    order: ReplicaOrder,
    ordered: Ordered | undefined,
  ): boolean {
    if (ordered === undefined) return true;
    const ageMs = this.#options.clock.now() - ordered.at;
    if (ordered.outcome === "none_available" && order.isReclaimable) {
      return this.#isOldestRefusal(order.service, ordered) &&
        this.#takeShortageProbe(order.service);
    }
    if (ordered.outcome !== "accepted") return ageMs >= retryMs;
    if (ordered.count !== order.count) return true;
    const { zone, isReclaimable } = order;
    const ready = this.#countReady(order.service, zone, isReclaimable);
    const bootMs = (service.scaling?.bootSeconds ?? 0) * 1_000 + bootMarginMs;
    return ready < order.count && ageMs >= bootMs;
  }
}

function formatSubject(order: Omit<ReplicaOrder, "count">): string {
  const kind = order.isReclaimable ? "reclaimable" : "on_demand";
  return `${order.service}/${order.zone}/${kind}`;
}

/**
 * What a gateway does a few times a second: forgets replicas that are gone, tells
 * what is due, and sets its gauges.
 */

import {
  createDisposable,
  type Disposable,
} from "@almondcrank/common/disposables.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { AllowanceLog } from "./limits/allowance_log.ts";

const intervalMs = 250;

/** Starts the maintenance of a gateway; it stops when disposed. */
export function startMaintenance(parts: GatewayParts): Disposable {
  const { services, rateLimiter, origins, rollouts, clock } = parts;
  const { table, sender } = services;
  const allowances = AllowanceLog.create({
    rateLimiter,
    clock,
    log: services.log.createChild("limits"),
  });
  const timer = setInterval(() => {
    table.expire(clock.now());
    rollouts?.gate.check();
    sender.retain((key) => table.find(key) !== undefined);
    setGauges(parts);
    allowances.tellDue();
    origins.tellDue();
  }, intervalMs);
  return createDisposable(() => clearInterval(timer));
}

function setGauges(
  { services, server, bodies, connections, clock }: GatewayParts,
): void {
  const { metrics, table, quarantine } = services;
  metrics.setGauge("requests_running", server.running);
  bodies.recordMetrics(metrics);
  connections.recordMetrics(metrics);
  const ageMs = table.computeAgeMs(clock.now());
  metrics.setGauge("registrations_age_ms", ageMs ?? -1);
  metrics.setGauge("replicas_limited", table.countLimited());
  metrics.setGauge("parts_quarantined", quarantine.size);
}

/**
 * Logs how a tenant's allowance is used while requests of it are refused.
 *
 * Lines of single requests are bounded under load, so they don't add up. These lines
 * have sums: what all nodes admitted beside what each of them heard of it.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import type { Log } from "@almondcrank/common/logs.ts";
import type { TenantRateLimiter } from "./tenant_rate_limiter.ts";

/** Interval between the lines of a tenant. */
const intervalMs = 1_000;
/** Time for which lines go on after the last refusal. */
const afterRefusalMs = 10_000;

/** Dependencies of an allowance log. */
export interface AllowanceLogOptions {
  readonly rateLimiter: TenantRateLimiter;
  readonly clock: Clock;
  readonly log: Log;
}

/** Sum of what a tenant was refused, and when it last grew. */
interface Refusals {
  readonly sum: number;
  readonly at: number;
}

/** Log of one node's allowances. */
export class AllowanceLog {
  readonly #options: AllowanceLogOptions;
  readonly #refusals = new Map<string, Refusals>();
  #toldAt = -Infinity;

  private constructor(options: AllowanceLogOptions) {
    this.#options = options;
  }

  static create(options: AllowanceLogOptions): AllowanceLog {
    return new AllowanceLog(options);
  }

  /** Logs the tenants that were refused lately, once a second. */
  tellDue(): void {
    const { rateLimiter, clock, log } = this.#options;
    const now = clock.now();
    if (now - this.#toldAt < intervalMs) return;
    this.#toldAt = now;
    for (const use of rateLimiter.listUse(now)) {
      const last = this.#refusals.get(use.tenant);
      if (use.refused > (last?.sum ?? 0)) {
        this.#refusals.set(use.tenant, { sum: use.refused, at: now });
      } else if (now - (last?.at ?? -Infinity) > afterRefusalMs) continue;
      log.info("a tenant reaches its allowance.", { ...use });
    }
  }
}

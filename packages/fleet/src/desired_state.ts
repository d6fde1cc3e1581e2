/**
 * What the configuration asks of one engine.
 */

import type {
  Configuration,
  Endpoint,
} from "@almondcrank/common/configuration.ts";
import type {
  EngineRole,
  EngineState,
  LoadedModel,
} from "@almondcrank/endpoint/engine.ts";
import { type DesiredState, isInState } from "./order_sender.ts";

/** What is left to do until an engine is in its desired state. */
export type PendingWork =
  | { readonly kind: "none" }
  /** An order that moves no weights. */
  | { readonly kind: "order" }
  /** An order that makes the engine load weights of `bytes` in total. */
  | { readonly kind: "load"; readonly bytes: number }
  /** The engine is loading what it was ordered to. */
  | { readonly kind: "loading" };

/**
 * Computes the desired state of an engine, undefined for endpoints of plain
 * services, which take no orders.
 */
export function computeDesiredState(
  configuration: Configuration,
  endpoint: Endpoint,
  role: EngineRole,
): DesiredState | undefined {
  const service = configuration.services
    .find(({ name }) => name === endpoint.service);
  if (service === undefined || service.kind === "plain") return undefined;
  const model = configuration.models
    .find(({ name }) => name === service.model);
  if (model === undefined) return undefined;
  const { name, version } = model;
  const models = [{ model: name, version, adapters: service.adapters }];
  return { role, models };
}

/** Computes what is left to do; `wasOrdered` tells that the order was accepted. */
export function computePendingWork(
  configuration: Configuration,
  { state, desired, wasOrdered }: {
    readonly state: EngineState;
    readonly desired: DesiredState;
    readonly wasOrdered: boolean;
  },
): PendingWork {
  if (isInState(state, desired)) return { kind: "none" };
  if (wasOrdered && state.loading.length > 0) return { kind: "loading" };
  const missing = desired.models.filter((model) => !isHeld(state, model));
  if (missing.length === 0) return { kind: "order" };
  const bytes = missing.reduce(
    (sum, { model }) =>
      sum +
      (configuration.models.find(({ name }) => name === model)?.weightBytes ??
        0),
    0,
  );
  return { kind: "load", bytes };
}

function isHeld(state: EngineState, wanted: LoadedModel): boolean {
  return state.models.some(({ model, version }) =>
    model === wanted.model && version === wanted.version
  );
}

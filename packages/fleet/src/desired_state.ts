/**
 * Desired state of one engine, and the work left to reach it.
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

/** Work left until an engine is in its desired state. */
export type PendingWork =
  | { readonly kind: "none" }
  /** An order that loads no weights. */
  | { readonly kind: "order" }
  /** An order that makes the engine load weights of `bytes` in total. */
  | { readonly kind: "load"; readonly bytes: number }
  /** The engine is loading the weights that it was ordered to load. */
  | { readonly kind: "loading" };

/**
 * Computes the desired state of an engine; undefined for endpoints of plain
 * services, which take no orders, and of unknown services or models.
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

/**
 * Computes the work left for an engine.
 *
 * `wasOrdered` tells that the engine accepted an order for the desired state.
 */
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
  const missing = desired.models.filter((model) => !isLoaded(state, model));
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

function isLoaded(state: EngineState, wanted: LoadedModel): boolean {
  return state.models.some(({ model, version }) =>
    model === wanted.model && version === wanted.version
  );
}

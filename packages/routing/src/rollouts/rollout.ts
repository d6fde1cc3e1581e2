/**
 * A service's move to another software version: the operators' order, the step
 * that is in force, and how it ended.
 */

/** Order to move a service's traffic to replicas of a software version. */
export interface RolloutOrder {
  /** Distinguishes it from earlier orders for the service; later ones are higher. */
  readonly id: number;
  readonly service: string;
  /** Software version that the service shall run. */
  readonly to: string;
  /** Time from the order within which it has to end, in milliseconds. */
  readonly durationMs: number;
}

/** State of an order, as operators see it. */
export type RolloutState = "in_progress" | "completed" | "reverted";

/** Share of a service's requests that go to the new version, until it expires. */
export interface RolloutStep {
  readonly order: number;
  readonly service: string;
  readonly to: string;
  /** Increases with each change, also when the duty changes hands. */
  readonly number: number;
  /** Share of new requests for the new version, in [0, 1]. */
  readonly share: number;
  /** Monotonic time after which the new version gets nothing, in milliseconds. */
  readonly expiresAt: number;
}

/** Which versions of a service a new request may go to. */
export type VersionRule =
  | { readonly kind: "any" }
  | { readonly kind: "only"; readonly version: string }
  | { readonly kind: "not"; readonly version: string };

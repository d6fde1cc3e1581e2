/**
 * Predicts what a request costs a replica, from what such requests took before.
 */

import { FirstEventModel, type FirstEventWork } from "./first_event_model.ts";
import { OutputModel } from "./output_model.ts";
import type { RequestCost, RequestShape, SoftwareKey } from "./request_cost.ts";

/** Costs of all services, as this node knows them. */
export class CostModel {
  /** Times of first events, counted over all nodes. */
  readonly firstEvents = FirstEventModel.create();
  readonly outputs = OutputModel.create();

  static create(): CostModel {
    return new CostModel();
  }

  /** Predicts the cost of a request on a replica of usual speed. */
  predict(shape: RequestShape, now: number): RequestCost {
    const tokensPerMs = this.firstEvents.computeTokensPerMs(shape, now);
    const output = this.outputs.predict(shape);
    return {
      prefillMs: shape.uncachedTokens / tokensPerMs,
      outputTokens: output.tokens,
      highOutputTokens: output.highTokens,
      runMs: this.outputs.predictRunMs(shape.service),
      observations: output.observations,
    };
  }

  /** Predicts the time to the first event on a replica of usual speed. */
  predictFirstEventMs(
    key: SoftwareKey,
    work: FirstEventWork,
    now: number,
  ): number {
    return this.firstEvents.computeMs(key, work, now);
  }
}

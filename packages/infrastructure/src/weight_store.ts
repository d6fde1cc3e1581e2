/**
 * The weight store, from which engines load models at a shared, limited rate.
 *
 * Wire, HTTP with JSON: `GET /rate` answers `WeightRate`. Engines fetch
 * `GET /weights/NAME?bytes=N` themselves when an order makes them load a model.
 */

import type { Either } from "purify-ts";
import type { PlatformError } from "./platform_error.ts";

/** Shared rate and the loads that use it now. */
export interface WeightRate {
  readonly bytesPerSecond: number;
  readonly activeLoads: number;
}

/** Client of the weight store. */
export interface WeightStore {
  readRate(): Promise<Either<PlatformError, WeightRate>>;
}

/**
 * The weight store, from which engines load model weights at a shared, limited
 * rate.
 *
 * Wire format, HTTP with JSON: `GET /rate` answers `WeightRate`. Engines fetch
 * `GET /weights/NAME?bytes=N` themselves when an order makes them load a model.
 */

import type { Either } from "purify-ts";
import type { PlatformError } from "./platform_error.ts";

/** Rate that all loads share, and the number of loads in progress. */
export interface WeightRate {
  readonly bytesPerSecond: number;
  readonly activeLoads: number;
}

/** Client of the weight store. Failed calls resolve to `Left`. */
export interface WeightStore {
  readRate(): Promise<Either<PlatformError, WeightRate>>;
}

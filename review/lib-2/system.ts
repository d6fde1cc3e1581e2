/**
 * The project's stand-ins of the platform's store and of its duty calls, for the
 * scripts of this review.
 */
export { StoreStandin } from "@almondcrank/standin/platform/store_standin.ts";
export { CloudStandin } from "@almondcrank/standin/platform/cloud_standin.ts";

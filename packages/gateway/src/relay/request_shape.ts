/**
 * Composes the properties of a request from which its cost is predicted.
 */

import type { RequestShape } from "@almondcrank/routing/placement/request_cost.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Composes the shape of a request on replicas of a software version. */
export function composeShape(
  request: RoutedRequest,
  { softwareVersion, uncachedTokens }: Pick<
    RequestShape,
    "softwareVersion" | "uncachedTokens"
  >,
): RequestShape {
  return {
    service: request.service.name,
    softwareVersion,
    route: request.route.name,
    uncachedTokens,
    promptTokens: request.promptTokens,
    maxOutputTokens: request.maxOutputTokens,
    hintedOutputTokens: request.hintedOutputTokens,
  };
}

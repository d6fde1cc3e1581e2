/**
 * Decides where the stream of a caller that comes back may go on.
 */

import type { IncomingMessage } from "node:http";
import type { LogFields } from "@almondcrank/common/logs.ts";
import {
  lastEventIdHeader,
  resumedRequestHeader,
} from "@almondcrank/platform/headers.ts";
import type { ReplicaTable } from "../choice/replica_table.ts";
import type { StreamOrigin } from "../choice/stream_origins.ts";
import type { RelayServices } from "./relay_services.ts";
import { readHeader, type Routed } from "./request_admission.ts";

/** Where a stream may go on. */
export type ResumeVerdict =
  /** Only at replicas of this service and version. */
  | { readonly kind: "continues"; readonly origin: StreamOrigin }
  /** No replica of the service is known, so there is nothing to choose. */
  | { readonly kind: "unknown" }
  | { readonly kind: "refused" };

/** What the decision depends on. */
export interface ResumeInputs {
  readonly table: ReplicaTable;
  /** Service and version that began the stream, if known. */
  readonly origin: StreamOrigin | undefined;
}

/**
 * Decides where a stream may go on. If it is not known who began it, only the
 * one version that there is can have done so; among several, a guess would join
 * what does not fit together.
 */
export function decideResume(
  { route, service }: Pick<Routed, "route" | "service">,
  { table, origin }: ResumeInputs,
): ResumeVerdict {
  const isAllowed = route.targets.some((target) =>
    target.service === origin?.service
  );
  if (origin !== undefined && isAllowed) return { kind: "continues", origin };
  const versions = table.listVersions(service.name);
  const [version] = versions;
  if (version === undefined) return { kind: "unknown" };
  if (origin !== undefined || versions.length > 1) return { kind: "refused" };
  return { kind: "continues", origin: { service: service.name, version } };
}

/** Route of a request, and the version at which its stream may go on. */
export type FoundResume =
  | {
    readonly kind: "routed";
    readonly routed: Routed;
    /** Undefined if the request begins a stream, or is none. */
    readonly version: string | undefined;
  }
  | { readonly kind: "refused"; readonly fields: LogFields };

/**
 * Finds where the stream of a request may go on, which may be at another service
 * of its route than the one that was drawn.
 */
export async function findResume(
  request: IncomingMessage,
  routed: Routed,
  { table, origins }: Pick<RelayServices, "table" | "origins">,
): Promise<FoundResume> {
  const isResume = routed.route.kind === "stream" &&
    readHeader(request, lastEventIdHeader) !== undefined;
  if (!isResume) return { kind: "routed", routed, version: undefined };
  const id = readHeader(request, resumedRequestHeader);
  const mayAsk = routed.route.targets.length > 1 ||
    table.isMixed(routed.service.name);
  const origin = id === undefined ? undefined : await origins.find(id, mayAsk);
  const verdict = decideResume(routed, { table, origin });
  switch (verdict.kind) {
    case "unknown":
      return { kind: "routed", routed, version: undefined };
    case "refused": {
      const versions = table.listVersions(routed.service.name).join(", ");
      return { kind: "refused", fields: { resumes: id, versions } };
    }
    case "continues": {
      const { service: name, version } = verdict.origin;
      const service = routed.routes.findService(name) ?? routed.service;
      return { kind: "routed", routed: { ...routed, service }, version };
    }
  }
}

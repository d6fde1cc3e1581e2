/**
 * Decides where the stream of a caller that comes back may go on.
 */

import type { IncomingMessage } from "node:http";
import type { LogFields } from "@almondcrank/common/logs.ts";
import {
  lastEventIdHeader,
  resumedRequestHeader,
} from "@almondcrank/platform/headers.ts";
import type { FoundOrigin, StreamOrigin } from "../choice/stream_origins.ts";
import type { VersionKnowledge } from "../cluster/version_archive.ts";
import { composeLocalReply, type LocalReply } from "./local_reply.ts";
import type { RelayServices } from "./relay_services.ts";
import { readHeader, type Routed } from "./request_admission.ts";

/** Where a stream may go on. */
export type ResumeVerdict =
  /** Only at replicas of this service and version. */
  | { readonly kind: "continues"; readonly origin: StreamOrigin }
  /** No replica of the service is known, so there is nothing to choose. */
  | { readonly kind: "unknown" }
  /** This node does not know yet what was before its start, or joined lately. */
  | { readonly kind: "not_read" }
  | { readonly kind: "refused" };

/** What the decision depends on. */
export interface ResumeInputs {
  readonly versions: Pick<
    VersionKnowledge,
    "listVersions" | "isComplete" | "isCurrent"
  >;
  /** Whether the stored origins of before this node's start were read. */
  readonly hasReadStored: boolean;
  /** Service and version that began the stream, if known. */
  readonly found: FoundOrigin;
}

/**
 * Decides where a stream may go on. If it is not known who began it, only the
 * one version that serves or served lately can have done so; among several, a
 * guess would join what does not fit together. A node that is out of step, or hears
 * none of the peers that would know, can't tell whether it knows them all.
 */
export function decideResume(
  { route, service }: Pick<Routed, "route" | "service">,
  { versions, found, hasReadStored }: ResumeInputs,
): ResumeVerdict {
  const origin = found.kind === "known" ? found.origin : undefined;
  const isAllowed = route.targets.some((target) =>
    target.service === origin?.service
  );
  if (origin !== undefined && isAllowed) return { kind: "continues", origin };
  const [version, ...others] = versions.listVersions(service.name);
  if (version === undefined) return { kind: "unknown" };
  if (origin !== undefined) return { kind: "refused" };
  if (others.length > 0) {
    return { kind: hasReadStored ? "refused" : "not_read" };
  }
  const knowsAll = versions.isComplete && versions.isCurrent &&
    found.kind !== "unheard";
  if (!knowsAll) return { kind: "not_read" };
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
  | {
    readonly kind: "refused";
    readonly reply: LocalReply;
    readonly fields: LogFields;
  };

/** Time after which the store may have answered a node that started. */
const notReadRetryMs = 500;

/**
 * Finds where the stream of a request may go on, which may be at another service
 * of its route than the one that was drawn.
 */
export async function findResume(
  request: IncomingMessage,
  routed: Routed,
  { versions, origins }: Pick<RelayServices, "versions" | "origins">,
): Promise<FoundResume> {
  const isResume = routed.route.kind === "stream" &&
    readHeader(request, lastEventIdHeader) !== undefined;
  if (!isResume) return { kind: "routed", routed, version: undefined };
  const id = readHeader(request, resumedRequestHeader);
  if (!versions.isComplete) await versions.waitUntilComplete();
  const isLikely = routed.route.targets.length > 1 || !versions.isComplete ||
    !versions.isCurrent || versions.isMixed(routed.service.name);
  const found = id === undefined
    ? { kind: "unknown" } as const
    : await origins.find(id, isLikely);
  const { hasReadStored } = origins;
  const verdict = decideResume(routed, { versions, found, hasReadStored });
  const known = versions.listVersions(routed.service.name).join(", ");
  const began = found.kind === "known" ? found.origin.version : found.kind;
  const fields = { resumes: id, versions: known, began };
  switch (verdict.kind) {
    case "unknown": {
      const reply = composeLocalReply(503, "no_replica", notReadRetryMs);
      return { kind: "refused", reply, fields };
    }
    case "not_read": {
      const reply = composeLocalReply(503, "versions_not_read", notReadRetryMs);
      return { kind: "refused", reply, fields };
    }
    case "refused": {
      const reply = composeLocalReply(503, "unknown_origin");
      return { kind: "refused", reply, fields };
    }
    case "continues": {
      const { service: name, version } = verdict.origin;
      const service = routed.routes.findService(name) ?? routed.service;
      return { kind: "routed", routed: { ...routed, service }, version };
    }
  }
}

/**
 * Refuses requests that crash replicas, or whose prompt has a part that does.
 */

import type { IncomingMessage } from "node:http";
import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { LogFields } from "@almondcrank/common/logs.ts";
import {
  parsePromptParts,
  promptPartsHeader,
} from "@almondcrank/platform/headers.ts";
import { computeFingerprint } from "@almondcrank/routing/quarantine/request_fingerprint.ts";
import {
  listParts,
  type SuspectParts,
} from "@almondcrank/routing/quarantine/suspect_parts.ts";
import { composeLocalReply, type LocalReply } from "./local_reply.ts";
import type { RelayServices } from "./relay_services.ts";
import { readHeader, type Routed } from "./request_admission.ts";

/** A refusal, and the log fields that explain it. */
export interface QuarantineRefusal {
  readonly reply: LocalReply;
  readonly fields: LogFields;
}

/** Lists the parts by which the quarantine knows a request. */
export function listSuspects(
  request: IncomingMessage,
  { routed, body, hasher }: {
    readonly routed: Routed;
    readonly body: Buffer;
    readonly hasher: Hasher;
  },
): SuspectParts {
  const parts = parsePromptParts(readHeader(request, promptPartsHeader))
    .map(({ id }) => id);
  const fingerprint = computeFingerprint(hasher, {
    caller: routed.tenant?.name,
    method: request.method ?? "",
    host: request.headers.host ?? "",
    path: request.url ?? "",
    body,
  });
  return { shared: parts.slice(0, -1), own: [...parts.slice(-1), fingerprint] };
}

/** Finds out whether a request is refused; `undefined` if it may be sent. */
export function findQuarantine(
  suspects: SuspectParts,
  { quarantine, clock, metrics }: Pick<
    RelayServices,
    "quarantine" | "clock" | "metrics"
  >,
): QuarantineRefusal | undefined {
  const verdict = quarantine.check(listParts(suspects), clock.now());
  switch (verdict.kind) {
    case "free":
      return undefined;
    case "probe":
      metrics.count("quarantine_probes_total");
      return undefined;
    case "quarantined": {
      const { part, retryAfterMs } = verdict;
      const reply = composeLocalReply(503, "quarantined", retryAfterMs);
      return { reply, fields: { promptPart: part } };
    }
  }
}

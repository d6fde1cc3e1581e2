/**
 * Refuses requests with a prompt part under which replicas crash.
 */

import type { IncomingMessage } from "node:http";
import type { LogFields } from "@almondcrank/common/logs.ts";
import {
  parsePromptParts,
  promptPartsHeader,
} from "@almondcrank/platform/headers.ts";
import { listSharedParts } from "./crash_recorder.ts";
import { composeLocalReply, type LocalReply } from "./local_reply.ts";
import type { RelayServices } from "./relay_services.ts";
import { readHeader } from "./request_admission.ts";

/** A refusal, and the log fields that explain it. */
export interface QuarantineRefusal {
  readonly reply: LocalReply;
  readonly fields: LogFields;
}

/** Finds out whether a request is refused; `undefined` if it may be sent. */
export function findQuarantine(
  request: IncomingMessage,
  { quarantine, clock, metrics }: Pick<
    RelayServices,
    "quarantine" | "clock" | "metrics"
  >,
): QuarantineRefusal | undefined {
  const parts = parsePromptParts(readHeader(request, promptPartsHeader));
  const verdict = quarantine.check(listSharedParts(parts), clock.now());
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

/**
 * Notes and configurations that several tests of this package use.
 */

import {
  emptyConfiguration,
  type Endpoint,
} from "@almondcrank/common/configuration.ts";
import type { ReleasedConfiguration } from "@almondcrank/infrastructure/configuration_codec.ts";
import { type ParsedNote, parseReleaseNote } from "../release_note.ts";
import { applyNote } from "../release_plan.ts";

/** Note that sets up one model service and one plain service. */
export const firstNoteText = `{
  // The assistant and the booking service.
  "add": {
    "teams": [
      { "name": "counter", "keyHash": "${"a".repeat(64)}", "priority": 1 },
    ],
    "models": [
      { "name": "almond-8b", "version": "1", "weightBytes": 16000000000 }
    ],
    "adapters": [
      { "name": "defects", "version": "1", "model": "almond-8b" }
    ],
    "services": [
      {
        "kind": "model", "name": "assistant", "model": "almond-8b",
        "adapters": ["defects"],
        "target": { "firstTokenMs": 1600, "betweenTokensMs": 32 }
      },
      { "kind": "plain", "name": "booking" }
    ],
    "endpoints": [
      {
        "name": "engine-1", "service": "assistant", "address": "127.0.0.1:9001",
        "host": "host-1", "zone": "muc-1", "machineClass": "gpu-a",
        "market": "reclaimable", "checksFencing": true
      }
    ]
  }
}
`;

/** Parses a note that is known to be valid. */
export function parseNote(note: unknown): ParsedNote {
  const text = typeof note === "string" ? note : JSON.stringify(note);
  return parseReleaseNote(text, "note.jsonc").unsafeCoerce();
}

/** Configuration that the first note gives. */
export function createFirstConfiguration(): ReleasedConfiguration {
  return applyNote(parseNote(firstNoteText), emptyConfiguration)
    .unsafeCoerce().configuration;
}

/** Endpoint of the assistant service. */
export function createEndpoint(
  name: string,
  fields: Partial<Endpoint> = {},
): Endpoint {
  return {
    name,
    service: "assistant",
    address: "127.0.0.1:9100",
    host: name,
    zone: "muc-1",
    machineClass: "gpu-a",
    market: "reclaimable",
    checksFencing: true,
    ...fields,
  };
}

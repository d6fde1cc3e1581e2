/**
 * The request mix of the demo: the example requests of Prüfplan.
 *
 * The bundle contains the example file; a run from source reads it from disk.
 */

import { readFileSync } from "node:fs";
import {
  parseRequestMix,
  type RequestMix,
} from "@almondcrank/load/request_mix.ts";

declare const builtInExampleMix: string | undefined;

const exampleFile = "examples/pruefplan/requests.jsonc";

/** Reads the example request mix; throws when the file is invalid. */
export function readDemoMix(): RequestMix {
  const text = typeof builtInExampleMix === "string"
    ? builtInExampleMix
    : readFileSync(exampleFile, "utf8");
  return parseRequestMix(exampleFile, text).unsafeCoerce();
}

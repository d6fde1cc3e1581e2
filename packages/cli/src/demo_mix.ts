/**
 * Prüfplan's example requests, for the demo.
 *
 * The bundle has them built in; a run from source reads the example file.
 */

import { readFileSync } from "node:fs";
import {
  parseRequestMix,
  type RequestMix,
} from "@almondcrank/load/request_mix.ts";

declare const builtInExampleMix: string | undefined;

const exampleFile = "examples/pruefplan/requests.jsonc";

/** Reads the example requests. */
export function readDemoMix(): RequestMix {
  const text = typeof builtInExampleMix === "string"
    ? builtInExampleMix
    : readFileSync(exampleFile, "utf8");
  return parseRequestMix(exampleFile, text).unsafeCoerce();
}

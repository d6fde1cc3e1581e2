/**
 * Compares the transcript of each session with its golden file.
 */

import { readFileSync } from "node:fs";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  formatGoldenPath,
  goldenSessions,
  runGoldenSession,
} from "./golden_session.ts";

for (const session of goldenSessions) {
  test(`the ${session.name} session matches its golden transcript`, async () => {
    const golden = readFileSync(formatGoldenPath(session), "utf8");
    assert.fixture(`${await runGoldenSession(session)}\n`, golden);
  });
}

test.run();

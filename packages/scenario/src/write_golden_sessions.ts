/**
 * Writes the golden transcripts of all sessions anew; look at the difference
 * before it is committed.
 */

import { writeFileSync } from "node:fs";
import {
  formatGoldenPath,
  goldenSessions,
  runGoldenSession,
} from "./golden_session.ts";

for (const session of goldenSessions) {
  const transcript = await runGoldenSession(session);
  writeFileSync(formatGoldenPath(session), `${transcript}\n`);
}

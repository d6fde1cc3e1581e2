/**
 * Rewrites the golden transcripts of all sessions. Review the difference before
 * committing it.
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

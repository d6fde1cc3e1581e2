/**
 * Limits of answers: an endpoint in trouble may send bytes without end.
 */

import { BodyBudget } from "@almondcrank/common/body_budget.ts";

/** Interim answers (1xx) accepted before an answer; none are expected. */
const maxInterimAnswers = 16;
/** Largest body that is read whole, in bytes; cache exports are the largest. */
const maxBodyBytes = 16 * 1_048_576;

/** Bodies that are being read. */
const budget = BodyBudget.create();

/** Reads a body as text; throws, and closes its connection, above 16 MiB. */
export async function readBodyText(
  body: AsyncIterable<Buffer>,
): Promise<string> {
  const chunks: Buffer[] = [];
  const share = budget.open();
  let bytes = 0;
  try {
    for await (const chunk of body) {
      bytes += chunk.length;
      if (!share.add(chunk.length) || bytes > maxBodyBytes) {
        throw new Error(`the answer is too large (${bytes} bytes)`);
      }
      chunks.push(chunk);
    }
    return new TextDecoder().decode(Buffer.concat(chunks));
  } finally {
    share.release();
  }
}

/** Creates an `onInfo` callback that fails a call with too many interim answers. */
export function createInterimLimit(): () => void {
  let received = 0;
  return () => {
    received += 1;
    if (received <= maxInterimAnswers) return;
    throw new Error("too many interim answers");
  };
}

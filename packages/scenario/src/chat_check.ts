/**
 * Checks what a caller received against what the engines must generate.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";
import { computeExpectedTokens } from "@almondcrank/standin/expected_tokens.ts";
import type { ChatCall } from "./caller.ts";
import { model } from "./fleet_settings.ts";

/** Names the first token that is not the right one, if any. */
export function checkChatTokens(
  hasher: Hasher,
  name: string,
  chat: ChatCall,
): string | undefined {
  const expected = computeExpectedTokens(hasher, {
    model,
    prompt: `<user> ${chat.prompt}\n<assistant>`,
    maxTokens: chat.maxTokens,
  }).tokens;
  for (const [index, token] of chat.tokens.entries()) {
    if (token === expected[index]) continue;
    return `token ${index} of ${name} is "${token}", not "${expected[index]}"`;
  }
  return undefined;
}

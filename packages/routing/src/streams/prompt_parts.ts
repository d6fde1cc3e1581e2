/**
 * Parts of a prompt that requests may share, to tell which of them crash replicas.
 *
 * A part is one message of the conversation: a prompt has one line per message that
 * begins with the message's role, and a message may go on over further lines. Its
 * identity is a hash of its own text and of the model. The hashes of cache blocks
 * can't serve: each covers all blocks before it, so that one message has others in
 * each conversation.
 *
 * The last message counts too: it is its request's own, but the request may come
 * again, from its caller or by the retries of its stream. Of long conversations the
 * first and the latest messages count, so that the number is bounded. Parts follow
 * from the text alone: a node that takes a stream over finds the same ones.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";

/** Parts taken from the beginning of a prompt, and as many from its end. */
const maxPartsPerEnd = 32;

const messageStart = /\n(?=<(?:system|developer|user|assistant|tool)>)/;
/** Where the answer goes, which is no message. */
const answerStart = /\n<assistant>\s*$/;

/** Computes the parts of a prompt, each once, in order. */
export function computePromptParts(
  hasher: Hasher,
  { model, prompt }: { readonly model: string; readonly prompt: string },
): readonly string[] {
  const messages = prompt.replace(answerStart, "").split(messageStart);
  const kept = messages.length <= 2 * maxPartsPerEnd ? messages : [
    ...messages.slice(0, maxPartsPerEnd),
    ...messages.slice(-maxPartsPerEnd),
  ];
  const seed = hasher.hash64(model);
  const parts = kept.map((text) => hasher.hash64(text, seed).toString(16));
  return [...new Set(parts)];
}

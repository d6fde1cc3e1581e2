/**
 * Identifiers of streams.
 *
 * The form is `NODE~INCARNATION~NUMBER-SECRET`. The node that opened the stream
 * comes first, so that any node knows which one to ask. The incarnation keeps a
 * restarted node from reusing an id. The secret is random, so that ids cannot be
 * guessed.
 */

import type { Random } from "@almondcrank/common/random.ts";

const separator = "~";
const secretRange = 0x1_0000_0000;
const radix = 36;

/** Identity of the process that opened a stream. */
export interface StreamOwner {
  readonly nodeName: string;
  readonly incarnation: string;
}

/** Formats the id of the owner's stream number `number`. */
export function formatStreamId(
  owner: StreamOwner,
  number: number,
  random: Random,
): string {
  const secret = [0, 0].map(() => random.nextInt(secretRange).toString(radix));
  const last = `${number.toString(radix)}-${secret.join("")}`;
  return [owner.nodeName, owner.incarnation, last].join(separator);
}

/** Parses the owner from an id; undefined if the id is malformed. */
export function parseStreamOwner(id: string): StreamOwner | undefined {
  const [nodeName, incarnation, last, ...more] = id.split(separator);
  if (!nodeName || !incarnation || !last || more.length > 0) return undefined;
  return { nodeName, incarnation };
}

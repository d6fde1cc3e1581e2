/**
 * Identifiers of streams.
 *
 * `NODE~INCARNATION~NUMBER-SECRET`: the owning node first, so that any node
 * knows whom to ask; the incarnation, so that a restarted node never takes up a
 * number of its predecessor; random digits, so that ids cannot be guessed.
 */

import type { Random } from "@almondcrank/common/random.ts";

const separator = "~";
const secretRange = 0x1_0000_0000;
const radix = 36;

/** Identity of the process that owns a stream. */
export interface StreamOwner {
  readonly nodeName: string;
  readonly incarnation: string;
}

/** Formats the id of the owner's stream with the given number. */
export function formatStreamId(
  owner: StreamOwner,
  number: number,
  random: Random,
): string {
  const secret = [0, 0].map(() => random.nextInt(secretRange).toString(radix));
  const last = `${number.toString(radix)}-${secret.join("")}`;
  return [owner.nodeName, owner.incarnation, last].join(separator);
}

/** Parses the owner out of an id; undefined when it is malformed. */
export function parseStreamOwner(id: string): StreamOwner | undefined {
  const [nodeName, incarnation, last, ...more] = id.split(separator);
  if (!nodeName || !incarnation || !last || more.length > 0) return undefined;
  return { nodeName, incarnation };
}

/**
 * Datagrams in which a node tells peers which version began which streams.
 */

import { z } from "zod";
import type { StreamOrigin } from "../choice/stream_origins.ts";

const messageSchema = z.object({
  /** Service, software version, keys of the streams; the name is short. */
  o: z.array(z.tuple([z.string(), z.string(), z.array(z.string())])),
});

/** Largest number of streams in one datagram, so that it is not fragmented. */
const maxStreams = 40;

/** Encodes origins into as many datagrams as they need. */
export function encodeOrigins(
  origins: ReadonlyMap<string, StreamOrigin>,
): readonly Buffer[] {
  const entries = [...origins];
  const datagrams: Buffer[] = [];
  for (let at = 0; at < entries.length; at += maxStreams) {
    const message = { o: groupIds(entries.slice(at, at + maxStreams)) };
    datagrams.push(Buffer.from(JSON.stringify(message)));
  }
  return datagrams;
}

/** Decodes a datagram; `undefined` if it is another or malformed. */
export function decodeOrigins(
  bytes: Buffer,
): ReadonlyMap<string, StreamOrigin> | undefined {
  if (!bytes.subarray(0, prefix.length).equals(prefix)) return undefined;
  try {
    const json: unknown = JSON.parse(bytes.toString("utf8"));
    const { data } = messageSchema.safeParse(json);
    if (data === undefined) return undefined;
    return new Map(
      data.o.flatMap(([service, version, ids]) =>
        ids.map((id) => [id, { service, version }] as const)
      ),
    );
  } catch {
    // Truncated, or from another program.
    return undefined;
  }
}

/** Start of each such datagram; reports begin with other bytes. */
const prefix = Buffer.from('{"o":');

function groupIds(
  entries: readonly (readonly [string, StreamOrigin])[],
): z.infer<typeof messageSchema>["o"] {
  const groups = new Map<string, [string, string, string[]]>();
  for (const [id, { service, version }] of entries) {
    const key = JSON.stringify([service, version]);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [service, version, [id]]);
    else group[2].push(id);
  }
  return [...groups.values()];
}

/**
 * Compression of request and response bodies between peers.
 *
 * Uses raw deflate with a preset dictionary of the messages' field names, so
 * that small messages shrink too. Bodies below a threshold are not compressed.
 */

import { constants, deflateRawSync, inflateRawSync } from "node:zlib";

/** The content-encoding header of compressed bodies. */
export const peerEncoding = "x-peer-deflate";

const minDeflateBytes = 160;
const maxInflatedBytes = 67_108_864;

const dictionary = Buffer.from(
  '{"error":{"message":"code":"data":{"result":{"data":{"identity":{"node":"' +
    '"incarnation":"zone":"region":"peerAddress":"10.0.0.1:7000"},"leaving":' +
    'false},"remainingMs":"endpoint":"changes":[{"kind":"member","kind":' +
    '"leaving","whole":false,"checksum":"cursor":"demand":{"teams":[' +
    '"requestsPerSecond":["tokensPerSecond":["zone":{"alive":["' +
    '"aggregates":{"services":["reachable":["freeSlots":["queuedTokens":[' +
    '"origins":[{"node":"incarnation":"version":"ageMs":"revision":0,' +
    '"loads":{"endpoints":["versions":["agesMs":[0,0,0,0,"queued":[0,0,0,0,' +
    '"running":[0,0,0,0,"slots":[8,8,8,8,"queuedTokens":[0,0,0,0,' +
    '"prefillTokensPerSecond":["betweenTokensMs":["reachable":[1,1,1,1]},' +
    '"from":{"node":"scope":"zone","seen":{"',
);

/** A body as it is sent. */
export interface EncodedBody {
  readonly bytes: Uint8Array;
  readonly encoding: string | undefined;
}

/** Compresses a body when that makes it smaller. */
export function encodeBody(text: string): EncodedBody {
  const bytes = Buffer.from(text);
  if (bytes.length < minDeflateBytes) return { bytes, encoding: undefined };
  const compressed = deflateRawSync(bytes, {
    dictionary,
    level: constants.Z_DEFAULT_COMPRESSION,
  });
  return compressed.length < bytes.length
    ? { bytes: compressed, encoding: peerEncoding }
    : { bytes, encoding: undefined };
}

/** Decodes a body; throws when it is malformed or inflates beyond 64 MiB. */
export function decodeBody(body: EncodedBody): string {
  if (body.encoding !== peerEncoding) {
    return Buffer.from(body.bytes).toString("utf8");
  }
  return inflateRawSync(body.bytes, {
    dictionary,
    maxOutputLength: maxInflatedBytes,
  }).toString("utf8");
}

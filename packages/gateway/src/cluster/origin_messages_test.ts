import { test } from "uvu";
import * as assert from "uvu/assert";
import type { StreamOrigin } from "../choice/stream_origins.ts";
import { decodeOrigins, encodeOrigins } from "./origin_messages.ts";

/** Size up to which a datagram is not fragmented on usual links, in bytes. */
const maxDatagramBytes = 1_400;

test("origins survive encoding, in datagrams that are not fragmented", () => {
  const origins = new Map<string, StreamOrigin>();
  for (let at = 0; at < 200; at += 1) {
    const id = at.toString(16).padStart(16, "0");
    origins.set(id, { service: "models", version: `v1.${at % 3}` });
  }
  const decoded = new Map<string, StreamOrigin>();
  for (const bytes of encodeOrigins(origins)) {
    assert.ok(bytes.length <= maxDatagramBytes, `${bytes.length} bytes`);
    for (const [id, origin] of decodeOrigins(bytes) ?? []) {
      decoded.set(id, origin);
    }
  }
  assert.equal(decoded, origins);
});

test("other and truncated datagrams are ignored", () => {
  const [bytes = Buffer.alloc(0)] = encodeOrigins(
    new Map([["id", { service: "models", version: "v1" }]]),
  );
  assert.is(decodeOrigins(bytes.subarray(0, bytes.length - 3)), undefined);
  assert.is(decodeOrigins(Buffer.from('{"origins":[["a",1,[]]]}')), undefined);
  assert.is(decodeOrigins(Buffer.from('{"node":"a"}\n')), undefined);
  assert.is(decodeOrigins(Buffer.alloc(0)), undefined);
});

test.run();

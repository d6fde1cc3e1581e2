import * as assert from "uvu/assert";
import { test } from "uvu";
import { parseNodeSettings } from "./settings.ts";

const minimal = `{
  "node": "muc1-a", "zone": "muc-1",
  "listen": {
    "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "[::1]:0"
  },
  "peerKey": "0123456789abcdef", "operatorKey": "0123456789abcdef",
  "platform": { "objectApi": "127.0.0.1:7000" },
}`;

function readMessage(text: string): string {
  return parseNodeSettings("n.jsonc", text).swap().map((e) => e.message)
    .orDefault("");
}

test("defaults are filled in", () => {
  const settings = parseNodeSettings("n.jsonc", minimal).unsafeCoerce();
  assert.is(settings.policy, "predicted");
  assert.is(settings.limits.maxConnections, 4096);
  assert.is(settings.log.format, "text");
});

test("a host name in place of an IP address is refused with its position", () => {
  const text = minimal.replace("127.0.0.1:7000", "localhost:7000");
  assert.match(
    readMessage(text),
    /n\.jsonc:7:.*objectApi: is not an IP address/,
  );
});

test("a short key is refused without printing it", () => {
  const message = readMessage(
    minimal.replace(
      '"operatorKey": "0123456789abcdef"',
      '"operatorKey": "pa55"',
    ),
  );
  assert.match(message, /operatorKey: is shorter than 16 characters/);
  assert.not.match(message, /pa55/);
});

test("an unknown key is refused", () => {
  assert.match(
    readMessage(minimal.replace('"zone"', '"zome"')),
    /zome: is not a known key/,
  );
});

test.run();

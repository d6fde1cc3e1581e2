import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { decodeSettings } from "@almondcrank/platform/decode_settings.ts";
import { LiveSettings } from "./live_settings.ts";

function formatSettings(revokeMs: number): string {
  return JSON.stringify({
    "node-name": "n",
    ip: "10.0.0.1",
    zone: "a",
    "port-range": [7_600, 7_615],
    platform: { address: "10.0.0.9:80" },
    bounds: { "revoke-ms": revokeMs },
    "a-new-key": true,
  });
}

function createLive(
  file: { text: string | undefined },
): LiveSettings {
  return LiveSettings.create({
    log: createSilentLog(),
    readText: () => {
      if (file.text === undefined) throw new Error("no file");
      return file.text;
    },
    decode: decodeSettings,
  }).unsafeCoerce();
}

test("changed bounds take effect at the next refresh", () => {
  const file = { text: formatSettings(5_000) };
  const live = createLive(file);
  let changes = 0;
  live.onChanged(() => changes += 1);
  live.refresh();
  assert.is(changes, 0);
  file.text = formatSettings(3_000);
  live.refresh();
  assert.is(live.current.bounds.revocationMs, 3_000);
  assert.is(changes, 1);
});

test("an invalid or missing file changes nothing", () => {
  const file: { text: string | undefined } = { text: formatSettings(5_000) };
  const live = createLive(file);
  for (const text of ["{", "{}", undefined]) {
    file.text = text;
    live.refresh();
    assert.is(live.current.bounds.revocationMs, 5_000);
  }
  file.text = formatSettings(4_000);
  live.refresh();
  assert.is(live.current.bounds.revocationMs, 4_000);
});

test.run();

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  composeStoreVersion,
  formatStoreVersion,
  readStoreEra,
  readStoreRevision,
} from "./store_version.ts";

test("every version of a later era is higher, whatever its revision", () => {
  const before = composeStoreVersion({ era: 1, revision: 4_000_000_000 });
  const after = composeStoreVersion({ era: 2, revision: 1 });
  assert.ok(after > before);
  assert.ok(Number.isSafeInteger(after));
});

test("era and revision can be read from a version", () => {
  const version = composeStoreVersion({ era: 7, revision: 530 });
  assert.is(readStoreEra(version), 7);
  assert.is(readStoreRevision(version), 530);
  assert.is(formatStoreVersion(version), "7.530");
});

test("without an era a version is the revision", () => {
  assert.is(composeStoreVersion({ era: 0, revision: 9 }), 9);
});

test.run();

import * as assert from "uvu/assert";
import { test } from "uvu";
import { emptyConfiguration } from "@almondcrank/common/configuration.ts";
import type { ReleasedConfiguration } from "@almondcrank/infrastructure/configuration_codec.ts";
import { formatChange } from "./configuration_diff.ts";
import {
  createFirstConfiguration,
  firstNoteText,
  parseNote,
} from "./testing/release_fixtures.ts";
import { parseReleaseNote } from "./release_note.ts";
import { applyNote } from "./release_plan.ts";

/** Faults of a note against a configuration, as lines. */
function listFaults(
  text: string,
  base: ReleasedConfiguration = createFirstConfiguration(),
): string[] {
  const outcome = parseReleaseNote(text, "note.jsonc")
    .chain((parsed) => applyNote(parsed, base));
  return outcome.swap().unsafeCoerce().message.split("\n");
}

test("a note with comments is parsed and its defaults are set", () => {
  const { configuration, changes } = applyNote(
    parseNote(firstNoteText),
    emptyConfiguration,
  ).unsafeCoerce();
  assert.is(configuration.teams[0]?.share, 1);
  assert.is(configuration.services[1]?.timeoutMs, 10_000);
  assert.equal(changes.map(formatChange), [
    "add team counter",
    "add model almond-8b",
    "add adapter defects",
    "add service assistant",
    "add service booking",
    "add endpoint engine-1",
  ]);
});

test("changes merge fields and withdrawals remove items", () => {
  const plan = applyNote(
    parseNote({
      change: { teams: [{ name: "counter", priority: 3 }] },
      withdraw: { endpoints: ["engine-1"] },
    }),
    createFirstConfiguration(),
  ).unsafeCoerce();
  assert.equal(plan.changes.map(formatChange), [
    "change team counter: priority 1 -> 3",
    "withdraw endpoint engine-1",
  ]);
  assert.equal(plan.changes[0], {
    kind: "changed",
    section: "teams",
    name: "counter",
    fields: [{ field: "priority", from: 1, to: 3 }],
  });
});

const faultCases: readonly {
  readonly name: string;
  readonly text: string;
  readonly faults: readonly string[];
}[] = [
  {
    name: "broken syntax",
    text: '{\n  "add": {,}\n}',
    faults: [
      "note.jsonc:2:11: ValueExpected; correct the JSON here",
    ],
  },
  {
    name: "unknown keys",
    text: '{\n  "add": {\n    "teamz": []\n  }, "extra": 1\n}',
    faults: [
      "note.jsonc:3:14: add.teamz: is not a known key; remove it or correct its name",
      "note.jsonc:4:15: extra: is not a known key; remove it or correct its name",
    ],
  },
  {
    name: "a key that stands twice",
    text: '{ "add": {},\n "add": {} }',
    faults: ["note.jsonc:2:2: add: stands twice; remove one of them"],
  },
  {
    name: "a missing field",
    text: '{ "add": { "models": [{ "name": "m", "version": "1" }] } }',
    faults: [
      "note.jsonc:1:23: add.models[0].weightBytes: Invalid input: expected number, received undefined; correct the value",
    ],
  },
  {
    name: "an unknown kind of service",
    text: '{ "add": { "services": [{ "kind": "grpc", "name": "x" }] } }',
    faults: [
      'note.jsonc:1:35: add.services[0].kind: kind must be "model" or "plain"; correct the value',
    ],
  },
  {
    name: "a host name in an address",
    text:
      '{ "change": { "endpoints": [{ "name": "engine-1", "address": "localhost:80" }] } }',
    faults: [
      "note.jsonc:1:62: change.endpoints[0].address: must be an IP number and a port, such as 127.0.0.1:8080; correct the value",
    ],
  },
  {
    name: "a name of rented hosts",
    text: JSON.stringify({
      add: {
        endpoints: [{
          name: "rented-1",
          service: "booking",
          address: "127.0.0.1:1",
          host: "h",
          zone: "z",
          machineClass: "c",
          market: "on_demand",
        }],
      },
    }),
    faults: [
      "note.jsonc:1:30: add.endpoints[0].name: must not begin with rented-, which marks rented hosts; correct the value",
    ],
  },
  {
    name: "adding what exists",
    text:
      '{ "add": { "models": [{ "name": "almond-8b", "version": "2", "weightBytes": 1 }] } }',
    faults: [
      'note.jsonc:1:33: add.models[0].name: adds model "almond-8b", which exists; move it to change',
    ],
  },
  {
    name: "changing and withdrawing what is missing",
    text:
      '{ "change": { "teams": [{ "name": "x", "share": 2 }] }, "withdraw": { "teams": ["y"] } }',
    faults: [
      'note.jsonc:1:35: change.teams[0].name: names team "x", which does not exist; add it or correct the name',
      'note.jsonc:1:81: withdraw.teams[0]: names team "y", which does not exist; add it or correct the name',
    ],
  },
  {
    name: "one name twice",
    text:
      '{ "change": { "teams": [{ "name": "counter" }] }, "withdraw": { "teams": ["counter"] } }',
    faults: [
      'note.jsonc:1:75: withdraw.teams[0]: names team "counter" a second time; keep one entry',
    ],
  },
  {
    name: "withdrawing what is used",
    text: '{ "withdraw": { "services": ["assistant"] } }',
    faults: [
      'note.jsonc:1:30: withdraw.services[0]: withdraws service "assistant", which endpoint "engine-1" uses; withdraw or change endpoint "engine-1" too',
    ],
  },
  {
    name: "an unknown reference",
    text:
      '{ "change": { "endpoints": [{ "name": "engine-1", "service": "nope" }] } }',
    faults: [
      'note.jsonc:1:62: change.endpoints[0].service: refers to service "nope", which does not exist; add it or correct the name',
    ],
  },
  {
    name: "a service that changes its kind",
    text:
      '{ "change": { "services": [{ "name": "booking", "kind": "model" }] } }',
    faults: [
      'note.jsonc:1:57: change.services[0].kind: is "plain" and cannot change; withdraw the service and add it anew',
    ],
  },
  {
    name: "an address used twice",
    text: JSON.stringify({
      add: {
        endpoints: [{
          name: "engine-2",
          service: "assistant",
          address: "127.0.0.1:9001",
          host: "h",
          zone: "z",
          machineClass: "c",
          market: "on_demand",
        }],
      },
    }),
    faults: [
      'note.jsonc:1:73: add.endpoints[0].address: of endpoint "engine-2" is that of endpoint "engine-1"; give each its own',
    ],
  },
];

for (const { name, text, faults } of faultCases) {
  test(`refuses ${name}`, () => {
    assert.equal(listFaults(text), faults);
  });
}

test("a note that is no object is refused", () => {
  assert.is(parseReleaseNote("[]", "note.jsonc").isLeft(), true);
  assert.is(parseReleaseNote("", "note.jsonc").isLeft(), true);
});

test.run();

import { deflateRawSync, inflateRawSync } from "node:zlib";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decodePeerMessage,
  encodePeerMessage,
  encodePeerReport,
  type PeerHeader,
  type PeerReport,
} from "./peer_messages.ts";

const status = {
  asOf: 1,
  digest: 2,
  ageMs: null,
  outageMs: 7,
  readMs: 9,
  reader: { node: "m", ageMs: 3 },
};
const header: PeerHeader = {
  node: "n",
  incarnation: "i",
  ip: "127.0.0.1",
  zone: "z",
  scope: "system",
  upMs: 5,
  isDraining: false,
  isStoreUnreachable: true,
  sentAt: 1,
  heldMs: 7,
  wallTime: 2,
  medianTime: 3,
  echo: { sentAt: 3, heldMs: 4 },
  configuration: status,
  replicas: status,
  duty: null,
  included: { counters: [["cost/t", 2]], loads: [], usage: [] },
};
const report: PeerReport = {
  allowances: [["t", 1, 2]],
  budgets: [],
  work: [["s", 3, 0]],
  tallies: [["seen/s", 4]],
  loads: Array.from(
    { length: 40 },
    (_, index) => [`replica-${index}/1`, index, 0, 9],
  ),
  news: { steps: [{ service: "s" }] },
  leaving: ["replica-3/1"],
  suspects: [
    ["p", 12, null, [["replica-1/1", 40]]],
    ["q", null, 3, []],
  ],
  limits: [["replica-1/1", 1.5, 20], ["replica-2/1", null, 0]],
  usage: [[7, { t: 3 }]],
  alive: [{ node: "m", ageMs: 4, isDraining: true }],
  members: [{ node: "m", ip: "127.0.0.2", zone: "z" }],
};

test("a datagram decodes to what was encoded, with and without a report", () => {
  const encoded = encodePeerReport(report);
  const whole = encodePeerMessage(header, encoded);
  assert.equal(decodePeerMessage(whole), { ...header, report });
  assert.equal(decodePeerMessage(encodePeerMessage(header, undefined)), header);
});

test("a report of an earlier version, which has fewer lists, is accepted", () => {
  const { suspects: _, limits: __, tallies: ___, news: ____, ...earlier } =
    report;
  const encoded = encodePeerReport(earlier as PeerReport);
  const decoded = decodePeerMessage(encodePeerMessage(header, encoded));
  const empty = { suspects: [], limits: [], tallies: [], news: {} };
  assert.equal(decoded?.report, { ...earlier, ...empty });
});

test("a short report is one stored block, which other versions inflate", () => {
  const short: PeerReport = { ...report, loads: [["replica-1/1", 1, 0, 9]] };
  const encoded = encodePeerReport(short);
  const json = inflateRawSync(encoded).toString("utf8");
  assert.equal(JSON.parse(json), short);
  const datagram = encodePeerMessage(header, encoded);
  assert.equal(decodePeerMessage(datagram)?.report, short);
  const compressed = deflateRawSync(json);
  assert.equal(
    decodePeerMessage(encodePeerMessage(header, compressed))?.report,
    short,
  );
  const truncated = datagram.subarray(0, datagram.length - 1);
  assert.is(decodePeerMessage(truncated), undefined);
});

/** Values of which no field of a datagram accepts any but its own type. */
const otherValues: readonly unknown[] = ["text", 7, true, [[]], [7], { a: 1 }];
/** Fields of a datagram that accept one of these values. */
const acceptedValues: Readonly<Record<string, unknown>> = {
  node: "text",
  incarnation: "text",
  ip: "text",
  zone: "text",
  upMs: 7,
  sentAt: 7,
  heldMs: 7,
  wallTime: 7,
  medianTime: 7,
  duty: 7,
  isDraining: true,
  isStoreUnreachable: true,
};

test("a header with a field of another type is dropped", () => {
  for (const key of Object.keys(header)) {
    for (const value of otherValues) {
      if (acceptedValues[key] === value) continue;
      const wrong = { ...header, [key]: value } as unknown as PeerHeader;
      const decoded = decodePeerMessage(encodePeerMessage(wrong, undefined));
      assert.is(decoded, undefined, `${key}: ${JSON.stringify(value)}`);
    }
  }
  for (const key of ["configuration", "replicas"] as const) {
    for (const field of Object.keys(status)) {
      const wrong = { ...header, [key]: { ...status, [field]: "text" } };
      const bytes = encodePeerMessage(wrong as PeerHeader, undefined);
      assert.is(decodePeerMessage(bytes), undefined, `${key}.${field}`);
    }
  }
});

test("a report with a field or an entry of another type is dropped", () => {
  for (const key of Object.keys(report) as (keyof PeerReport)[]) {
    const entries: readonly unknown[] = key === "news" ? [] : report[key];
    const longer = entries.map((entry) =>
      Array.isArray(entry) ? [...entry, 1] : { ...Object(entry), node: 1 }
    );
    const values = [...otherValues, ...(entries.length > 0 ? [longer] : [])];
    for (const value of values) {
      const isNews = key === "news" && !Array.isArray(value) &&
        typeof value === "object";
      if (isNews) continue;
      const wrong = { ...report, [key]: value } as unknown as PeerReport;
      const bytes = encodePeerMessage(header, encodePeerReport(wrong));
      const name = `${key}: ${JSON.stringify(value)}`;
      assert.is(decodePeerMessage(bytes), undefined, name);
    }
  }
});

test("an encoded report is less than half as long as its JSON", () => {
  const json = JSON.stringify(report).length;
  assert.ok(encodePeerReport(report).length < json / 2);
});

test("datagrams that are truncated, foreign or too large are dropped", () => {
  const whole = encodePeerMessage(header, encodePeerReport(report));
  assert.is(decodePeerMessage(whole.subarray(0, whole.length - 5)), undefined);
  assert.is(decodePeerMessage(Buffer.from("{}\n")), undefined);
  assert.is(decodePeerMessage(Buffer.from("no line")), undefined);
  assert.is(decodePeerMessage(Buffer.from([255, 10, 0, 1, 2])), undefined);
  const members = Array.from({ length: 60_000 }, () => ({
    node: "x".repeat(30),
    ip: "y",
    zone: "z",
  }));
  const huge = { ...report, members };
  const large = encodePeerMessage(header, encodePeerReport(huge));
  assert.is(decodePeerMessage(large), undefined);
});

test.run();

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

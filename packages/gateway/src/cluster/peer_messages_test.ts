import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decodePeerMessage,
  encodePeerMessage,
  encodePeerReport,
  type PeerHeader,
  type PeerReport,
} from "./peer_messages.ts";

const status = { asOf: 1, digest: 2, ageMs: null, outageMs: 7, readMs: 9 };
const head: PeerHeader = {
  node: "n",
  incarnation: "i",
  ip: "127.0.0.1",
  upMs: 5,
  isDraining: false,
  isStoreUnreachable: true,
  sentAt: 1,
  wallTime: 2,
  echo: { sentAt: 3, heldMs: 4 },
  configuration: status,
  replicas: status,
  duty: null,
};
const report: PeerReport = {
  allowances: [["t", 1, 2]],
  budgets: [],
  work: [["s", 3, 0]],
  loads: Array.from({ length: 40 }, (_, at) => [`replica-${at}/1`, at, 0, 9]),
  usage: [[7, { t: 3 }]],
  members: [["m", "127.0.0.2"]],
};

test("a datagram comes back as it was sent, with a report and without", () => {
  const encoded = encodePeerReport(report);
  const whole = encodePeerMessage(head, encoded);
  assert.equal(decodePeerMessage(whole), { ...head, report });
  assert.equal(decodePeerMessage(encodePeerMessage(head, undefined)), head);
});

test("a report takes less than half of its JSON", () => {
  const json = JSON.stringify(report).length;
  assert.ok(encodePeerReport(report).length < json / 2);
});

test("datagrams that are cut off, foreign or too large are dropped", () => {
  const whole = encodePeerMessage(head, encodePeerReport(report));
  assert.is(decodePeerMessage(whole.subarray(0, whole.length - 5)), undefined);
  assert.is(decodePeerMessage(Buffer.from("{}\n")), undefined);
  assert.is(decodePeerMessage(Buffer.from("no line")), undefined);
  assert.is(decodePeerMessage(Buffer.from([255, 10, 0, 1, 2])), undefined);
  const names = Array.from({ length: 60_000 }, () => ["x".repeat(30), "y"]);
  const huge = { ...report, members: names as [string, string][] };
  const large = encodePeerMessage(head, encodePeerReport(huge));
  assert.is(decodePeerMessage(large), undefined);
});

test.run();

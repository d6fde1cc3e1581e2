/**
 * Whole sessions of operators and callers over HTTP, written down as text.
 *
 * A transcript holds the stable parts of each exchange: method and path, status,
 * chosen headers and the body. What differs between runs (identifiers, keys,
 * ports, times) is replaced by a name in angle brackets.
 */

import { request } from "undici";
import {
  operatorKey,
  teamKey,
  TestFleet,
  waitUntil,
} from "./testing/test_fleet.ts";

const shownHeaders = ["content-type", "retry-after", "x-run", "connection"];

/** One request of a session. */
interface SessionRequest {
  readonly method?: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A session: its name is that of its golden file. */
export interface GoldenSession {
  readonly name: string;
  readonly run: (recorder: SessionRecorder, fleet: TestFleet) => Promise<void>;
}

/** Sends requests and writes down what came back. */
export class SessionRecorder {
  readonly #address: string;
  readonly #key: string;
  readonly #names = new Map<string, string>();
  readonly #lines: string[] = [];

  private constructor(address: string, key: string) {
    this.#address = address;
    this.#key = key;
  }

  static create(address: string, key: string): SessionRecorder {
    return new SessionRecorder(address, key);
  }

  get transcript(): string {
    return this.#lines.join("\n");
  }

  /** Sends a request; returns the body as it was received. */
  async send(step: SessionRequest): Promise<string> {
    const method = step.method ?? (step.body === undefined ? "GET" : "POST");
    const sent = step.body === undefined ? null : JSON.stringify(step.body);
    const answer = await request(`http://${this.#address}${step.path}`, {
      method,
      headers: { authorization: `Bearer ${this.#key}`, ...step.headers },
      body: sent,
    });
    const text = await answer.body.text();
    const headers = shownHeaders.flatMap((name) => {
      const value = answer.headers[name];
      return value === undefined ? [] : [`< ${name}: ${value}`];
    });
    const extra = Object.entries(step.headers ?? {})
      .map(([name, value]) => `> ${name}: ${value}`);
    const lines = [
      `> ${method} ${step.path}`,
      ...extra,
      ...(sent === null ? [] : [`> ${sent}`]),
      `< ${answer.statusCode}`,
      ...headers,
      text.trimEnd(),
      "",
    ];
    this.#lines.push(this.#replaceUnstable(lines.join("\n")));
    return text;
  }

  #replaceUnstable(text: string): string {
    for (const [, key] of text.matchAll(/^\{"key":"([^"]+)"\}$/gm)) {
      this.#addName(key);
    }
    for (const [, id] of text.matchAll(/"id":"([^":]+)","object":"chat/g)) {
      this.#addName(id);
    }
    let stable = text
      .replace(/127\.0\.0\.1:\d+/g, "<address>")
      .replace(/"created":\d+/g, '"created":<time>')
      .replace(/"incarnation":"[^"]*"/g, '"incarnation":"<incarnation>"');
    for (const [value, name] of this.#names) {
      stable = stable.replaceAll(value, name);
    }
    return stable;
  }

  #addName(value: string | undefined): void {
    if (value === undefined || this.#names.has(value)) return;
    this.#names.set(value, `<name-${this.#names.size + 1}>`);
  }
}

function createNote(text: string, more: object = {}): object {
  return { file: "note.jsonc", text, ...more };
}

async function runOperator(
  recorder: SessionRecorder,
  fleet: TestFleet,
): Promise<void> {
  const share = '{ "change": { "teams": [{ "name": "desk", "share": 2 }] } }';
  const fault =
    '{\n  "change": { "teams": [{ "name": "desk", "share": -1 }] }\n}';
  await recorder.send({ path: "/healthz" });
  await recorder.send({ path: "/readyz" });
  await recorder.send({ path: "/status" });
  await recorder.send({ path: "/diff", body: createNote(share) });
  const first = createNote(share, { base: 1, writeId: "write-0001" });
  await recorder.send({ path: "/apply", body: first });
  await waitUntil(() => fleet.nodes.every((node) => node.revision === 2));
  await recorder.send({ path: "/diff", body: createNote(share) });
  await recorder.send({ path: "/apply", body: first });
  const late = createNote(share.replace("2", "3"), {
    base: 1,
    writeId: "write-0002",
  });
  await recorder.send({ path: "/apply", body: late });
  await recorder.send({ path: "/diff", body: createNote(fault) });
  await recorder.send({ path: "/diff", body: createNote("no note") });
  await recorder.send({ path: "/diff", body: { text: 1 } });
  await recorder.send({ path: "/drain", body: { node: "nobody" } });
  await recorder.send({ path: "/streams" });
  const headers = { authorization: "Bearer wrong" };
  await recorder.send({ path: "/status", headers });
  await recorder.send({ path: "/nothing" });
}

const chat = {
  model: "assistant",
  messages: [{ role: "user", content: "Opening hours today?" }],
  max_tokens: 4,
};

async function runCaller(
  recorder: SessionRecorder,
  fleet: TestFleet,
): Promise<void> {
  const path = "/v1/chat/completions";
  await recorder.send({ path: "/v1/models" });
  await recorder.send({ path, body: chat });
  const usage = { include_usage: true };
  const streamed = await recorder.send({
    path,
    body: { ...chat, stream: true, stream_options: usage },
  });
  const second = /^id: (.+:1)$/m.exec(streamed)?.[1] ?? "";
  await recorder.send({ path, headers: { "last-event-id": second } });
  await recorder.send({ path, body: { ...chat, model: "nobody" } });
  await recorder.send({ path, body: { ...chat, messages: [] } });
  await recorder.send({ path, headers: { "last-event-id": "lost:1" } });
  const headers = { authorization: "Bearer wrong" };
  await recorder.send({ path: "/v1/models", headers });
  await runBooking(recorder);
  fleet.engine.faults.apply({ outage: "error" });
  await recorder.send({
    path,
    body: chat,
    headers: { "x-request-timeout-ms": "1000" },
  });
}

async function runBooking(recorder: SessionRecorder): Promise<void> {
  const path = "/services/booking/bookings";
  const issued = await recorder.send({
    method: "POST",
    path: "/v1/idempotency-keys",
  });
  const { key } = JSON.parse(issued) as { key: string };
  const headers = {
    "idempotency-key": key,
    "content-type": "application/json",
  };
  const body = { slot: "monday-9" };
  await recorder.send({ path, body, headers });
  await recorder.send({ path, body, headers });
  await recorder.send({ path, body: { slot: "monday-10" }, headers });
  await recorder.send({ path: `${path}/monday-9` });
  await recorder.send({ path: "/services/nobody/x" });
  const foreign = { ...headers, "idempotency-key": "no key of ours" };
  await recorder.send({ path, body, headers: foreign });
}

/** All sessions. */
export const goldenSessions: readonly GoldenSession[] = [
  { name: "operator", run: runOperator },
  { name: "caller", run: runCaller },
];

/** Runs a session against a fleet of its own; gives its transcript. */
export async function runGoldenSession(
  session: GoldenSession,
): Promise<string> {
  const fleet = await TestFleet.open();
  try {
    const recorder = session.name === "operator"
      ? SessionRecorder.create(fleet.operators, operatorKey)
      : SessionRecorder.create(fleet.callers, teamKey);
    await session.run(recorder, fleet);
    return recorder.transcript;
  } finally {
    fleet.dispose();
  }
}

/** File that holds a session's golden transcript. */
export function formatGoldenPath(session: GoldenSession): string {
  return `scenarios/golden/sessions/${session.name}.txt`;
}

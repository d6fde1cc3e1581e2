/**
 * Sessions of operators and callers over HTTP, recorded as text.
 *
 * A transcript contains the method, path, status, some headers and the body of
 * each exchange. Values that differ between runs (identifiers, keys, ports,
 * times) are replaced by placeholders in angle brackets.
 */

import { request } from "undici";
import {
  operatorKey,
  teamKey,
  TestFleet,
  waitUntil,
} from "./testing/test_fleet.ts";

const recordedHeaders = ["content-type", "retry-after", "x-run", "connection"];

/** One request of a session. */
interface SessionRequest {
  readonly method?: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A session; its golden file has the same name. */
export interface GoldenSession {
  readonly name: string;
  readonly run: (recorder: SessionRecorder, fleet: TestFleet) => Promise<void>;
}

/** Sends requests and records them with their responses. */
export class SessionRecorder {
  readonly #address: string;
  readonly #key: string;
  readonly #placeholders = new Map<string, string>();
  readonly #lines: string[] = [];

  private constructor(address: string, key: string) {
    this.#address = address;
    this.#key = key;
  }

  static create(address: string, key: string): SessionRecorder {
    return new SessionRecorder(address, key);
  }

  /** All exchanges so far. */
  get transcript(): string {
    return this.#lines.join("\n");
  }

  /**
   * Sends a request and records the exchange; returns the response body
   * unchanged.
   */
  async send(input: SessionRequest): Promise<string> {
    const method = input.method ?? (input.body === undefined ? "GET" : "POST");
    const sent = input.body === undefined ? null : JSON.stringify(input.body);
    const response = await request(`http://${this.#address}${input.path}`, {
      method,
      headers: { authorization: `Bearer ${this.#key}`, ...input.headers },
      body: sent,
    });
    const text = await response.body.text();
    const headers = recordedHeaders.flatMap((name) => {
      const value = response.headers[name];
      return value === undefined ? [] : [`< ${name}: ${value}`];
    });
    const requestHeaders = Object.entries(input.headers ?? {})
      .map(([name, value]) => `> ${name}: ${value}`);
    const lines = [
      `> ${method} ${input.path}`,
      ...requestHeaders,
      ...(sent === null ? [] : [`> ${sent}`]),
      `< ${response.statusCode}`,
      ...headers,
      text.trimEnd(),
      "",
    ];
    this.#lines.push(this.#replaceUnstable(lines.join("\n")));
    return text;
  }

  #replaceUnstable(text: string): string {
    for (const [, key] of text.matchAll(/^\{"key":"([^"]+)"\}$/gm)) {
      this.#addPlaceholder(key);
    }
    for (const [, id] of text.matchAll(/"id":"([^":]+)","object":"chat/g)) {
      this.#addPlaceholder(id);
    }
    let replaced = text
      .replace(/127\.0\.0\.1:\d+/g, "<address>")
      .replace(/"created":\d+/g, '"created":<time>')
      .replace(/"incarnation":"[^"]*"/g, '"incarnation":"<incarnation>"');
    for (const [value, name] of this.#placeholders) {
      replaced = replaced.replaceAll(value, name);
    }
    return replaced;
  }

  #addPlaceholder(value: string | undefined): void {
    if (value === undefined || this.#placeholders.has(value)) return;
    this.#placeholders.set(value, `<name-${this.#placeholders.size + 1}>`);
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
  const invalid =
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
  const stale = createNote(share.replace("2", "3"), {
    base: 1,
    writeId: "write-0002",
  });
  await recorder.send({ path: "/apply", body: stale });
  await recorder.send({ path: "/diff", body: createNote(invalid) });
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
  const secondEventId = /^id: (.+:1)$/m.exec(streamed)?.[1] ?? "";
  await recorder.send({ path, headers: { "last-event-id": secondEventId } });
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
  const unknownKey = { ...headers, "idempotency-key": "no key of ours" };
  await recorder.send({ path, body, headers: unknownKey });
}

/** All sessions. */
export const goldenSessions: readonly GoldenSession[] = [
  { name: "operator", run: runOperator },
  { name: "caller", run: runCaller },
];

/** Runs a session against a new fleet and returns its transcript. */
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

/** Path of a session's golden file. */
export function formatGoldenPath(session: GoldenSession): string {
  return `scenarios/golden/sessions/${session.name}.txt`;
}

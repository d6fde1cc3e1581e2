/**
 * Answers that stop half-way: one server that sends the first bytes of an answer
 * and then ends, resets or keeps the connection.
 */

import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { formatAddress } from "@almondcrank/common/address.ts";

/** What follows the bytes of an answer that stops. */
export type AnswerEnd =
  | "fin"
  /** Together with the bytes. */
  | "reset"
  /** Once the bytes have arrived. */
  | "late_reset"
  | "silence";

export const answerEnds: readonly AnswerEnd[] = [
  "fin",
  "reset",
  "late_reset",
  "silence",
];

/** Time after which the bytes of an answer have arrived. */
const arrivalMs = 3;
/** Bytes between two cuts in a body. */
const bodyCutStep = 7;
/** Cuts at the end of an answer, after each of its last bytes. */
const lastCuts = 6;

/** An answer, how it is framed and from which of its bytes on it is whole. */
export interface FramedAnswer {
  readonly name: string;
  /** Method of its request. */
  readonly method: "GET" | "POST" | "HEAD";
  readonly bytes: Buffer;
  readonly headBytes: number;
  /** Bytes that show that it is whole; `undefined` where nothing can. */
  readonly wholeBytes: number | undefined;
}

interface Framing {
  readonly name: string;
  readonly method?: FramedAnswer["method"];
  readonly head: string;
  readonly body: (text: string) => string;
  /** Whether the bytes tell where the answer ends. */
  readonly isDelimited: boolean;
}

function formatPlain(text: string): string {
  return text;
}

function formatNone(): string {
  return "";
}

function formatChunks(text: string): string {
  const half = Math.floor(text.length / 2);
  const chunks = [text.slice(0, half), text.slice(half)]
    .map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  return `${chunks.join("")}0\r\n\r\n`;
}

const early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const ok = "HTTP/1.1 200 OK\r\n";
const old = "HTTP/1.0 200 OK\r\n";
const chunked = "Transfer-Encoding: chunked\r\n";
const close = "Connection: close\r\n";
const length = "Content-Length: LENGTH\r\n";

const framings: readonly Framing[] = [
  { name: "length", head: ok + length },
  { name: "length, close", head: ok + length + close },
  { name: "length, HTTP/1.0", head: old + length },
  { name: "length after a 103", head: early + ok + length + close },
].map((framing) => ({ ...framing, body: formatPlain, isDelimited: true }));

const chunkedFramings: readonly Framing[] = [
  { name: "chunks", head: ok + chunked },
  { name: "chunks, close", head: ok + chunked + close },
  { name: "chunks after a 103", head: early + ok + chunked + close },
].map((framing) => ({ ...framing, body: formatChunks, isDelimited: true }));

const openFramings: readonly Framing[] = [
  { name: "no length", head: ok },
  { name: "no length, close", head: ok + close },
  { name: "no length, HTTP/1.0", head: old },
  { name: "identity", head: `${ok}Transfer-Encoding: identity\r\n` },
  { name: "gzip", head: `${ok}Transfer-Encoding: gzip\r\n${close}` },
  {
    name: "chunks, then gzip",
    head: `${ok}Transfer-Encoding: chunked, gzip\r\n`,
  },
].map((framing) => ({ ...framing, body: formatPlain, isDelimited: false }));

const bodylessFramings: readonly Framing[] = [
  { name: "204", head: `HTTP/1.1 204 No Content\r\n${close}` },
  { name: "304", head: `HTTP/1.1 304 Not Modified\r\n${close}` },
  { name: "HEAD", method: "HEAD" as const, head: ok + length + close },
  { name: "HEAD, HTTP/1.0", method: "HEAD" as const, head: old + length },
].map((framing) => ({ ...framing, body: formatNone, isDelimited: true }));

/**
 * Lists answers of each framing.
 *
 * @param body Text of their bodies, in ASCII.
 * @param status Status of those that have a body.
 */
export function listFramedAnswers(
  body: string,
  status = "200 OK",
): readonly FramedAnswer[] {
  const all = [
    ...framings,
    ...chunkedFramings,
    ...openFramings,
    ...bodylessFramings,
  ];
  return all.map((framing): FramedAnswer => {
    const { name, method = "POST", isDelimited } = framing;
    const head = framing.head.replace("LENGTH", String(body.length))
      .replace("200 OK", status) + "\r\n";
    const bytes = Buffer.from(head + framing.body(body));
    const wholeBytes = isDelimited ? bytes.length : undefined;
    return { name, method, bytes, headBytes: head.length, wholeBytes };
  });
}

/**
 * Lists the numbers of bytes after which an answer may stop: each in its head, some
 * in its body, and all of them where nothing shows that it is whole.
 */
function listCuts(
  { bytes, headBytes, wholeBytes }: FramedAnswer,
): readonly number[] {
  const end = wholeBytes ?? bytes.length + 1;
  return Array.from({ length: end }, (_, cut) => cut).filter((cut) =>
    cut <= headBytes || cut >= end - lastCuts || cut % bodyCutStep === 0
  );
}

/** A call to a port whose answer stops. */
export interface CutCall {
  readonly port: number;
  readonly address: string;
  readonly answer: FramedAnswer;
  /** Whether the call has to be given up, since its connection stays open. */
  readonly isSilent: boolean;
}

/** Cuts an answer at each of its bytes; returns the results that are defined. */
export async function listCutResults<T>(
  answer: FramedAnswer,
  end: AnswerEnd,
  call: (call: CutCall) => Promise<T | undefined>,
): Promise<readonly T[]> {
  const server = await CutAnswerServer.open();
  const answers = listCuts(answer).map((cut) => answer.bytes.subarray(0, cut));
  server.setAnswers(answers, end);
  const { port, address } = server;
  const isSilent = end === "silence";
  const results = await Promise.all(
    answers.map(() => call({ port, address, answer, isSilent })),
  );
  await server.close();
  return results.filter((result) => result !== undefined) as readonly T[];
}

/** Server of one address, whose answers stop. */
export class CutAnswerServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #answers: readonly Buffer[] = [];
  #end: AnswerEnd = "fin";
  #accepted = 0;

  private constructor() {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Listens at a loopback address. */
  static async open(listenAddress = "127.0.0.1"): Promise<CutAnswerServer> {
    const server = new CutAnswerServer();
    server.#server.listen(0, listenAddress);
    await once(server.#server, "listening");
    return server;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get address(): string {
    return formatAddress("127.0.0.1", this.port);
  }

  /** Sets what the next connections get as their answers, in turn. */
  setAnswers(answers: readonly Buffer[], end: AnswerEnd): void {
    this.#answers = answers;
    this.#end = end;
    this.#accepted = 0;
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    const { length } = this.#answers;
    const bytes = this.#answers[this.#accepted % length] ?? Buffer.alloc(0);
    const end = this.#end;
    this.#accepted += 1;
    socket.once("data", () => {
      socket.on("data", () => {});
      socket.setNoDelay(true);
      if (bytes.length === 0) endSocket(socket, end);
      else socket.write(bytes, () => endSocket(socket, end));
    });
  }
}

function endSocket(socket: Socket, end: AnswerEnd): void {
  switch (end) {
    case "fin":
      socket.end();
      return;
    case "reset":
      socket.resetAndDestroy();
      return;
    case "late_reset":
      setTimeout(() => socket.resetAndDestroy(), arrivalMs);
      return;
    case "silence":
      return;
  }
}
